use std::collections::BTreeMap;

use crate::model::{Instance, InstanceName, Pool, PoolName, Row, RowKey, ServiceName};

/// The parts of the replicated state that load management needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// The pool that serves each service.
    pub carriers: BTreeMap<ServiceName, PoolName>,
    /// Instances by name, with pool, epoch and duty.
    pub instances: BTreeMap<InstanceName, Instance>,
    /// Rows in force. A service without a row in a zone is not limited there.
    pub rows: BTreeMap<RowKey, Row>,
}
