use serde::{Deserialize, Serialize};

use super::{Class, Demand, ServiceName};

/// A kind of request that callers send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name that callers use.
    pub name: ServiceName,
    /// The service class of its requests.
    pub class: Class,
    /// Declared resources of one request.
    pub demand: Demand,
}
