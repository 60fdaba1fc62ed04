//! The weights, thresholds and mechanisms of scheduling and capacity, in one place.
//!
//! Decisions get a [`Policy`] as an argument, so that tests, measurements and the file
//! that an operator may write use the same. Each default stands beside its ground.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::PolicyFault;

/// How a leader weighs what it decides.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How much room each pool needs.
    pub needs: NeedsPolicy,
    /// Turns of demand that are foreseen.
    pub turns: TurnsPolicy,
    /// Machines that move between pools.
    pub moves: MovesPolicy,
    /// Machines that are off while nobody needs them.
    pub standby: StandbyPolicy,
    /// Which work goes first.
    pub order: OrderPolicy,
    /// Where work goes.
    pub placement: PlacementPolicy,
    /// Runs that go wrong.
    pub runs: RunsPolicy,
    /// Machines that are due for upkeep.
    pub upkeep: UpkeepPolicy,
    /// Followers that carry out orders for the leader.
    pub carriers: CarriersPolicy,
}

/// How much room each pool needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NeedsPolicy {
    /// A job's work is wanted within the time that its chain of steps still takes, as it
    /// cannot be done sooner, but not within less than this: what is about to end asks
    /// for nothing more.
    pub shortest_ms: u64,
    /// Work that cannot be on time any more is wanted within this time: it fills what the
    /// rest leaves.
    pub late_ms: u64,
    /// Whether arrivals count, and not only the work that is there.
    pub arrivals: bool,
    /// The time over which arrivals are counted, at least.
    pub window_ms: u64,
    /// Jobs that are counted at least, over up to four times as long: fewer come by
    /// chance.
    pub jobs: u32,
    /// How far ahead a rise of arrivals is carried on: the time of a move and of the new
    /// worker's first listing. 0 takes arrivals to stay as they are.
    pub ahead_ms: u64,
    /// A rise is one if it is so many times as large as what chance makes of it.
    pub rise_deviations: f64,
    /// The part of such a rise that is believed.
    pub rise_part: f64,
    /// It is taken for no more than this multiple of what comes now.
    pub rise_most: f64,
    /// Room beyond what is offered, in standard deviations of what jobs ask for.
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

/// Turns of demand that are foreseen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TurnsPolicy {
    /// Whether turns are foreseen at all.
    pub foresee: bool,
    /// Gaps between turns that must have been seen.
    pub gaps: usize,
    /// Turns are even if no gap differs more from their mean than this part of it.
    pub even_part: f64,
    /// How long before a turn begins its machines set out.
    pub ahead_ms: u64,
    /// How long after its time a turn that was foreseen may begin; then it was a mistake.
    pub late_ms: u64,
    /// The part of a turn's usual peak that is prepared before it begins.
    pub peak_part: f64,
    /// How many pools may be prepared for when it is not known whose turn comes.
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
            pools: 1,
        }
    }
}

/// Machines that move between pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MovesPolicy {
    /// Whether machines move by demand.
    pub enabled: bool,
    /// A machine that came to a pool stays at least so long: a move takes 1.5 s in which
    /// it does nothing, so a shorter stay is mostly travel.
    pub stay_ms: u64,
    /// What a pool needed at most in this time it does not give to another: a gap
    /// between two arrivals is shorter.
    pub surplus_ms: u64,
    /// A machine that is being emptied for a move goes when it is empty, or after this
    /// stays: its work took longer than the surplus can be trusted.
    pub empty_ms: u64,
    /// Machines that a pool keeps whatever its need, if it has them.
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

/// Machines that are off while nobody needs them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandbyPolicy {
    /// Whether machines go off.
    pub enabled: bool,
    /// What a pool needed at most in this time stays on. Off and on again costs two
    /// moves, about as much as a machine-second each, and the time of the way.
    pub surplus_ms: u64,
    /// Needs are watched for so long before any machine goes off.
    pub watch_ms: u64,
    /// Machines of a pool that stay on whatever its need.
    pub fewest: usize,
}

impl Default for StandbyPolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            surplus_ms: 20_000,
            watch_ms: 20_000,
            fewest: 3,
        }
    }
}

/// Which work goes first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderPolicy {
    /// Whether work that can be on time goes before work that cannot.
    pub by_class: bool,
    /// Whether the least work goes first, instead of the first come.
    pub least_work: bool,
    /// What the large jobs of a queue get of the part that their work would be in
    /// proportion; 0 gives them no share of their own. With 1 both groups were served
    /// alike; below a half the largest would be served less than half as often.
    pub large_part: f64,
    /// Whether run times are learnt, instead of taken as estimated.
    pub learn: bool,
    /// What the work that is left of a job counts once something of it was placed: what is
    /// begun and not ended in time has taken its room for nothing. 1 makes no difference.
    pub begun_part: f64,
}

impl Default for OrderPolicy {
    fn default() -> Self {
        Self {
            by_class: true,
            least_work: true,
            large_part: 0.6,
            learn: true,
            begun_part: 0.2,
        }
    }
}

