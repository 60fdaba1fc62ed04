//! The leader's assignment of workers to the followers that carry its orders (carriers).
//!
//! The leader uses as few carriers as the fleet needs, because each costs it additional
//! messages. Workers are assigned by rendezvous hashing of both names, so that the loss of
//! a carrier moves few workers but its own. A follower may carry orders while it
//! acknowledges the log without delay. A follower that repeatedly returned no outcome, or
//! is about to stop, is excluded for some seconds. A worker that its carrier could not
//! reach is called by the leader itself for a while, because the network may be partitioned
//! only between those two.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::carrier::ORDER_MAX_AGE_MS;
use crate::consensus::Timestamp;
use crate::control::messages::batches;
use crate::control::{Order, PeerMessage};
use crate::model::{EntryName, InstanceName};

/// Time beyond an order's own timeout for which its outcome is awaited: the order may be
/// [`ORDER_MAX_AGE_MS`] old when the carrier sends it, and the outcome has to travel back.
const OUTCOME_MARGIN_MS: u64 = ORDER_MAX_AGE_MS + 150;
/// Time without an acknowledgement of the log after which a follower counts as lost: eight
/// heartbeats.
const LOST_AFTER_MS: u64 = 600;
/// Age of the latest acknowledged message above which a follower gets no orders: half of
/// [`ORDER_MAX_AGE_MS`], or three heartbeats. A follower that lags by the whole age drops
/// every order, which would hold up its part of the fleet.
const MAX_LAG_MS: u64 = ORDER_MAX_AGE_MS / 2;
/// Consecutive orders without an outcome after which a follower is excluded. Single orders
/// are lost whenever a connection is reopened.
const CONSECUTIVE_LOSSES_MAX: u32 = 4;
/// Time for which a follower is excluded; most restarts and short partitions end within it.
const EXCLUSION_MS: u64 = 3_000;
/// Time for which the leader itself calls a worker that its carrier could not reach.
const DIRECT_MS: u64 = 3_000;

/// The leader's view of the followers that carry its orders.
#[derive(Debug, Default)]
pub struct Carriers {
    followers: BTreeMap<EntryName, Follower>,
    /// The followers that currently carry orders.
    active: Vec<EntryName>,
    /// Workers that the leader calls itself, and the time at which that ends.
    direct: BTreeMap<InstanceName, u64>,
}

#[derive(Debug, Default)]
struct Follower {
    stamp: Option<Timestamp>,
    excluded_until_ms: u64,
    consecutive_losses: u32,
    /// Open orders, and the time at which each counts as unanswered.
    open: BTreeMap<u64, u64>,
    /// Orders for the next message.
    unsent: Vec<Order>,
}

/// Orders that count as unanswered, and the followers excluded for that.
#[derive(Debug, Default)]
pub struct Losses {
    /// Ids of the orders.
    pub orders: Vec<u64>,
    /// Number of followers that were newly excluded.
    pub excluded: usize,
}

