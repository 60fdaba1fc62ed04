use serde::{Deserialize, Serialize};

use super::{Budget, PoolName, Service};

/// A set of instances that run the same services, with an availability budget.
///
/// Each service belongs to exactly one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The pool's name.
    pub name: PoolName,
    /// The number of its instances that must stay available.
    pub budget: Budget,
    /// The services its instances run.
    pub services: Vec<Service>,
}
