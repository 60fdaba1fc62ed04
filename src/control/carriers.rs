//! Which follower carries out the leader's orders to which worker.
//!
//! As few followers carry orders as the fleet needs: each costs the leader messages of its
//! own. A worker's orders go by the one of them that comes first by a hash of both names
//! (rendezvous hashing), so that the loss of one moves few but its own workers. A follower
//! is there while it answers the log without delay. One that gave no outcome several times
//! in a row, or is about to end, is out for some seconds. A worker that a follower
//! did not reach is called by the leader itself for a while, as a cut may be between those
//! two only.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::carrier::FRESH_MS;
use super::peer_message::batches;
use super::{Order, PeerMessage};
use crate::consensus::Stamp;
use crate::model::{EntryName, InstanceName};

/// How much longer than an order's own time its outcome is waited for: the order may be
/// [`FRESH_MS`] old when it is begun, and the outcome needs its way back.
const MARGIN_MS: u64 = FRESH_MS + 150;
/// A follower that has not answered the log for so long is lost: eight heartbeats.
const SILENT_MS: u64 = 600;
/// One that answered no later message than this is given no orders: half of [`FRESH_MS`],
/// beyond which it would refuse them all, so that a follower that lags never holds up a
/// part of the fleet by its refusals. Three heartbeats.
const LAGS_MS: u64 = FRESH_MS / 2;
/// Orders in a row without an outcome after which a follower is taken out: single ones
/// are lost when a link is opened anew.
const LOSSES_MAX: u32 = 4;
/// How long a follower is out: a restart or a short cut is over by then.
const OUT_MS: u64 = 3_000;
/// How long the leader calls a worker itself that a follower did not reach.
const OWN_MS: u64 = 3_000;

/// A leader's view of the followers that carry its orders.
#[derive(Debug, Default)]
pub struct Carriers {
    followers: BTreeMap<EntryName, Follower>,
    /// Those that carry orders at present.
    there: Vec<EntryName>,
    /// Workers that the leader calls itself, and until when.
    own: BTreeMap<InstanceName, u64>,
}

#[derive(Debug, Default)]
struct Follower {
    stamp: Option<Stamp>,
    out_until_ms: u64,
    losses: u32,
    /// Orders without an outcome, and when each counts as unanswered.
    open: BTreeMap<u64, u64>,
    /// Orders that leave with the next message.
    waiting: Vec<Order>,
}

/// Orders that will have no outcome, and the followers taken out for that.
#[derive(Debug, Default)]
pub struct Losses {
    /// The orders' numbers.
    pub orders: Vec<u64>,
    /// How many followers were taken out.
    pub out: usize,
}

impl Carriers {
    /// Looks at the followers anew: each that answered the log, its latest stamp, and how
    /// old the latest message is that it answered. So many are `wanted` to carry orders;
    /// with none the leader calls all workers itself.
    pub fn update(
        &mut self,
        now_ms: u64,
        heard: &[(&EntryName, Stamp, u64)],
        wanted: usize,
    ) -> Losses {
        let mut losses = Losses::default();
        let silent: BTreeSet<&EntryName> = heard
            .iter()
            .filter(|(_, _, age_ms)| *age_ms > SILENT_MS)
            .map(|(name, ..)| *name)
            .collect();
        for (name, stamp, _) in heard {
            let follower = match self.followers.get_mut(*name) {
                Some(follower) => follower,
                None => self.followers.entry((*name).clone()).or_default(),
            };
            let before = follower.stamp.replace(*stamp);
            let restarted = before.is_some_and(|before| before.start != stamp.start);
            let lost = restarted || silent.contains(name);
            if lost && !follower.open.is_empty() {
                follower.take_out(now_ms, name, "it is lost", &mut losses);
                follower.lose_all(&mut losses);
            }
        }
        for (name, follower) in &mut self.followers {
            follower.lose_overdue(now_ms, name, &mut losses);
        }
        let there = heard.iter().filter(|(_, _, age_ms)| *age_ms <= LAGS_MS);
        let fit = there.filter(|(name, ..)| {
            let follower = self.followers.get(*name);
            follower.is_some_and(|f| now_ms >= f.out_until_ms)
        });
        self.there = fit.take(wanted).map(|(name, ..)| (*name).clone()).collect();
        self.own.retain(|_, until_ms| now_ms < *until_ms);
        losses
    }

