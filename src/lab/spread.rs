use rand::Rng;
use serde::{Deserialize, Serialize};

/// A factor that is drawn anew each time; its logarithm is even between the two.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spread {
    /// The smallest.
    pub least: f64,
    /// The largest.
    pub most: f64,
}

impl Spread {
    /// A factor.
    pub fn draw(&self, rng: &mut impl Rng) -> f64 {
        let (least, most) = (self.least.ln(), self.most.ln());
        (least + (most - least) * rng.random::<f64>()).exp()
    }
}

impl Default for Spread {
    fn default() -> Self {
        Self {
            least: 1.0,
            most: 1.0,
        }
    }
}
