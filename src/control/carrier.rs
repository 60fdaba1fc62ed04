//! A follower's side of the orders that it carries out for its leader.
//!
//! All decisions stay with the leader: a follower neither draws conclusions from an
//! outcome nor orders anything again. What it carries belongs to one leader in one term
//! and ends with that. Orders of an earlier one that are still held up on their way are
//! refused by workers for their fencing token, or do nothing new.

use std::collections::BTreeMap;

use super::peer_message::batches;
use super::{Order, OrderOutcome, PeerMessage};
use crate::model::EntryName;

/// An order that is so much older, by the stamp that came with it, is not carried out.
///
/// A message that a cut held up arrives when the cut heals, seconds after the leader has
/// counted its orders as unanswered and given newer ones. Workers cope with such an order
/// once; a share that is set late stays wrong. The leader waits for an outcome longer than
/// this beyond the order's own time, so that what it counts as unanswered is over here
/// too. A loop that is behind by a tenth of a second leaves this some room.
pub const FRESH_MS: u64 = 500;
/// Outcomes gather for so long, as each message costs the leader as much as reading
/// several outcomes; a start or an end is told so much later.
const GATHER_MS: u64 = 4;
/// Set in the numbers that a follower gives the orders that it carries, so that they are
/// never those of a lead of its own.
const CARRIED: u64 = 1 << 63;

/// What came of an order, by the leader's number.
type Carried = (u64, OrderOutcome);

/// The orders that a follower carries out.
#[derive(Debug, Default)]
pub struct Carrier {
    carrying: Option<Carrying>,
    drawn: u64,
    /// A planned stop has begun.
    closed: bool,
}

/// What is open for one leader.
#[derive(Debug)]
struct Carrying {
    leader: EntryName,
    term: u64,
    /// The leader's numbers by those given here.
    open: BTreeMap<u64, u64>,
    outcomes: Vec<Carried>,
    /// When the first of the outcomes was there.
    since_ms: u64,
}

impl Carrying {
    fn add(&mut self, now_ms: u64, outcomes: impl IntoIterator<Item = Carried>) {
        if self.outcomes.is_empty() {
            self.since_ms = now_ms;
        }
        self.outcomes.extend(outcomes);
    }

    /// What came of the orders so far; if the follower is about to end, a message also
    /// without any.
    fn messages(&mut self, closing: bool) -> Vec<(EntryName, PeerMessage)> {
        let size_bytes = |(_, outcome): &Carried| outcome.size_bytes();
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
    /// Whether the number is one of an order that is carried out for a leader.
    pub fn is_carried(id: u64) -> bool {
        id & CARRIED != 0
    }

    /// For which leader and term orders are carried out.
    pub fn leader(&self) -> Option<(&EntryName, u64)> {
        let carrying = self.carrying.as_ref()?;
        Some((&carrying.leader, carrying.term))
    }

    /// Takes orders of this leader, with numbers of its own; none at a planned stop.
    pub fn take(
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
        let mut drawn = self.drawn;
        let carrying = self.of(leader, term);
        let mut taken = Vec::with_capacity(orders.len());
        for order in orders {
            drawn += 1;
            let id = CARRIED | drawn;
            carrying.open.insert(id, order.id);
            taken.push(Order { id, ..order });
        }
        self.drawn = drawn;
        taken
    }

    /// Tells this leader that its orders have not left.
    pub fn refuse(&mut self, now_ms: u64, leader: &EntryName, term: u64, orders: &[Order]) {
        let refused = orders.iter().map(|order| (order.id, OrderOutcome::NotSent));
        self.of(leader, term).add(now_ms, refused);
    }

    fn of(&mut self, leader: &EntryName, term: u64) -> &mut Carrying {
        if self.leader() != Some((leader, term)) {
            tracing::info!(%leader, term, "carrier: begins to carry out orders");
            self.carrying = None;
        }
        self.carrying.get_or_insert_with(|| Carrying {
            leader: leader.clone(),
            term,
            open: BTreeMap::new(),
            outcomes: Vec::new(),
            since_ms: 0,
        })
    }

    /// Takes the outcome of an order; `false` if it belongs to a leader that is over.
    pub fn carried(&mut self, now_ms: u64, id: u64, outcome: OrderOutcome) -> bool {
        let Some(carrying) = &mut self.carrying else {
            return false;
        };
        let Some(order) = carrying.open.remove(&id) else {
            return false;
        };
        carrying.add(now_ms, [(order, outcome)]);
        true
    }

    /// Whether outcomes wait to be sent.
    pub fn has_outcomes(&self) -> bool {
        self.carrying
            .as_ref()
            .is_some_and(|c| !c.outcomes.is_empty())
    }

    /// Outcomes that have gathered for long enough, and for whom.
    pub fn due(&mut self, now_ms: u64) -> Vec<(EntryName, PeerMessage)> {
        match &mut self.carrying {
            Some(carrying)
                if !carrying.outcomes.is_empty() && now_ms >= carrying.since_ms + GATHER_MS =>
            {
                carrying.messages(self.closed)
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// A planned stop begins: takes no more orders, and says so at once.
    pub fn close(&mut self) -> Vec<(EntryName, PeerMessage)> {
        self.closed = true;
        let carrying = self.carrying.as_mut();
        carrying.map_or_else(Vec::new, |carrying| carrying.messages(true))
    }

    /// The planned stop is due: what is still open will have no outcome. Nothing if
    /// nothing is open.
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

    /// The leader is over: nothing is carried any more. How many orders are open, if any
    /// were carried at all.
    pub fn end(&mut self) -> Option<usize> {
        let carrying = self.carrying.take()?;
        let (leader, open) = (&carrying.leader, carrying.open.len());
        tracing::info!(%leader, term = carrying.term, open, "carrier: stops to carry out orders");
        Some(open)
    }
}