impl Carriers {
    /// Updates the set of carriers. `heard` has each follower that has acknowledged the log,
    /// with its latest stamp and the age in milliseconds of the latest message that it
    /// acknowledged. At most `wanted` followers carry orders; with none the leader calls all
    /// workers itself.
    pub fn update(
        &mut self,
        now_ms: u64,
        heard: &[(&EntryName, Timestamp, u64)],
        wanted: usize,
    ) -> Losses {
        let mut losses = Losses::default();
        let silent: BTreeSet<&EntryName> = heard
            .iter()
            .filter(|(_, _, age_ms)| *age_ms > LOST_AFTER_MS)
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
                follower.exclude(now_ms, name, "it is lost", &mut losses);
                follower.lose_open(&mut losses);
            }
        }
        for (name, follower) in &mut self.followers {
            follower.lose_overdue(now_ms, name, &mut losses);
        }
        let current = heard.iter().filter(|(_, _, age_ms)| *age_ms <= MAX_LAG_MS);
        let usable = current.filter(|(name, ..)| {
            let follower = self.followers.get(*name);
            follower.is_some_and(|f| now_ms >= f.excluded_until_ms)
        });
        self.active = usable
            .take(wanted)
            .map(|(name, ..)| (*name).clone())
            .collect();
        self.direct.retain(|_, until_ms| now_ms < *until_ms);
        losses
    }

    /// Returns the follower that carries the orders to a worker, or `None` if the leader
    /// calls the worker itself.
    pub fn carrier_of(&self, worker: &InstanceName) -> Option<&EntryName> {
        if self.direct.contains_key(worker) {
            return None;
        }
        self.active.iter().max_by_key(|name| weight(name, worker))
    }

    /// Queues an order for the carrier of its worker; returns the order if the leader is to
    /// send it itself.
    pub fn assign(&mut self, order: Order) -> Option<Order> {
        let Some(name) = self.carrier_of(&order.worker) else {
            return Some(order);
        };
        let name = name.clone();
        match self.followers.get_mut(&name) {
            Some(follower) => {
                follower.unsent.push(order);
                None
            }
            None => Some(order),
        }
    }

    /// Returns the messages with the orders queued since the last call.
    pub fn messages(&mut self, now_ms: u64, term: u64) -> Vec<(EntryName, PeerMessage)> {
        let mut messages = Vec::new();
        for (name, follower) in &mut self.followers {
            let (Some(heard), false) = (follower.stamp, follower.unsent.is_empty()) else {
                continue;
            };
            let orders = std::mem::take(&mut follower.unsent);
            for order in &orders {
                let until_ms = now_ms + order.timeout_ms + OUTCOME_MARGIN_MS;
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

    /// Records that a follower returned the outcome of an order; returns `false` if the
    /// order was not open there.
    pub fn record_outcome(&mut self, from: &EntryName, id: u64) -> bool {
        let Some(follower) = self.followers.get_mut(from) else {
            return false;
        };
        follower.consecutive_losses = 0;
        follower.open.remove(&id).is_some()
    }

    /// Excludes a follower that is about to stop. It still returns the outcomes of its open
    /// orders.
    pub fn record_closing(&mut self, now_ms: u64, from: &EntryName) -> Losses {
        let mut losses = Losses::default();
        if let Some(follower) = self.followers.get_mut(from) {
            follower.exclude(now_ms, from, "it is stopping", &mut losses);
        }
        self.active.retain(|name| name != from);
        losses
    }

    /// Records that a follower could not reach a worker, which the leader then calls itself
    /// for a while.
    pub fn record_unreachable(&mut self, now_ms: u64, worker: &InstanceName) {
        self.direct.insert(worker.clone(), now_ms + DIRECT_MS);
    }
}

impl Follower {
    fn exclude(&mut self, now_ms: u64, name: &EntryName, why: &str, losses: &mut Losses) {
        if now_ms >= self.excluded_until_ms {
            let open = self.open.len();
            tracing::warn!(%name, open, why, "carrier: a follower is excluded");
            losses.excluded += 1;
        }
        self.excluded_until_ms = now_ms + EXCLUSION_MS;
    }

    fn lose_open(&mut self, losses: &mut Losses) {
        self.consecutive_losses = 0;
        let open = std::mem::take(&mut self.open);
        losses.orders.extend(open.into_keys());
    }

    /// Counts overdue orders as unanswered.
    ///
    /// A follower that acknowledges the log but returns no outcomes (it runs another release
    /// or is too slow) would lose one order after the other to each of its workers.
    /// Therefore, after several losses in a row, all its open orders count as unanswered
    /// too, as no outcome of theirs is to be expected.
    fn lose_overdue(&mut self, now_ms: u64, name: &EntryName, losses: &mut Losses) {
        let overdue = self.open.iter().filter(|(_, until)| now_ms >= **until);
        let overdue: Vec<u64> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.open.remove(&id);
            losses.orders.push(id);
            self.consecutive_losses += 1;
        }
        if self.consecutive_losses >= CONSECUTIVE_LOSSES_MAX {
            self.exclude(now_ms, name, "it returns no outcomes", losses);
            self.lose_open(losses);
        }
    }
}

/// Returns the rendezvous hash weight of a follower for a worker; the highest wins. All
/// processes of the same release compute the same weight.
fn weight(follower: &EntryName, worker: &InstanceName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (follower.as_str(), worker.as_str()).hash(&mut hasher);
    hasher.finish()
}