/// Where work goes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementPolicy {
    /// Whether the fullest worker that has room is chosen, instead of the freest.
    pub pack: bool,
    /// Whether lasting tasks avoid machines that are due for upkeep.
    pub avoid_due: bool,
    /// Starts on their way at once. Without a bound a turn's first pass orders thousands:
    /// the leader needs longer to write them than an answer is waited for, sends them all
    /// again, and collapses under its own repetitions. 1,200 starts a second that take
    /// 40 ms each, sync and all, keep 48 on their way; four times that leaves room for
    /// workers that do not answer.
    pub starts_open: usize,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            pack: true,
            avoid_due: true,
            starts_open: 192,
        }
    }
}

/// Runs that go wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunsPolicy {
    /// No progress for so long is a standstill: a task that works moves by a percent in a
    /// fraction of that, and a listing is at most a second old. 0 takes nothing for one.
    pub still_ms: u64,
    /// With this many recent failures a worker rests: two tasks in a row that fail by
    /// their own fault on one worker are rare (one in 500 fails so). 0 rests none.
    pub failures_max: f64,
    /// How long it rests; then one more failure sends it back.
    pub failures_rest_ms: u64,
}

impl Default for RunsPolicy {
    fn default() -> Self {
        Self {
            still_ms: 1_600,
            failures_max: 2.5,
            failures_rest_ms: 4_000,
        }
    }
}

/// Machines that are due for upkeep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpkeepPolicy {
    /// How long tasks that end by themselves are waited for. Most run a second or two;
    /// what is left then is stopped with its progress saved.
    pub patience_ms: u64,
    /// The part of a wave's time in which all is planned to begin; the rest is for
    /// machines that are down or full when their turn comes.
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

/// Followers that carry out orders for the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CarriersPolicy {
    /// Workers that one instance calls.
    ///
    /// Up to so many the leader calls all of them itself: the way by a follower is one more
    /// hop there and one back, some milliseconds of each start and each end, and gains
    /// nothing while the leader has time. Above,
    /// so many followers share them as are needed for this: each costs the leader messages
    /// of its own.
    pub workers_each: usize,
}

impl Default for CarriersPolicy {
    fn default() -> Self {
        Self { workers_each: 120 }
    }
}

impl CarriersPolicy {
    /// How many followers a fleet of so many workers needs; none if the leader calls all
    /// of them itself.
    pub fn wanted(&self, workers: usize) -> usize {
        let each = self.workers_each.max(1);
        if workers <= each {
            0
        } else {
            workers.div_ceil(each)
        }
    }
}

/// The longest time that is taken for meant, in milliseconds.
const TIME_MAX_MS: f64 = 600_000.0;

impl Policy {
    /// Reads the policy in a file.
    ///
    /// # Errors
    /// Everything that is wrong, with a remedy.
    pub fn load(path: &Path) -> Result<Self, Vec<PolicyFault>> {
        let text = std::fs::read_to_string(path).map_err(|err| {
            vec![PolicyFault::NoFile {
                path: path.display().to_string(),
                cause: err.to_string(),
            }]
        })?;
        Self::parse(&text)
    }

    /// Reads a policy; what it does not name stays as it is by default.
    ///
    /// # Errors
    /// Everything that is wrong, with a remedy.
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

    /// What is out of its range.
    pub fn faults(&self) -> Vec<PolicyFault> {
        let time = |ms: u64| (ms as f64, 0.0, TIME_MAX_MS);
        let count = |count: usize, least: f64| (count as f64, least, 100_000.0);
        let part = |part: f64, most: f64| (part, 0.0, most);
        let fields = [
            (
                "needs.shortest_ms",
                (self.needs.shortest_ms as f64, 1.0, TIME_MAX_MS),
            ),
            (
                "needs.late_ms",
                (self.needs.late_ms as f64, 1.0, TIME_MAX_MS),
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
            ("turns.pools", count(self.turns.pools, 1.0)),
            ("moves.stay_ms", time(self.moves.stay_ms)),
            ("moves.surplus_ms", time(self.moves.surplus_ms)),
            ("moves.empty_ms", time(self.moves.empty_ms)),
            ("moves.fewest", count(self.moves.fewest, 0.0)),
            ("standby.surplus_ms", time(self.standby.surplus_ms)),
            ("standby.watch_ms", time(self.standby.watch_ms)),
            ("standby.fewest", count(self.standby.fewest, 0.0)),
            ("order.begun_part", part(self.order.begun_part, 1.0)),
            ("order.large_part", part(self.order.large_part, 1.0)),
            (
                "placement.starts_open",
                count(self.placement.starts_open, 1.0),
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
        let wrong = fields.into_iter().filter(|(_, (value, least, most))| {
            !value.is_finite() || value < least || value > most
        });
        wrong
            .map(|(field, (value, least, most))| PolicyFault::OutOfRange {
                field,
                value,
                least,
                most,
            })
            .collect()
    }
}
