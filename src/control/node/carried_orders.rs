//! Orders that followers carry out on behalf of the leader: the leader's side and the
//! follower's side.

use super::Node;
use crate::consensus::Timestamp;
use crate::control::workers::Losses;
use crate::control::workers::ORDER_MAX_AGE_MS;
use crate::control::{Carrier, Decision, Effect, Order, OrderOutcome};
use crate::model::EntryName;

impl Node {
    /// On the leader: updates the set of carriers, and treats the orders that a lost
    /// carrier had as unanswered.
    pub(super) fn update_carriers(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let target_count = self
            .settings
            .policy
            .carriers
            .wanted(self.state.workers().len());
        let heard = self.replica.peer_contacts(now_ms);
        let losses = lead.carriers.update(now_ms, &heard, target_count);
        self.handle_carrier_losses(now_ms, losses);
    }

    fn handle_carrier_losses(&mut self, now_ms: u64, losses: Losses) {
        for _ in 0..losses.excluded {
            self.out.push(Effect::Count(Decision::CarrierExcluded));
        }
        for id in losses.orders {
            self.out.push(Effect::Count(Decision::OrderNotCarried));
            self.finish_order(now_ms, id, OrderOutcome::Unanswered);
        }
    }

    /// On the leader: sends the orders that are queued for carriers, in one message for
    /// each.
    pub(super) fn send_carrier_orders(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        for (to, message) in lead.carriers.messages(now_ms, lead.term) {
            self.send(to, message);
        }
    }

    /// On the leader: handles the outcomes of orders that a follower carried out.
    pub(super) fn handle_outcomes(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        term: u64,
        outcomes: Vec<(u64, OrderOutcome)>,
        closing: bool,
    ) {
        let is_of_term = |lead: &&mut Box<super::leader_state::LeaderState>| lead.term == term;
        let Some(lead) = self.leader_state.as_mut().filter(is_of_term) else {
            return;
        };
        if closing {
            let losses = lead.carriers.record_closing(now_ms, from);
            self.handle_carrier_losses(now_ms, losses);
        }
        for (id, outcome) in outcomes {
            let Some(lead) = &mut self.leader_state else {
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
            self.finish_order(now_ms, id, outcome);
        }
    }

    /// On a follower: carries out orders of its leader.
    pub(super) fn handle_orders(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        term: u64,
        heard: Timestamp,
        orders: Vec<Order>,
    ) {
        if !self.is_follower_of(from, term) {
            tracing::info!(
                %from, term, known = self.replica.term(), orders = orders.len(),
                "carrier: orders are dropped, their sender is not the leader"
            );
            return;
        }
        let age_ms = self.replica.stamp_age_ms(now_ms, heard);
        if age_ms.is_none_or(|age_ms| age_ms > ORDER_MAX_AGE_MS) {
            tracing::warn!(
                %from, term, ?age_ms, orders = orders.len(),
                "carrier: orders are dropped, they are too old"
            );
            let stale = orders.iter().map(|_| Effect::Count(Decision::OrderStale));
            self.out.extend(stale);
            // Without an age, the stamp is of an earlier start of this process, and the
            // orders were for that start. Their leader expects no answer from this one.
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

    /// Returns whether this instance follows `leader` in `term` and has heard it recently.
    fn is_follower_of(&self, leader: &EntryName, term: u64) -> bool {
        self.replica.leader() == Some(leader)
            && *leader != self.settings.me
            && self.replica.term() == term
    }

    /// On a follower: aborts the orders of a leader whose term is over or that is no longer
    /// heard, and otherwise sends outcomes that are due.
    ///
    /// A successor may lead by then. Orders that a network partition delays would reach
    /// workers after those of the successor, and workers reject them by their fencing token
    /// only if they have seen a newer one.
    pub(super) fn sync_carrier(&mut self, now_ms: u64) {
        let is_over = self
            .carrier
            .leader()
            .is_some_and(|(leader, term)| !self.is_follower_of(leader, term));
        if is_over {
            if self.carrier.end().is_some_and(|open| open > 0) {
                self.out.push(Effect::AbortOrders);
            }
            return;
        }
        for (to, message) in self.carrier.due(now_ms) {
            self.send(to, message);
        }
    }

    /// Handles the outcome of an order that this instance sent to a worker, as the leader
    /// or as a carrier.
    pub(super) fn handle_order_outcome(&mut self, now_ms: u64, id: u64, outcome: OrderOutcome) {
        if !Carrier::is_carried(id) {
            return self.finish_order(now_ms, id, outcome);
        }
        let leader = self.carrier.leader();
        let outcome = match leader.is_some_and(|(to, _)| self.peers.understands_presence(to)) {
            true => outcome,
            // An instance of an earlier build knows no start times.
            false => outcome.split_start().1,
        };
        if !self.carrier.record_outcome(now_ms, id, outcome) {
            tracing::debug!(
                id,
                "carrier: an outcome is dropped, its leader has been replaced"
            );
        }
    }

    /// At the beginning of a planned stop: tells the leader at once, so that it sends no
    /// more orders.
    pub(super) fn close_carrier(&mut self) {
        for (to, message) in self.carrier.close() {
            self.send(to, message);
        }
    }

    /// At the end of a planned stop: gives up the orders without an outcome. Returns
    /// `false` if there are none.
    pub(super) fn abandon_carried_orders(&mut self, now_ms: u64) -> bool {
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

    /// Returns whether outcomes for the leader are queued, to be sent together.
    pub fn has_queued_outcomes(&self) -> bool {
        self.carrier.has_outcomes()
    }
}
