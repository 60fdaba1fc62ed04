use serde::{Deserialize, Serialize};

use super::{Class, Demand, ServiceName};

/// A kind of work that callers ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name callers use.
    pub name: ServiceName,
    /// The class of its requests.
    pub class: Class,
    /// Declared need of one request.
    pub demand: Demand,
}
