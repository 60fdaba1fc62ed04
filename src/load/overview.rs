//! The dispatcher's reports on its state to peers, operators and metrics.

use crate::model::{InstanceName, RefusalReason};

use super::dispatcher::Dispatcher;
use super::service_load::ServiceLoad;
use super::trail::TrailEntry;
use super::upstream::Upstream;
use super::{LoadStatus, QueueStatus, RequestId, RetryReason, ServiceStatus, UpstreamStatus};

impl Dispatcher {
    /// Returns the load per upstream to send to the other entry instances as their
    /// [`Input::PeerLoad`](super::Input::PeerLoad): the requests in flight, plus one
    /// where the upstream recently refused a request because all slots were taken.
    pub fn in_flight(&self, now_ms: u64) -> Vec<(InstanceName, u32)> {
        self.upstreams
            .by_name()
            .filter(|up| up.claimed(now_ms) > 0)
            .map(|up| (up.name.clone(), up.claimed(now_ms)))
            .collect()
    }

    /// Returns the number of requests that are queued or in flight.
    pub fn pending(&self) -> usize {
        self.requests.len()
    }

    /// Returns the recorded decisions about a request, oldest first. Only the latest
    /// decisions over all requests are kept.
    pub fn explain(&self, request: RequestId) -> Vec<TrailEntry> {
        self.trail.for_request(request)
    }

    /// Returns a snapshot of queues, upstreams, refusals and retries.
    pub fn status(&self, now_ms: u64) -> LoadStatus {
        let refusals = RefusalReason::ALL.into_iter();
        let retries = RetryReason::ALL.into_iter();
        LoadStatus {
            entry: Some(self.settings.me.clone()),
            services: self
                .services
                .iter()
                .map(|s| self.service_status(s))
                .collect(),
            upstreams: self
                .upstreams
                .by_name()
                .map(|up| upstream_status(now_ms, up))
                .collect(),
            sick_pools: self.upstreams.sick_pools(now_ms),
            refusals: refusals
                .map(|r| (r, self.refusals.get(&r).copied().unwrap_or(0)))
                .collect(),
            retries: retries
                .map(|r| (r, self.retried.get(&r).copied().unwrap_or(0)))
                .collect(),
        }
    }

    fn service_status(&self, load: &ServiceLoad) -> ServiceStatus {
        let zones = self.upstreams.zones.iter().enumerate();
        ServiceStatus {
            service: load.name.clone(),
            urgent: queue_status(load, 0),
            patient: queue_status(load, 1),
            run_ms: load.run.mean_ms(),
            run_high_ms: load.run.high_ms(),
            weights: zones
                .map(|(index, zone)| (zone.clone(), load.weights.get(index)))
                .collect(),
        }
    }
}

fn queue_status(load: &ServiceLoad, class: usize) -> QueueStatus {
    let queue = &load.queues[class];
    let (teams, callers) = queue.breadth();
    QueueStatus {
        waiting: queue.len(),
        teams,
        callers,
        in_flight: load.in_flight[class],
        wait_ms: load.drain_ms(class, queue.len() as f64),
    }
}

fn upstream_status(now_ms: u64, up: &Upstream) -> UpstreamStatus {
    UpstreamStatus {
        instance: up.name.clone(),
        in_flight: up.in_flight(),
        in_flight_elsewhere: up.foreign(now_ms).requests,
        limit: up.limit.get(),
        slowness: up.limit.ratio(),
        health: up.record.health(),
        usable: up.is_live(now_ms),
    }
}
