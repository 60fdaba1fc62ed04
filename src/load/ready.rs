//! Upstreams of a zone that can take one more request of a service.
//!
//! Pattern of load: any, at 21,000 upstreams. Without it each decision would
//! look at every upstream; with it one is drawn at random in logarithmic time.

use std::collections::BTreeMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A set that can be drawn from evenly.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadySet {
    items: Vec<usize>,
    place: BTreeMap<usize, usize>,
}

impl ReadySet {
    pub(super) fn put(&mut self, item: usize, is_in: bool) {
        if is_in {
            self.insert(item);
        } else {
            self.remove(item);
        }
    }

    fn insert(&mut self, item: usize) {
        if !self.place.contains_key(&item) {
            self.place.insert(item, self.items.len());
            self.items.push(item);
        }
    }

    fn remove(&mut self, item: usize) {
        let Some(at) = self.place.remove(&item) else {
            return;
        };
        self.items.swap_remove(at);
        if let Some(&moved) = self.items.get(at) {
            self.place.insert(moved, at);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Up to `n` different members. The members that are drawn form a run from
    /// a random start: `put` shuffles the order at every change.
    pub(super) fn draw(&self, n: usize, rng: &mut ChaCha8Rng) -> impl Iterator<Item = usize> {
        let len = self.items.len();
        let first = if len > 1 { rng.random_range(0..len) } else { 0 };
        // The step to the next is random too: with a fixed step of one, two
        // neighbours would be weighed against each other again and again.
        let step = if len > 2 { rng.random_range(1..len) } else { 1 };
        (0..n.min(len)).map(move |i| self.items[(first + i * step) % len])
    }
}
