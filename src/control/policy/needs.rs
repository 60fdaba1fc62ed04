use serde::{Deserialize, Serialize};

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
