//! Stops of runs and their outcomes.

use super::Node;
use super::leader_state::LeaderState;
use super::orders::ORDER_TIMEOUT_MS;
use super::sent_order::SentOrder;
use crate::control::{OrderKind, OrderOutcome, Placement, RunPhase};

/// Maximum number of stops in flight, the same as for starts. A caller may cancel thousands
/// of tasks at a time. Without a bound, writing their stops would take the leader longer
/// than the timeout for an answer, and it would send all of them again.
const MAX_STOPS_IN_FLIGHT: usize = 192;
/// Delay before an unanswered stop is sent again.
const STOP_RETRY_DELAY_MS: u64 = 250;

impl LeaderState {
    /// Takes the stops to send now. Those that have been due for longest come first, so
    /// that runs on unresponsive workers do not delay other stops.
    fn take_due_stops(&mut self, now_ms: u64) -> Vec<Placement> {
        let mut due = Vec::new();
        for (name, link) in self.fleet.stopping() {
            for ((task, attempt), view) in link.runs.iter() {
                if let RunPhase::Stopping { ordered, again_ms } = view.phase
                    && !ordered
                    && now_ms >= again_ms
                {
                    due.push((again_ms, name, *task, *attempt));
                }
            }
        }
        if due.is_empty() {
            return Vec::new();
        }
        let sent = self.orders.values();
        let open = sent
            .filter(|sent| matches!(sent, SentOrder::Stop(_)))
            .count();
        due.sort_by_key(|(again_ms, ..)| *again_ms);
        due.truncate(MAX_STOPS_IN_FLIGHT.saturating_sub(open));
        let due = due.into_iter();
        let stops: Vec<Placement> = due
            .map(|(_, worker, task, attempt)| Placement {
                task,
                attempt,
                worker: worker.clone(),
            })
            .collect();
        for stop in &stops {
            if let Some(view) = self.fleet.run_mut(&stop.worker, stop.task, stop.attempt)
                && let RunPhase::Stopping { ordered, .. } = &mut view.phase
            {
                *ordered = true;
            }
        }
        stops
    }
}

impl Node {
    /// Sends requested stops that are not in flight, up to the limit.
    pub(super) fn send_stops(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        lead.fleet.update(&self.state);
        for stop in lead.take_due_stops(now_ms) {
            let kind = OrderKind::Stop {
                task: stop.task,
                attempt: stop.attempt,
            };
            self.send_order(SentOrder::Stop(stop), kind, ORDER_TIMEOUT_MS);
        }
    }

    pub(super) fn finish_stop(&mut self, now_ms: u64, stop: &Placement, outcome: &OrderOutcome) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(view) = lead.fleet.run_mut(&stop.worker, stop.task, stop.attempt) else {
            return;
        };
        view.phase = match outcome {
            OrderOutcome::Done { .. } | OrderOutcome::Listed { .. } => {
                RunPhase::Stopped { at_ms: now_ms }
            }
            // The order timed out in the local queue; it is queued again at once.
            OrderOutcome::NotSent => RunPhase::Stopping {
                ordered: false,
                again_ms: now_ms,
            },
            OrderOutcome::Rejected { .. }
            | OrderOutcome::Unanswered
            | OrderOutcome::Since { .. } => RunPhase::Stopping {
                ordered: false,
                again_ms: now_ms + STOP_RETRY_DELAY_MS,
            },
        };
    }
}
