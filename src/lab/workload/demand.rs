use serde::{Deserialize, Serialize};

/// How demand goes up and down.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Demand {
    /// It stays as it is.
    Steady {},
    /// It goes round the pools: one after the other has most of the work.
    Turns {
        /// How long a turn is in the mean.
        turn_ms: u64,
        /// The part of its jobs that a pool gets in its own turn, where all turns are alike.
        part: f64,
        /// Whether turns are alike.
        pace: TurnPace,
    },
    /// Now and then there is much more of it.
    Bursts {
        /// From the beginning of a burst to the next.
        every_ms: u64,
        /// How long a burst is.
        lasts_ms: u64,
        /// How many times the usual jobs come in it.
        factor: f64,
    },
    /// It grows evenly.
    Growth {
        /// How many times the first jobs come in the end.
        factor: f64,
    },
}

/// Whether turns of demand are alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TurnPace {
    /// All turns are as long, and the pools come in their order.
    Even,
    /// A turn is half as long to half as long again, and any other pool is next.
    Uneven,
}

impl Demand {
    /// How many times the usual jobs come at a time of a play.
    pub fn factor(&self, at_ms: u64, play_ms: u64) -> f64 {
        match self {
            Self::Steady {} | Self::Turns { .. } => 1.0,
            Self::Bursts {
                every_ms,
                lasts_ms,
                factor,
            } => {
                // A play does not begin with a burst.
                let since_ms = (at_ms + lasts_ms) % every_ms;
                if since_ms < *lasts_ms { *factor } else { 1.0 }
            }
            Self::Growth { factor } => 1.0 + (factor - 1.0) * at_ms as f64 / play_ms as f64,
        }
    }

    /// How many times its usual jobs a pool of so many gets, if it has its turn or if not.
    pub fn factor_of_pool(&self, has_turn: bool, pools: usize) -> f64 {
        let pools = pools as f64;
        match self {
            Self::Turns { part, .. } if pools > 1.0 => {
                if has_turn {
                    part * pools
                } else {
                    (1.0 - part) * pools / (pools - 1.0)
                }
            }
            _ => 1.0,
        }
    }

    /// The most jobs that ever come, as a multiple of the usual ones.
    pub fn most(&self, pools: usize) -> f64 {
        match self {
            Self::Steady {} => 1.0,
            Self::Turns { .. } => {
                let factors = [true, false].map(|turn| self.factor_of_pool(turn, pools));
                factors.into_iter().fold(0.0, f64::max)
            }
            Self::Bursts { factor, .. } | Self::Growth { factor } => factor.max(1.0),
        }
    }
}
