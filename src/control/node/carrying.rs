//! Orders that followers carry out for the leader, on both sides.

use super::super::carrier::ORDER_MAX_AGE_MS;
use super::super::carriers::Losses;
use super::super::{Carrier, Decision, Effect, Order, OrderOutcome};
use super::Node;
use crate::consensus::Stamp;
use crate::model::EntryName;

impl Node {
    /// On the leader: looks at its followers, and counts as unanswered what they lost.
    pub(super) fn watch_carriers(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let wanted = self
            .settings
            .policy
            .carriers
            .wanted(self.state.workers().len());
        let heard = self.replica.peers_heard(now_ms);
        let losses = lead.carriers.update(now_ms, &heard, wanted);
        self.take_losses(now_ms, losses);
    }

    fn take_losses(&mut self, now_ms: u64, losses: Losses) {
        for _ in 0..losses.excluded {
            self.out.push(Effect::Count(Decision::CarrierExcluded));
        }
        for id in losses.orders {
            self.out.push(Effect::Count(Decision::OrderNotCarried));
            self.ordered(now_ms, id, OrderOutcome::Unanswered);
        }
    }

    /// On the leader: what its decisions ordered leaves, one message to each follower.
    pub(super) fn send_orders(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        for (to, message) in lead.carriers.messages(now_ms, lead.term) {
            self.send(to, message);
        }
    }

    /// On the leader: what came of orders that a follower carried out.
    pub(super) fn outcomes_came(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        term: u64,
        outcomes: Vec<(u64, OrderOutcome)>,
        closing: bool,
    ) {
        let of_lead = |lead: &&mut Box<super::lead::Lead>| lead.term == term;
        let Some(lead) = self.lead.as_mut().filter(of_lead) else {
            return;
        };
        if closing {
            let losses = lead.carriers.record_closing(now_ms, from);
            self.take_losses(now_ms, losses);
        }
        for (id, outcome) in outcomes {
            let Some(lead) = &mut self.lead else {
                return;
            };
            if !lead.carriers.record_outcome(from, id) {
                continue;
            }
            if outcome == OrderOutcome::Unanswered
                && let Some(sent) = lead.orders.get(&id)
            {
                let worker = sent.worker().clone();
                lead.carriers.record_unreachable(now_ms, &worker);
            }
            self.ordered(now_ms, id, outcome);
        }
    }

    /// On a follower: carries out orders of the leader that it follows.
    pub(super) fn orders_came(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        term: u64,
        heard: Stamp,
        orders: Vec<Order>,
    ) {
        if !self.follows(from, term) {
            tracing::info!(
                %from, term, known = self.replica.term(), orders = orders.len(),
                "carrier: orders of someone who does not lead here are dropped"
            );
            return;
        }
        let age_ms = self.replica.stamp_age_ms(now_ms, heard);
        if age_ms.is_none_or(|age_ms| age_ms > ORDER_MAX_AGE_MS) {
            tracing::warn!(%from, term, ?age_ms, orders = orders.len(), "carrier: old orders are dropped");
            let stale = orders.iter().map(|_| Effect::Count(Decision::OrderStale));
            self.out.extend(stale);
            // An order for another start of this process waits for no answer of this one.
            if age_ms.is_some() {
                self.carrier.refuse(now_ms, from, term, &orders);
            }
            return;
        }
        for order in self.carrier.accept(now_ms, from, term, orders) {
            self.out.push(Effect::Count(Decision::OrderCarried));
            self.out.push(Effect::Order(order));
        }
    }

    /// Whether this instance follows this leader in this term, and heard it lately.
    fn follows(&self, leader: &EntryName, term: u64) -> bool {
        self.replica.leader() == Some(leader)
            && *leader != self.settings.me
            && self.replica.term() == term
    }

    /// On a follower: throws away what it carries for a leader that is over, or that it
    /// does not hear any more; sends on what came of the rest.
    ///
    /// A successor may lead by then. Orders that a cut holds up would reach workers after
    /// those of the successor: workers refuse them by their fencing token only if they
    /// have seen a newer one.
    pub(super) fn follow_carrying(&mut self, now_ms: u64) {
        let over = self
            .carrier
            .leader()
            .is_some_and(|(leader, term)| !self.follows(leader, term));
        if over {
            if self.carrier.end().is_some_and(|open| open > 0) {
                self.out.push(Effect::AbortOrders);
            }
            return;
        }
        for (to, message) in self.carrier.due(now_ms) {
            self.send(to, message);
        }
    }

    /// What came of an order that this instance sent to a worker.
    pub(super) fn worker_answered(&mut self, now_ms: u64, id: u64, outcome: OrderOutcome) {
        if !Carrier::is_carried(id) {
            return self.ordered(now_ms, id, outcome);
        }
        if !self.carrier.record_outcome(now_ms, id, outcome) {
            tracing::debug!(id, "carrier: an outcome for a leader that is over");
        }
    }

    /// A planned stop begins: the leader is told at once, so that it gives no more orders.
    pub(super) fn close_carrier(&mut self) {
        for (to, message) in self.carrier.close() {
            self.send(to, message);
        }
    }

    /// The planned stop is due: gives up what is still open; `false` if nothing is.
    pub(super) fn give_up_carrying(&mut self, now_ms: u64) -> bool {
        let messages = self.carrier.give_up(now_ms);
        if messages.is_empty() {
            return false;
        }
        for (to, message) in messages {
            self.send(to, message);
        }
        self.out.push(Effect::AbortOrders);
        true
    }

    /// Whether outcomes wait for others to leave with them.
    pub fn gathers(&self) -> bool {
        self.carrier.has_outcomes()
    }
}
