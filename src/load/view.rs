use std::collections::BTreeMap;

use crate::model::{Instance, InstanceName, Pool, PoolName, Row, RowKey, ServiceName};

/// The replicated state as far as the decisions under load need it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// The pool that carries each service.
    pub carriers: BTreeMap<ServiceName, PoolName>,
    /// Instances by name, with pool, epoch and duty.
    pub instances: BTreeMap<InstanceName, Instance>,
    /// Rows in force. A service without a row in a zone is not limited there.
    pub rows: BTreeMap<RowKey, Row>,
}
