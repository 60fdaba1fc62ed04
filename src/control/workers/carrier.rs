//! The follower's side of carrying orders: a follower sends the leader's orders to workers
//! and returns the outcomes.
//!
//! All decisions stay with the leader. A follower draws no conclusions from an outcome and
//! repeats no order. The open orders belong to one leader in one term and are dropped when
//! that term ends. Delayed orders of an earlier leader are rejected by the workers for their
//! fencing token, or have no further effect.

use std::collections::BTreeMap;

use crate::control::messages::batches;
use crate::control::{Order, OrderOutcome, PeerMessage};
use crate::model::EntryName;

/// Age, by the stamp in the leader's message, above which an order is dropped.
///
/// A message that a network partition delays arrives when the partition heals, seconds
/// after the leader has counted its orders as unanswered and sent newer ones. Workers
/// tolerate such a start or stop, but a share that is set late stays wrong. The leader
/// waits for an outcome for the order's own timeout plus more than this age, so that an
/// order it counts as unanswered is no longer open here either. The value leaves room for
/// an event loop that is late by a tenth of a second.
pub const ORDER_MAX_AGE_MS: u64 = 500;
/// Time for which outcomes are batched, because each message costs the leader as much as
/// reading several outcomes. It delays the news of a start or an end.
const OUTCOME_BATCH_DELAY_MS: u64 = 4;
/// Bit that is set in the ids which a follower gives to carried orders, so that they differ
/// from the ids of the orders it gives as a leader.
const CARRIED_ID_BIT: u64 = 1 << 63;

/// The leader's id of an order, and its outcome.
type Outcome = (u64, OrderOutcome);

/// The orders that a follower carries out for its leader.
#[derive(Debug, Default)]
pub struct Carrier {
    carrying: Option<Carrying>,
    last_id: u64,
    /// Whether a planned stop has begun.
    closed: bool,
}

/// Open orders and unsent outcomes for one leader.
#[derive(Debug)]
struct Carrying {
    leader: EntryName,
    term: u64,
    /// The leader's ids of open orders by the ids given here.
    open: BTreeMap<u64, u64>,
    outcomes: Vec<Outcome>,
    /// Time of the first of `outcomes`.
    first_outcome_ms: u64,
}

impl Carrying {
    fn add(&mut self, now_ms: u64, outcomes: impl IntoIterator<Item = Outcome>) {
        if self.outcomes.is_empty() {
            self.first_outcome_ms = now_ms;
        }
        self.outcomes.extend(outcomes);
    }

    /// Returns messages with the outcomes so far. If the follower is about to stop, there is
    /// at least one message, even without outcomes.
    fn messages(&mut self, closing: bool) -> Vec<(EntryName, PeerMessage)> {
        let size_bytes = |(_, outcome): &Outcome| outcome.size_bytes();
        let mut parts = batches(std::mem::take(&mut self.outcomes), size_bytes);
        if closing && parts.is_empty() {
            parts.push(Vec::new());
        }
        let message = |outcomes| PeerMessage::Outcomes {
            term: self.term,
            outcomes,
            closing,
        };
        let parts = parts.into_iter().map(message);
        parts.map(|part| (self.leader.clone(), part)).collect()
    }
}

impl Carrier {
    /// Returns whether the id is that of an order carried for a leader.
    pub fn is_carried(id: u64) -> bool {
        id & CARRIED_ID_BIT != 0
    }

    /// Returns the leader and term for which orders are carried out.
    pub fn leader(&self) -> Option<(&EntryName, u64)> {
        let carrying = self.carrying.as_ref()?;
        Some((&carrying.leader, carrying.term))
    }

