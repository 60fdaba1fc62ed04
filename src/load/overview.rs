//! What a dispatcher tells about itself: to peers, operators and metrics.

use crate::model::{InstanceName, RefusalReason};

use super::dispatcher::Dispatcher;
use super::service_load::ServiceLoad;
use super::trail::TrailEntry;
use super::upstream::Upstream;
use super::{LoadStatus, QueueStatus, RequestId, RetryReason, ServiceStatus, UpstreamStatus};

impl Dispatcher {
    /// Requests per upstream to tell the other entry instances of, for their
    /// [`Input::PeerLoad`](super::Input::PeerLoad): those in flight, and one more
    /// where one was refused lately because all slots were taken.
    pub fn in_flight(&self, now_ms: u64) -> Vec<(InstanceName, u32)> {
        self.upstreams
            .by_name()
            .filter(|up| up.claimed(now_ms) > 0)
            .map(|up| (up.name.clone(), up.claimed(now_ms)))
            .collect()
    }

    /// Requests that wait or run.
    pub fn pending(&self) -> usize {
        self.requests.len()
    }

    /// The latest decisions about a request, oldest first.
    pub fn explain(&self, request: RequestId) -> Vec<TrailEntry> {
        self.trail.of(request)
    }

    /// All that is known now.
    pub fn status(&self, now_ms: u64) -> LoadStatus {
        let refusals = RefusalReason::ALL.into_iter();
        let retries = RetryReason::ALL.into_iter();
        LoadStatus {
            entry: Some(self.settings.me.clone()),
            services: self.services.iter().map(|s| self.of_service(s)).collect(),
            upstreams: self
                .upstreams
                .by_name()
                .map(|up| of_upstream(now_ms, up))
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

    fn of_service(&self, load: &ServiceLoad) -> ServiceStatus {
        let zones = self.upstreams.zones.iter().enumerate();
        ServiceStatus {
            service: load.name.clone(),
            urgent: of_queue(load, 0),
            patient: of_queue(load, 1),
            run_ms: load.run.mean_ms(),
            run_high_ms: load.run.high_ms(),
            weights: zones
                .map(|(at, zone)| (zone.clone(), load.weights.get(at)))
                .collect(),
        }
    }
}

fn of_queue(load: &ServiceLoad, class: usize) -> QueueStatus {
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

fn of_upstream(now_ms: u64, up: &Upstream) -> UpstreamStatus {
    UpstreamStatus {
        instance: up.name.clone(),
        in_flight: up.in_flight(),
        foreign: up.foreign(now_ms).requests,
        limit: up.limit.get(),
        slowness: up.limit.ratio(),
        health: up.record.health(),
        usable: up.is_live(now_ms),
    }
}
