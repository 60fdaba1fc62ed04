//! Tunable weights, thresholds and switches of scheduling and capacity planning.
//!
//! Every decision takes a [`Policy`] as an argument, so that tests, measurements and the
//! operator's policy file use the same type. The fields are the keys of that file; their
//! documentation gives the reason for the default.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::timing::LONGEST_LEASE_MS;
use crate::control::PolicyFault;

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

/// Resources that each pool needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NeedsPolicy {
    /// Shortest time over which the remaining work of a job is spread. It is otherwise
    /// spread over the remaining time of the job's chain of steps, as the job cannot end
    /// sooner. Without the bound, jobs that are about to end would ask for more machines.
    pub shortest_ms: u64,
    /// Time over which the work of a job is spread that can no longer be on time: such work
    /// uses what other work leaves free.
    pub late_ms: u64,
    /// Whether the rate of arrivals counts, in addition to the accepted work.
    pub arrivals: bool,
    /// Shortest window over which arrivals are counted.
    pub window_ms: u64,
    /// Fewest jobs in the window; it is extended up to fourfold to reach them, as the rate of
    /// fewer jobs is mostly chance.
    pub jobs: u32,
    /// How far ahead a rise of the arrival rate is extrapolated: the time of a move and of
    /// the new worker's first report. 0 assumes a constant rate.
    pub ahead_ms: u64,
    /// Number of standard deviations above which a rise of the arrival rate is significant.
    pub rise_deviations: f64,
    /// Fraction of a significant rise that is extrapolated.
    pub rise_part: f64,
    /// Largest extrapolated rise, as a multiple of the present rate.
    pub rise_most: f64,
    /// Safety margin above the offered load, in standard deviations of that load.
    pub deviations: f64,
}

impl Default for NeedsPolicy {
    fn default() -> Self {
        Self {
            shortest_ms: 300,
            late_ms: 10_000,
            arrivals: true,
            window_ms: 1_000,
            jobs: 12,
            ahead_ms: 2_000,
            rise_deviations: 1.0,
            rise_part: 0.5,
            rise_most: 2.0,
            deviations: 1.0,
        }
    }
}

/// Forecast of the pools' turns of peak demand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TurnsPolicy {
    /// Whether turns are forecast.
    pub foresee: bool,
    /// Number of intervals between turns that must have been observed before a forecast.
    pub gaps: usize,
    /// Turns are regular if no interval deviates from the mean by more than this fraction of
    /// the mean.
    pub even_part: f64,
    /// How long before a forecast turn its machines are ordered to move.
    pub ahead_ms: u64,
    /// How long after its forecast time a turn may begin before the forecast is dropped.
    pub late_ms: u64,
    /// Fraction of the usual peak that is provided before a turn begins.
    pub peak_part: f64,
    /// Fraction of the usual peak that is provided in the first seconds of a turn, before its
    /// own load is known.
    pub begun_part: f64,
    /// Fraction of the usual peak of other pools for which a pool that had no turn yet keeps
    /// machines powered on.
    pub awaited_part: f64,
    /// Most pools to prepare when several are candidates for the next turn; with more
    /// candidates none is prepared.
    pub pools: usize,
}

impl Default for TurnsPolicy {
    fn default() -> Self {
        Self {
            foresee: true,
            gaps: 2,
            even_part: 0.3,
            ahead_ms: 1_900,
            late_ms: 800,
            peak_part: 1.0,
            begun_part: 1.0,
            awaited_part: 1.0,
            pools: 1,
        }
    }
}

/// Moves of machines between pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MovesPolicy {
    /// Whether machines move with demand.
    pub enabled: bool,
    /// Shortest stay of a machine in a pool. It does no work while it moves, so a shorter stay
    /// does not pay off.
    pub stay_ms: u64,
    /// A pool keeps the most machines that it needed within this time. A gap between two
    /// arrivals is shorter, so it does not release machines.
    pub surplus_ms: u64,
    /// Longest drain of a machine for a move; after that it stays in its pool, because the
    /// surplus that it was taken from may no longer exist.
    pub empty_ms: u64,
    /// Machines that a pool keeps regardless of its need, if it has them.
    pub fewest: usize,
}

impl Default for MovesPolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            stay_ms: 2_500,
            surplus_ms: 400,
            empty_ms: 1_200,
            fewest: 3,
        }
    }
}

/// Machines that are powered off while no pool needs them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandbyPolicy {
    /// Whether machines are powered off.
    pub enabled: bool,
    /// A pool keeps the most machines that it needed within this time powered on. To power a
    /// machine off and on costs two moves and the time that they take.
    pub surplus_ms: u64,
    /// The same in rounds of turns; the longer of both times counts.
    /// Machines that are powered off in the course of a round are missed in the next one, and
    /// arrive late.
    pub surplus_rounds: f64,
    /// How long the needs of a pool are observed before any of its machines is powered off.
    pub watch_ms: u64,
    /// Machines of a pool that stay on regardless of its need.
    pub fewest: usize,
}

