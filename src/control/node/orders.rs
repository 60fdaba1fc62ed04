//! Orders to workers: how they are sent, and which part handles their outcome.

use super::Node;
use super::sent_order::SentOrder;
use crate::control::{Decision, Effect, Order, OrderKind, OrderOutcome, Placement, Rejection};

/// How long the answer to a short order is awaited. A round trip takes 1 to 3 ms.
pub(super) const ORDER_TIMEOUT_MS: u64 = 400;
/// A value that is never ordered, so that it differs from every wanted share.
const UNKNOWN_SHARE: u8 = u8::MAX;

impl Node {
    /// Sends an order to a worker. Returns `false` if the worker is unknown.
    pub(super) fn send_order(&mut self, sent: SentOrder, kind: OrderKind, timeout_ms: u64) -> bool {
        let Some(lead) = &mut self.leader_state else {
            return false;
        };
        let Some(worker) = self.state.worker(sent.worker()) else {
            return false;
        };
        let id = lead.allocate_id();
        let link = lead.fleet.link(sent.worker());
        let order = Order {
            id,
            address: worker.report.address,
            worker: sent.worker().clone(),
            fence: link.map_or(lead.term, |link| link.fence(lead.term)),
            timeout_ms,
            kind,
        };
        let own = lead.carriers.assign(order);
        self.out.extend(own.map(Effect::Order));
        lead.orders.insert(id, sent);
        true
    }

    /// Handles the outcome of an order.
    pub(super) fn finish_order(&mut self, now_ms: u64, id: u64, outcome: OrderOutcome) {
        let (started_unix_ms, outcome) = outcome.split_start();
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(sent) = lead.orders.remove(&id) else {
            return;
        };
        if let OrderOutcome::Rejected {
            reason: Rejection::Incarnation,
            ..
        } = outcome
        {
            return self.replace_worker(&sent.worker().clone());
        }
        let clock_ms = match &outcome {
            OrderOutcome::Done { clock_ms } | OrderOutcome::Rejected { clock_ms, .. } => *clock_ms,
            OrderOutcome::Listed { .. }
            | OrderOutcome::Unanswered
            | OrderOutcome::NotSent
            | OrderOutcome::Since { .. } => None,
        };
        if outcome == OrderOutcome::NotSent {
            self.out.push(Effect::Count(Decision::OrderNotSent));
        }
        if let Some(clock_ms) = clock_ms
            && let Some(link) = lead.fleet.link_mut(sent.worker())
        {
            link.record_clock(now_ms, clock_ms);
        }
        match sent {
            SentOrder::Start(start) => self.finish_start(now_ms, &start, &outcome),
            SentOrder::Stop(stop) => self.finish_stop(now_ms, &stop, &outcome),
            SentOrder::Renew { worker, sent_ms } => {
                self.finish_renewal(now_ms, &worker, sent_ms, started_unix_ms, outcome)
            }
            SentOrder::Throttle(run) => self.finish_throttle(&run, &outcome),
        }
    }

    /// Sets the share of its full speed at which a run may proceed.
    pub(super) fn set_share(&mut self, run: Placement, percent: u8) {
        if let Some(lead) = &mut self.leader_state
            && let Some(view) = lead.fleet.run_mut(&run.worker, run.task, run.attempt)
        {
            view.share_percent = percent;
        }
        tracing::info!(
            task = %run.task, worker = %run.worker, percent,
            "task: its speed share is set"
        );
        let kind = OrderKind::Throttle {
            task: run.task,
            attempt: run.attempt,
            percent,
        };
        self.send_order(SentOrder::Throttle(run), kind, ORDER_TIMEOUT_MS);
    }

    fn finish_throttle(&mut self, run: &Placement, outcome: &OrderOutcome) {
        if matches!(outcome, OrderOutcome::Done { .. }) {
            return;
        }
        if let Some(lead) = &mut self.leader_state
            && let Some(view) = lead.fleet.run_mut(&run.worker, run.task, run.attempt)
        {
            // The actual share is unknown now, so the next check orders it again.
            view.share_percent = UNKNOWN_SHARE;
        }
    }
}
