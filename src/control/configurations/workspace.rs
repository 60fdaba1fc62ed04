use serde::{Deserialize, Serialize};

use super::{KeyDigest, Quota};
use crate::model::WorkspaceName;

/// A group of callers that share API keys, a quota and a weight.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Unique name.
    pub name: WorkspaceName,
    /// Digests of the API keys that identify its callers.
    pub keys: Vec<KeyDigest>,
    /// Priority as configured. Queues order jobs by their own priorities, so no decision
    /// uses it.
    pub priority: u32,
    /// Its share when there is not room for all, in jobs a second.
    pub weight: f64,
    /// Largest sums of resources that its running tasks may hold.
    pub quota: Quota,
}