impl Default for StandbyPolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            surplus_ms: 20_000,
            surplus_rounds: 1.5,
            watch_ms: 20_000,
            fewest: 3,
        }
    }
}

impl StandbyPolicy {
    /// Returns the time over which the most machines that a pool needed stay powered on, given
    /// the duration of a round of turns.
    pub fn surplus_over_ms(&self, round_ms: Option<u64>) -> u64 {
        let rounds_ms = round_ms.map_or(0.0, |ms| ms as f64 * self.surplus_rounds);
        self.surplus_ms.max(rounds_ms as u64)
    }
}

/// Order in which jobs are placed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderPolicy {
    /// Whether jobs that can still be on time go before jobs that cannot.
    pub by_class: bool,
    /// Whether jobs beyond the shares of their workspaces go behind all others of their
    /// queue's priority.
    pub by_share: bool,
    /// Whether the job with the least work goes first, instead of the earliest one.
    pub least_work: bool,
    /// Share that the large jobs of a queue get, as a fraction of their share of the work; 0
    /// gives them no share of their own. With 1 large and small jobs are served alike; below
    /// a half the largest jobs would be served less than half as often.
    pub large_part: f64,
    /// Whether run times are learnt from past runs, instead of taken from the estimates.
    pub learn: bool,
    /// Weight of the remaining work of a job once one of its tasks was placed: a job that is
    /// started and not completed in time has used its resources for nothing. 1 makes no
    /// difference.
    pub begun_part: f64,
}

impl Default for OrderPolicy {
    fn default() -> Self {
        Self {
            by_class: true,
            by_share: true,
            least_work: true,
            large_part: 0.6,
            learn: true,
            begun_part: 0.2,
        }
    }
}

/// Choice of workers for tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementPolicy {
    /// Whether the fullest worker with room is chosen (bin packing), instead of the freest.
    pub pack: bool,
    /// Whether lasting tasks avoid machines that are due for upkeep.
    pub avoid_due: bool,
    /// Whether the tasks of a step are kept in one availability zone while it has room.
    pub keep_zone: bool,
    /// Whether tasks avoid availability zones and racks from which no worker is heard.
    pub avoid_silent: bool,
    /// Most starts in flight at once. Without a bound the first pass of a turn orders
    /// thousands; the leader needs longer to write them than their answer timeout, sends all
    /// of them again and is overloaded by its own retries.
    pub starts_open: usize,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            pack: true,
            avoid_due: true,
            keep_zone: true,
            avoid_silent: true,
            starts_open: 192,
        }
    }
}

/// Runs that stall or fail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunsPolicy {
    /// Lease that a worker gets with each renewal, if it accepts one of that length. It
    /// exceeds the time of a leader change, an election of about a second and a first
    /// renewal, as otherwise every loss of a leader would end all runs. The tasks of a lost
    /// worker start elsewhere once its lease has expired, so it is no longer than needed.
    pub lease_ms: u64,
    /// Time without progress after which a run counts as stalled. A task that works advances
    /// by a percent in a fraction of that, and a report is at most a second old. 0 disables
    /// the check.
    pub still_ms: u64,
    /// Number of recent failures from which a worker gets no new tasks for a while. Two tasks
    /// in a row that fail by their own fault on one worker are rare. 0 disables the check.
    pub failures_max: f64,
    /// How long such a worker gets no new tasks; after that one more failure excludes it
    /// again.
    pub failures_rest_ms: u64,
}

impl Default for RunsPolicy {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            still_ms: 1_600,
            failures_max: 2.5,
            failures_rest_ms: 4_000,
        }
    }
}

/// Maintenance waves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpkeepPolicy {
    /// How long the drain of a machine waits for tasks that end by themselves. Most run a
    /// second or two; the others are then stopped with their progress saved.
    pub patience_ms: u64,
    /// Fraction of a wave's duration within which all upkeeps are planned to begin. The rest
    /// is a reserve for machines that are down or full when they are due.
    pub goal_part: f64,
}

impl Default for UpkeepPolicy {
    fn default() -> Self {
        Self {
            patience_ms: 2_500,
            goal_part: 0.75,
        }
    }
}

/// Followers that send orders to workers on behalf of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CarriersPolicy {
    /// Most workers that one instance calls.
    ///
    /// Up to this number the leader calls all workers itself: a follower in between adds a
    /// hop in each direction, some milliseconds for each start and each end, and gains
    /// nothing while the leader has capacity. Above it the workers are shared out to as few
    /// followers as possible, since each follower costs the leader messages of its own.
    pub workers_each: usize,
}

impl Default for CarriersPolicy {
    fn default() -> Self {
        Self { workers_each: 120 }
    }
}

impl CarriersPolicy {
    /// Returns how many followers a fleet of `workers` workers needs; 0 if the leader calls
    /// all of them itself.
    pub fn wanted(&self, workers: usize) -> usize {
        let each = self.workers_each.max(1);
        if workers <= each {
            0
        } else {
            workers.div_ceil(each)
        }
    }
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
