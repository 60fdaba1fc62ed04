use crate::model::{EntryName, InstanceName, PoolName, RefusalReason, ServiceName, ZoneName};

use super::{Health, RetryReason};

/// What a dispatcher knows at one moment, for operators and metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadStatus {
    /// The entry instance.
    pub entry: Option<EntryName>,
    /// Queues and run times by service.
    pub services: Vec<ServiceStatus>,
    /// Upstreams that are known, by name.
    pub upstreams: Vec<UpstreamStatus>,
    /// Pools in which more upstreams fail than may be ejected.
    pub sick_pools: Vec<PoolName>,
    /// Requests refused since the start, by reason.
    pub refusals: Vec<(RefusalReason, u64)>,
    /// Requests tried again since the start, by reason.
    pub retries: Vec<(RetryReason, u64)>,
}

/// One service as a dispatcher sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceStatus {
    /// The service.
    pub service: ServiceName,
    /// Waiting and running urgent requests.
    pub urgent: QueueStatus,
    /// Waiting and running patient requests.
    pub patient: QueueStatus,
    /// Learnt mean run time in milliseconds.
    pub run_ms: f64,
    /// Run time that few requests exceed, in milliseconds.
    pub run_high_ms: f64,
    /// Present weight by zone, on its way to the rows'.
    pub weights: Vec<(ZoneName, f64)>,
}

/// One queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueStatus {
    /// Requests that wait.
    pub waiting: usize,
    /// Teams that wait.
    pub teams: usize,
    /// Callers that wait.
    pub callers: usize,
    /// Requests in flight.
    pub in_flight: u32,
    /// Estimated wait of a new request at the end of the queue, in milliseconds.
    pub wait_ms: f64,
}

/// One upstream as a dispatcher sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamStatus {
    /// The instance.
    pub instance: InstanceName,
    /// Requests in flight from here.
    pub in_flight: u32,
    /// Requests in flight from other entry instances, as far as known.
    pub foreign: u32,
    /// Learnt limit of requests at once.
    pub limit: u32,
    /// How many times longer than usual requests run there.
    pub slowness: f64,
    /// What it may be given.
    pub health: Health,
    /// Whether its lease, duty and standing let it take requests.
    pub usable: bool,
}
