//! Tunable weights, thresholds and switches of scheduling and capacity planning.
//!
//! Every decision takes a [`Policy`] as an argument, so that tests, measurements and the
//! operator's policy file use the same type. The fields are the keys of that file; their
//! documentation gives the reason for the default.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::timing::LONGEST_LEASE_MS;
use crate::control::{
    ArbitrationPolicy, CarriersPolicy, MovesPolicy, NeedsPolicy, OrderPolicy, PlacementPolicy,
    PolicyFault, PreemptionPolicy, RunsPolicy, StandbyPolicy, TurnsPolicy, UpkeepPolicy,
};

/// Parameters of the leader's decisions, as in the operator's policy file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Resources that each pool needs.
    pub needs: NeedsPolicy,
    /// Forecast of the pools' turns of peak demand.
    pub turns: TurnsPolicy,
    /// Moves of machines between pools.
    pub moves: MovesPolicy,
    /// Division of machines among pools that lack some.
    pub arbitration: ArbitrationPolicy,
    /// Runs that are stopped for more urgent work.
    pub preemption: PreemptionPolicy,
    /// Machines that are powered off while no pool needs them.
    pub standby: StandbyPolicy,
    /// Order in which jobs are placed.
    pub order: OrderPolicy,
    /// Choice of workers for tasks.
    pub placement: PlacementPolicy,
    /// Runs that stall or fail.
    pub runs: RunsPolicy,
    /// Maintenance waves.
    pub upkeep: UpkeepPolicy,
    /// Followers that send orders to workers on behalf of the leader.
    pub carriers: CarriersPolicy,
}

/// Shortest lease of a worker: renewals are a second apart, and one of them may be lost.
const SHORTEST_LEASE_MS: f64 = 2_500.0;

/// Upper bound of all times in a policy, in milliseconds: a longer time is taken for a
/// mistake.
const MAX_TIME_MS: f64 = 600_000.0;

impl Policy {
    /// Reads the policy file at `path`.
    ///
    /// # Errors
    /// Returns all faults, each with its remedy.
    pub fn load(path: &Path) -> Result<Self, Vec<PolicyFault>> {
        let text = std::fs::read_to_string(path).map_err(|err| {
            vec![PolicyFault::NoFile {
                path: path.display().to_string(),
                cause: err.to_string(),
            }]
        })?;
        Self::parse(&text)
    }

    /// Parses a policy from JSON; fields that it does not name have their defaults.
    ///
    /// # Errors
    /// Returns all faults, each with its remedy.
    pub fn parse(text: &str) -> Result<Self, Vec<PolicyFault>> {
        let policy: Self = serde_json::from_str(text).map_err(|err| {
            vec![PolicyFault::Unreadable {
                cause: err.to_string(),
            }]
        })?;
        let faults = policy.faults();
        if faults.is_empty() {
            Ok(policy)
        } else {
            Err(faults)
        }
    }

    /// Returns a fault for every value that is out of its range.
    pub fn faults(&self) -> Vec<PolicyFault> {
        let time = |ms: u64| (ms as f64, 0.0, MAX_TIME_MS);
        let count = |count: usize, min: f64| (count as f64, min, 100_000.0);
        let part = |part: f64, max: f64| (part, 0.0, max);
        let fields = [
            (
                "needs.shortest_ms",
                (self.needs.shortest_ms as f64, 1.0, MAX_TIME_MS),
            ),
            (
                "needs.late_ms",
                (self.needs.late_ms as f64, 1.0, MAX_TIME_MS),
            ),
            (
                "needs.window_ms",
                (self.needs.window_ms as f64, 100.0, 10_000.0),
            ),
            ("needs.jobs", count(self.needs.jobs as usize, 1.0)),
            ("needs.ahead_ms", time(self.needs.ahead_ms)),
            (
                "needs.rise_deviations",
                part(self.needs.rise_deviations, 10.0),
            ),
            ("needs.rise_part", part(self.needs.rise_part, 4.0)),
            ("needs.rise_most", part(self.needs.rise_most, 100.0)),
            ("needs.deviations", part(self.needs.deviations, 10.0)),
            ("turns.gaps", count(self.turns.gaps, 1.0)),
            ("turns.even_part", part(self.turns.even_part, 1.0)),
            ("turns.ahead_ms", time(self.turns.ahead_ms)),
            ("turns.late_ms", time(self.turns.late_ms)),
            ("turns.peak_part", part(self.turns.peak_part, 4.0)),
            ("turns.begun_part", part(self.turns.begun_part, 4.0)),
            ("turns.awaited_part", part(self.turns.awaited_part, 4.0)),
            ("turns.pools", count(self.turns.pools, 1.0)),
            ("moves.stay_ms", time(self.moves.stay_ms)),
            ("moves.surplus_ms", time(self.moves.surplus_ms)),
            ("moves.empty_ms", time(self.moves.empty_ms)),
            ("moves.fewest", count(self.moves.fewest, 0.0)),
            (
                "arbitration.rest_part",
                part(self.arbitration.rest_part, 1.0),
            ),
            ("arbitration.empty_ms", time(self.arbitration.empty_ms)),
            ("preemption.soon_ms", time(self.preemption.soon_ms)),
            ("preemption.slack_ms", time(self.preemption.slack_ms)),
            ("preemption.again_ms", time(self.preemption.again_ms)),
            ("preemption.loss_part", part(self.preemption.loss_part, 1.0)),
            (
                "preemption.loss_share",
                part(self.preemption.loss_share, 1.0),
            ),
            ("standby.surplus_ms", time(self.standby.surplus_ms)),
            (
                "standby.surplus_rounds",
                part(self.standby.surplus_rounds, 100.0),
            ),
            ("standby.watch_ms", time(self.standby.watch_ms)),
            ("standby.fewest", count(self.standby.fewest, 0.0)),
            ("order.begun_part", part(self.order.begun_part, 1.0)),
            ("order.large_part", part(self.order.large_part, 1.0)),
            (
                "placement.starts_open",
                count(self.placement.starts_open, 1.0),
            ),
            (
                "runs.lease_ms",
                (
                    self.runs.lease_ms as f64,
                    SHORTEST_LEASE_MS,
                    LONGEST_LEASE_MS as f64,
                ),
            ),
            ("runs.still_ms", time(self.runs.still_ms)),
            ("runs.failures_max", part(self.runs.failures_max, 1_000.0)),
            ("runs.failures_rest_ms", time(self.runs.failures_rest_ms)),
            ("upkeep.patience_ms", time(self.upkeep.patience_ms)),
            ("upkeep.goal_part", part(self.upkeep.goal_part, 1.0)),
            (
                "carriers.workers_each",
                count(self.carriers.workers_each, 1.0),
            ),
        ];
        let out_of_range = fields
            .into_iter()
            .filter(|(_, (value, min, max))| !value.is_finite() || value < min || value > max);
        out_of_range
            .map(|(field, (value, min, max))| PolicyFault::OutOfRange {
                field,
                value,
                min,
                max,
            })
            .collect()
    }
}
