//! The upstreams of a zone that can take one more request of a service.
//!
//! Load pattern: any, at 21,000 upstreams. A decision that scans all upstreams would
//! be too slow; the ready set draws and updates members in logarithmic time or less.

use std::collections::BTreeMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A set from which random members can be drawn evenly.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadySet {
    items: Vec<usize>,
    positions: BTreeMap<usize, usize>,
}

impl ReadySet {
    pub(super) fn set_member(&mut self, item: usize, is_in: bool) {
        if is_in {
            self.insert(item);
        } else {
            self.remove(item);
        }
    }

    fn insert(&mut self, item: usize) {
        if !self.positions.contains_key(&item) {
            self.positions.insert(item, self.items.len());
            self.items.push(item);
        }
    }

    fn remove(&mut self, item: usize) {
        let Some(at) = self.positions.remove(&item) else {
            return;
        };
        self.items.swap_remove(at);
        if let Some(&moved) = self.items.get(at) {
            self.positions.insert(moved, at);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns up to `n` different members, from a random start with a random step.
    /// `set_member` also changes the order of the members at every change.
    pub(super) fn draw(&self, n: usize, rng: &mut ChaCha8Rng) -> impl Iterator<Item = usize> {
        let len = self.items.len();
        let first = if len > 1 { rng.random_range(0..len) } else { 0 };
        // With a fixed step of one, the same two neighbours would be compared again and
        // again.
        let step = if len > 2 { rng.random_range(1..len) } else { 1 };
        (0..n.min(len)).map(move |i| self.items[(first + i * step) % len])
    }
}
