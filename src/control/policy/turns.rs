use serde::{Deserialize, Serialize};

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
