//! Stops of runs on workers that are drained for more urgent work of another pool.

use super::Node;
use super::pass::request_stop;
use crate::control::{Decision, Effect, PreemptionInput};
use crate::model::InstanceName;

/// Drained workers that one look chooses runs to stop on: more stops than these have runs would
/// not be sent before the next look.
const MAX_PREEMPTED_WORKERS: usize = 64;

impl Node {
    /// Stops runs on workers that are drained for more urgent work of another pool.
    pub(super) fn preempt_runs(&mut self, now_ms: u64) {
        let now_unix_ms = self.clock.unix_ms(now_ms);
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let policy = &self.settings.policy;
        if !policy.preemption.enabled {
            return;
        }
        let yielding = lead.capacity.yielding_workers();
        let yielding: Vec<(InstanceName, u32)> = yielding
            .take(MAX_PREEMPTED_WORKERS)
            .map(|(worker, priority)| (worker.clone(), priority))
            .collect();
        self.visited += yielding.len() as u64;
        for (worker, priority) in yielding {
            let world = PreemptionInput {
                state: &self.state,
                fleet: &lead.fleet,
                estimates: match policy.order.learn {
                    true => self.state.history().estimates(),
                    false => &self.default_estimates,
                },
                shares: &lead.scheduler.shares,
                timing: &self.settings.timing,
                policy,
            };
            let victims = lead
                .preemptor
                .choose(now_ms, now_unix_ms, &worker, priority, &world);
            for victim in victims {
                tracing::info!(
                    task = %victim.task, attempt = victim.attempt, %worker, priority,
                    class = ?victim.class, left_ms = victim.left_ms,
                    lost_work = victim.lost_work,
                    "task: stopped for more urgent work"
                );
                let run = lead.fleet.run_mut(&worker, victim.task, victim.attempt);
                request_stop(now_ms, run);
                self.out.push(Effect::Count(Decision::RunPreempted));
            }
        }
    }
}
