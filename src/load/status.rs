use crate::model::{EntryName, InstanceName, PoolName, RefusalReason, ServiceName, ZoneName};

use super::{Health, RetryReason};

/// Snapshot of a dispatcher's state, for operators and metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadStatus {
    /// Entry instance that the dispatcher belongs to.
    pub entry: Option<EntryName>,
    /// Queues and run times by service.
    pub services: Vec<ServiceStatus>,
    /// Known upstreams, sorted by name.
    pub upstreams: Vec<UpstreamStatus>,
    /// Pools in which more upstreams fail than may be ejected.
    pub sick_pools: Vec<PoolName>,
    /// Requests refused since the start, by reason.
    pub refusals: Vec<(RefusalReason, u64)>,
    /// Retries since the start, by reason.
    pub retries: Vec<(RetryReason, u64)>,
}

/// One service as a dispatcher sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: ServiceName,
    /// Queued and in-flight urgent requests.
    pub urgent: QueueStatus,
    /// Queued and in-flight patient requests.
    pub patient: QueueStatus,
    /// Learned mean run time, in milliseconds.
    pub run_ms: f64,
    /// Learned upper bound of the run time, which few requests exceed, in
    /// milliseconds.
    pub run_high_ms: f64,
    /// Current weight by zone, which shifts gradually to the weight in the
    /// configuration rows.
    pub weights: Vec<(ZoneName, f64)>,
}

/// State of the queue of one service and class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueStatus {
    /// Number of queued requests.
    pub waiting: usize,
    /// Number of teams with queued requests.
    pub teams: usize,
    /// Number of callers with queued requests.
    pub callers: usize,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Estimated wait of a new request at the end of the queue, in milliseconds.
    pub wait_ms: f64,
}

/// One upstream as a dispatcher sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamStatus {
    /// Name of the upstream's instance.
    pub instance: InstanceName,
    /// Requests in flight from this entry instance.
    pub in_flight: u32,
    /// Requests in flight from other entry instances, as far as they have reported
    /// them.
    pub in_flight_elsewhere: u32,
    /// Learned limit on concurrent requests.
    pub limit: u32,
    /// Ratio of the run times there to the usual run times.
    pub slowness: f64,
    /// Health, which decides whether it gets requests.
    pub health: Health,
    /// Whether its lease, duty and standing allow it to take requests.
    pub usable: bool,
}
