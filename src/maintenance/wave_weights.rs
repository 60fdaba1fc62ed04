use serde::{Deserialize, Serialize};

/// Weights of a wave's costs, in a unit chosen by the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveWeights {
    /// Cost of one minute of roll-out time.
    pub rollout_per_minute: u32,
    /// Cost of one instance move.
    pub per_move: u32,
    /// Cost of one instance that is unavailable to its own pool for an hour.
    pub buffer_per_instance_hour: u32,
}

impl WaveWeights {
    /// For short waves with deadlines: a move costs as much as a minute.
    pub const ROLLOUT_FIRST: Self = Self {
        rollout_per_minute: 10,
        per_move: 10,
        buffer_per_instance_hour: 10,
    };

    /// For deployments where every move puts a booking at risk: a move costs as much
    /// as ten hours.
    pub const MOVES_FIRST: Self = Self {
        rollout_per_minute: 1,
        per_move: 600,
        buffer_per_instance_hour: 10,
    };

    /// Cost of `rollout_ms` of roll-out time, in thousandths.
    pub fn rollout_cost(&self, rollout_ms: u64) -> u64 {
        rollout_ms.saturating_mul(u64::from(self.rollout_per_minute)) / 60
    }

    /// Cost of lending `loans` instances for `lent_ms` each and returning them, in
    /// thousandths.
    pub fn loan_cost(&self, loans: u32, lent_ms: u64) -> u64 {
        let moves = 2_000 * u64::from(self.per_move);
        let buffer = lent_ms.saturating_mul(u64::from(self.buffer_per_instance_hour)) / 3_600;
        u64::from(loans).saturating_mul(moves + buffer)
    }
}
