//! The data model: instances in racks and availability zones, the pools that
//! they belong to, the services that the pools run, and the rows of weights and
//! limits that operators maintain.
//!
//! These are plain data types that all parts share, without any decisions.

mod budget;
mod capacity;
mod class;
mod demand;
mod duty;
mod instance;
mod names;
mod outcome;
mod pool;
mod refusal;
mod report;
mod row;
mod service;

pub use budget::{Budget, FailureDomain};
pub use capacity::Capacity;
pub use class::Class;
pub use demand::Demand;
pub use duty::{Absence, DesiredState};
pub use instance::Instance;
pub use names::{
    ChangeId, EntryName, InstanceName, PoolName, RackName, RegionName, RequestKey, ServiceName,
    WaveName, WorkspaceName, ZoneName,
};
pub use outcome::Outcome;
pub use pool::Pool;
pub use refusal::RefusalReason;
pub use report::{UpstreamReport, UpstreamState};
pub use row::{Row, RowKey, VersionedRow};
pub use service::Service;