    /// Accepts orders of a leader and returns them with new ids. At a planned stop, refuses
    /// them and returns none.
    pub fn accept(
        &mut self,
        now_ms: u64,
        leader: &EntryName,
        term: u64,
        orders: Vec<Order>,
    ) -> Vec<Order> {
        if self.closed {
            self.refuse(now_ms, leader, term, &orders);
            return Vec::new();
        }
        let mut last_id = self.last_id;
        let carrying = self.carrying_for(leader, term);
        let mut accepted = Vec::with_capacity(orders.len());
        for order in orders {
            last_id += 1;
            let id = CARRIED_ID_BIT | last_id;
            carrying.open.insert(id, order.id);
            accepted.push(Order { id, ..order });
        }
        self.last_id = last_id;
        accepted
    }

    /// Refuses orders of a leader: their outcome is that they were not sent.
    pub fn refuse(&mut self, now_ms: u64, leader: &EntryName, term: u64, orders: &[Order]) {
        let refused = orders.iter().map(|order| (order.id, OrderOutcome::NotSent));
        self.carrying_for(leader, term).add(now_ms, refused);
    }

    fn carrying_for(&mut self, leader: &EntryName, term: u64) -> &mut Carrying {
        if self.leader() != Some((leader, term)) {
            tracing::info!(%leader, term, "carrier: starts carrying orders for a leader");
            self.carrying = None;
        }
        self.carrying.get_or_insert_with(|| Carrying {
            leader: leader.clone(),
            term,
            open: BTreeMap::new(),
            outcomes: Vec::new(),
            first_outcome_ms: 0,
        })
    }

    /// Records the outcome of an order; returns `false` if its leader's term has ended.
    pub fn record_outcome(&mut self, now_ms: u64, id: u64, outcome: OrderOutcome) -> bool {
        let Some(carrying) = &mut self.carrying else {
            return false;
        };
        let Some(order) = carrying.open.remove(&id) else {
            return false;
        };
        carrying.add(now_ms, [(order, outcome)]);
        true
    }

    /// Returns whether any outcomes wait to be sent.
    pub fn has_outcomes(&self) -> bool {
        self.carrying
            .as_ref()
            .is_some_and(|c| !c.outcomes.is_empty())
    }

    /// Returns the messages with outcomes, and their receiver, once the oldest outcome has
    /// waited for [`OUTCOME_BATCH_DELAY_MS`].
    pub fn due(&mut self, now_ms: u64) -> Vec<(EntryName, PeerMessage)> {
        match &mut self.carrying {
            Some(carrying)
                if !carrying.outcomes.is_empty()
                    && now_ms >= carrying.first_outcome_ms + OUTCOME_BATCH_DELAY_MS =>
            {
                carrying.messages(self.closed)
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// Begins a planned stop: no more orders are accepted, and the leader is told at once.
    pub fn close(&mut self) -> Vec<(EntryName, PeerMessage)> {
        self.closed = true;
        let carrying = self.carrying.as_mut();
        carrying.map_or_else(Vec::new, |carrying| carrying.messages(true))
    }

    /// Ends a planned stop: reports all open orders as unanswered. Returns no messages if
    /// there are neither open orders nor unsent outcomes.
    pub fn give_up(&mut self, now_ms: u64) -> Vec<(EntryName, PeerMessage)> {
        let Some(carrying) = &mut self.carrying else {
            return Vec::new();
        };
        let open = std::mem::take(&mut carrying.open);
        if open.is_empty() && carrying.outcomes.is_empty() {
            return Vec::new();
        }
        let open = open.into_values();
        carrying.add(now_ms, open.map(|id| (id, OrderOutcome::Unanswered)));
        carrying.messages(true)
    }

    /// Drops all orders because the leader's term has ended. Returns how many were open, or
    /// `None` if no orders were carried in that term.
    pub fn end(&mut self) -> Option<usize> {
        let carrying = self.carrying.take()?;
        let (leader, open) = (&carrying.leader, carrying.open.len());
        tracing::info!(%leader, term = carrying.term, open, "carrier: stops carrying orders for a leader");
        Some(open)
    }
}