    /// The follower that carries the orders to a worker; none for the leader itself.
    pub fn of(&self, worker: &InstanceName) -> Option<&EntryName> {
        if self.own.contains_key(worker) {
            return None;
        }
        self.there.iter().max_by_key(|name| weight(name, worker))
    }

    /// Gives an order to the follower that carries those to its worker; gives it back if
    /// the leader carries it out itself.
    pub fn give(&mut self, order: Order) -> Option<Order> {
        let Some(name) = self.of(&order.worker) else {
            return Some(order);
        };
        let name = name.clone();
        match self.followers.get_mut(&name) {
            Some(follower) => {
                follower.waiting.push(order);
                None
            }
            None => Some(order),
        }
    }

    /// The messages with what was given since the last time.
    pub fn messages(&mut self, now_ms: u64, term: u64) -> Vec<(EntryName, PeerMessage)> {
        let mut messages = Vec::new();
        for (name, follower) in &mut self.followers {
            let (Some(heard), false) = (follower.stamp, follower.waiting.is_empty()) else {
                continue;
            };
            let orders = std::mem::take(&mut follower.waiting);
            for order in &orders {
                let until_ms = now_ms + order.timeout_ms + MARGIN_MS;
                follower.open.insert(order.id, until_ms);
            }
            let batches = batches(orders, Order::size_bytes).into_iter();
            messages.extend(batches.map(|orders| {
                let message = PeerMessage::Orders {
                    term,
                    heard,
                    orders,
                };
                (name.clone(), message)
            }));
        }
        messages
    }

    /// A follower tells what came of an order; `false` if it was not waited for.
    pub fn answered(&mut self, from: &EntryName, id: u64) -> bool {
        let Some(follower) = self.followers.get_mut(from) else {
            return false;
        };
        follower.losses = 0;
        follower.open.remove(&id).is_some()
    }

    /// A follower is about to end. What it has open it still answers.
    pub fn closing(&mut self, now_ms: u64, from: &EntryName) -> Losses {
        let mut losses = Losses::default();
        if let Some(follower) = self.followers.get_mut(from) {
            follower.take_out(now_ms, from, "it ends", &mut losses);
        }
        self.there.retain(|name| name != from);
        losses
    }

    /// A follower did not reach a worker: the leader tries it itself.
    pub fn unreached(&mut self, now_ms: u64, worker: &InstanceName) {
        self.own.insert(worker.clone(), now_ms + OWN_MS);
    }
}

impl Follower {
    fn take_out(&mut self, now_ms: u64, name: &EntryName, why: &str, losses: &mut Losses) {
        if now_ms >= self.out_until_ms {
            let open = self.open.len();
            tracing::warn!(%name, open, why, "carrier: is taken out");
            losses.out += 1;
        }
        self.out_until_ms = now_ms + OUT_MS;
    }

    fn lose_all(&mut self, losses: &mut Losses) {
        self.losses = 0;
        let open = std::mem::take(&mut self.open);
        losses.orders.extend(open.into_keys());
    }

    /// Counts what is overdue as unanswered.
    ///
    /// A follower that answers the log but gives no outcomes (it runs another release, or
    /// is too slow) would cost each of its workers an order after the other. After several
    /// all that it has open is counted so too: it will not come either.
    fn lose_overdue(&mut self, now_ms: u64, name: &EntryName, losses: &mut Losses) {
        let overdue = self.open.iter().filter(|(_, until)| now_ms >= **until);
        let overdue: Vec<u64> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.open.remove(&id);
            losses.orders.push(id);
            self.losses += 1;
        }
        if self.losses >= LOSSES_MAX {
            self.take_out(now_ms, name, "it gives no outcomes", losses);
            self.lose_all(losses);
        }
    }
}

/// How far in front a follower is for a worker: the same in every process of a release.
fn weight(follower: &EntryName, worker: &InstanceName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (follower.as_str(), worker.as_str()).hash(&mut hasher);
    hasher.finish()
}
