use serde::{Deserialize, Serialize};

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
