//! A baseline dispatcher: one FIFO queue, least connections, no classes, no
//! fairness, and no limit but the upstreams' slots. Measurements and differential
//! tests compare the [`Dispatcher`](super::Dispatcher) with it; it is not meant for
//! production use.

use std::collections::{BTreeMap, VecDeque};

use crate::model::{
    DesiredState, InstanceName, RefusalReason, UpstreamReport, UpstreamState, ZoneName,
};

use super::{Action, AttemptId, Input, Request, RequestId, View};

/// Attempts after which an idempotent request is refused.
const MAX_ATTEMPTS: u32 = 3;

/// Dispatches from one FIFO queue to the instance with the fewest requests in flight.
#[derive(Debug, Default)]
pub struct Naive {
    view: View,
    upstreams: BTreeMap<InstanceName, Upstream>,
    queue: VecDeque<RequestId>,
    requests: BTreeMap<RequestId, Tracked>,
    home: Option<ZoneName>,
    is_view_fresh: bool,
}

#[derive(Debug)]
struct Upstream {
    report: UpstreamReport,
    lease_until_ms: u64,
    in_flight: u32,
}

#[derive(Debug)]
struct Tracked {
    request: Request,
    attempt: AttemptId,
    assigned_to: Option<InstanceName>,
}

impl Naive {
    /// Returns a dispatcher for an entry instance in the zone `home`.
    pub fn new(home: ZoneName) -> Self {
        Self {
            home: Some(home),
            is_view_fresh: true,
            ..Self::default()
        }
    }

    /// Handles one input and returns the actions to carry out.
    pub fn handle(&mut self, now_ms: u64, input: Input<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Offer(request) => self.offer(request),
            Input::Cancel(id) => self.cancel(id, &mut actions),
            Input::Refused { request, .. } => self.retry(request, &mut actions),
            Input::Finished {
                request, attempt, ..
            } => {
                self.remove(request);
                actions.push(Action::Deliver { request, attempt });
            }
            Input::Lost { request, .. } => self.handle_lost_attempt(request, &mut actions),
            Input::Report {
                report,
                lease_until_ms,
            } => self.update_upstream(report, lease_until_ms),
            Input::View(view) => self.view = view,
            Input::ViewFresh(fresh) => self.is_view_fresh = fresh,
            Input::PeerLoad { .. } | Input::PeerGone(_) | Input::Tick => {}
        }
        self.dispatch_queued(now_ms, &mut actions);
        actions
    }

    fn offer(&mut self, request: Request) {
        self.queue.push_back(request.id);
        self.requests.insert(
            request.id,
            Tracked {
                request,
                attempt: AttemptId(0),
                assigned_to: None,
            },
        );
    }

    fn cancel(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self
            .requests
            .get(&id)
            .is_some_and(|t| t.assigned_to.is_none())
        {
            self.requests.remove(&id);
            actions.push(refuse(id, RefusalReason::Cancelled));
        }
    }

    fn handle_lost_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let idempotent = self.requests.get(&id).is_some_and(|t| t.request.idempotent);
        if idempotent {
            self.retry(id, actions);
        } else {
            self.remove(id);
            actions.push(Action::GiveUpUnknown { request: id });
        }
    }

    fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.release(id);
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        if tracked.attempt.0 >= MAX_ATTEMPTS {
            self.requests.remove(&id);
            actions.push(refuse(id, RefusalReason::RetryBudget));
        } else {
            self.queue.push_back(id);
        }
    }

    fn release(&mut self, id: RequestId) {
        let instance = self
            .requests
            .get_mut(&id)
            .and_then(|t| t.assigned_to.take());
        if let Some(up) = instance.and_then(|name| self.upstreams.get_mut(&name)) {
            up.in_flight = up.in_flight.saturating_sub(1);
        }
    }

    fn remove(&mut self, id: RequestId) {
        self.release(id);
        self.requests.remove(&id);
    }

    fn update_upstream(&mut self, report: &UpstreamReport, lease_until_ms: u64) {
        let up = self
            .upstreams
            .entry(report.instance.clone())
            .or_insert_with(|| Upstream {
                report: report.clone(),
                lease_until_ms,
                in_flight: 0,
            });
        up.report = report.clone();
        up.lease_until_ms = lease_until_ms;
    }

    fn dispatch_queued(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        for _ in 0..self.queue.len() {
            let Some(id) = self.queue.pop_front() else {
                return;
            };
            let Some(tracked) = self.requests.get(&id) else {
                continue;
            };
            if tracked.request.deadline_ms <= now_ms {
                self.requests.remove(&id);
                actions.push(refuse(id, RefusalReason::Deadline));
                continue;
            }
            match self.choose_upstream(now_ms, &tracked.request) {
                Some(name) => actions.extend(self.dispatch(id, name)),
                None => self.queue.push_back(id),
            }
        }
    }

    fn choose_upstream(&self, now_ms: u64, request: &Request) -> Option<InstanceName> {
        let pool = self.view.carriers.get(&request.service)?;
        self.upstreams
            .iter()
            .filter(|(name, up)| {
                up.lease_until_ms > now_ms
                    && up.report.standing == UpstreamState::Serving
                    && up.in_flight < up.report.capacity.slots
                    && (self.is_view_fresh || self.home.as_ref() == Some(&up.report.zone))
                    && self.view.instances.get(*name).is_some_and(|instance| {
                        instance.pool == *pool && instance.duty == DesiredState::Serving
                    })
            })
            .min_by_key(|(_, up)| up.in_flight)
            .map(|(name, _)| name.clone())
    }

    fn dispatch(&mut self, id: RequestId, name: InstanceName) -> Option<Action> {
        let up = self.upstreams.get_mut(&name)?;
        let epoch = self.view.instances.get(&name)?.epoch;
        let tracked = self.requests.get_mut(&id)?;
        up.in_flight += 1;
        tracked.attempt.0 += 1;
        tracked.assigned_to = Some(name.clone());
        Some(Action::Dispatch {
            request: id,
            attempt: tracked.attempt,
            instance: name,
            incarnation: up.report.incarnation,
            pool_epoch: epoch,
        })
    }
}

fn refuse(request: RequestId, reason: RefusalReason) -> Action {
    Action::Refuse {
        request,
        reason,
        retry_after_ms: Some(1_000),
    }
}
