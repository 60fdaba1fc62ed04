use serde::{Deserialize, Serialize};

/// What goes wrong in a play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultsSpec {
    /// How often a worker is lost without a word, on each machine.
    pub crashes_per_hour: f64,
    /// How long a machine whose worker was lost is down.
    pub down_ms: u64,
    /// Racks that are lost whole.
    pub racks: Vec<RackLoss>,
    /// Waves of upkeep.
    pub waves: Vec<WaveSpec>,
    /// Losses of the leader.
    pub leader: Vec<LeaderLoss>,
}

impl Default for FaultsSpec {
    fn default() -> Self {
        Self {
            crashes_per_hour: 0.0,
            down_ms: 4_000,
            racks: Vec::new(),
            waves: Vec::new(),
            leader: Vec::new(),
        }
    }
}

/// A rack is lost whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RackLoss {
    /// When, after the first job could come.
    pub at_s: u64,
    /// Which, from 0.
    pub rack: u16,
}

/// A wave of upkeep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveSpec {
    /// When an operator starts it, after the first job could come.
    pub at_s: u64,
    /// How many machines are due, spread over all pools.
    pub machines: u16,
    /// In what time all of them are due.
    pub duration_ms: u64,
    /// How many may be down for it at once.
    pub down_max: usize,
}

/// The leader is lost, and another goes on from its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaderLoss {
    /// When, after the first job could come.
    pub at_s: u64,
    /// How long nobody leads, beside the time of the election.
    pub down_ms: u64,
}
