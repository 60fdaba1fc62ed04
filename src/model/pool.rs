use serde::{Deserialize, Serialize};

use super::{Budget, PoolName, Service};

/// A set of instances that carries some services within a budget.
///
/// A service is carried by exactly one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The pool's name.
    pub name: PoolName,
    /// How many of its instances must stay available.
    pub budget: Budget,
    /// The services its instances run.
    pub services: Vec<Service>,
}
