//! The naive dispatcher: one FIFO queue, least connections, no classes, no
//! fairness, no limits but the slots. It is the baseline of the measurements and
//! the other side of the differential tests, not for use.

use std::collections::{BTreeMap, VecDeque};

use crate::model::{
    DesiredState, InstanceName, RefusalReason, UpstreamReport, UpstreamState, ZoneName,
};

use super::{Action, AttemptId, Input, Request, RequestId, View};

/// Tries before an idempotent request is given up.
const ATTEMPTS_MAX: u32 = 3;

/// A FIFO queue in front of the instance with the fewest requests in flight.
#[derive(Debug, Default)]
pub struct Naive {
    view: View,
    upstreams: BTreeMap<InstanceName, Upstream>,
    queue: VecDeque<RequestId>,
    requests: BTreeMap<RequestId, Tracked>,
    home: Option<ZoneName>,
    fresh: bool,
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
    on: Option<InstanceName>,
}

impl Naive {
    /// A dispatcher of an entry instance in `home`.
    pub fn new(home: ZoneName) -> Self {
        Self {
            home: Some(home),
            fresh: true,
            ..Self::default()
        }
    }

    /// Takes one input and returns what to do.
    pub fn handle(&mut self, now_ms: u64, input: Input<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        match input {
            Input::Offer(request) => self.offer(request),
            Input::Cancel(id) => self.cancel(id, &mut out),
            Input::Refused { request, .. } => self.again(request, &mut out),
            Input::Finished {
                request, attempt, ..
            } => {
                self.end(request);
                out.push(Action::Deliver { request, attempt });
            }
            Input::Lost { request, .. } => self.lost(request, &mut out),
            Input::Report {
                report,
                lease_until_ms,
            } => self.report(report, lease_until_ms),
            Input::View(view) => self.view = view,
            Input::ViewFresh(fresh) => self.fresh = fresh,
            Input::PeerLoad { .. } | Input::PeerGone(_) | Input::Tick => {}
        }
        self.pump(now_ms, &mut out);
        out
    }

    fn offer(&mut self, request: Request) {
        self.queue.push_back(request.id);
        self.requests.insert(
            request.id,
            Tracked {
                request,
                attempt: AttemptId(0),
                on: None,
            },
        );
    }

    fn cancel(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(|t| t.on.is_none()) {
            self.requests.remove(&id);
            out.push(refuse(id, RefusalReason::Cancelled));
        }
    }

    fn lost(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let repeat = self.requests.get(&id).is_some_and(|t| t.request.idempotent);
        if repeat {
            self.again(id, out);
        } else {
            self.end(id);
            out.push(Action::GiveUpUnknown { request: id });
        }
    }

    fn again(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.release(id);
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        if tracked.attempt.0 >= ATTEMPTS_MAX {
            self.requests.remove(&id);
            out.push(refuse(id, RefusalReason::RetryBudget));
        } else {
            self.queue.push_back(id);
        }
    }

    fn release(&mut self, id: RequestId) {
        let on = self.requests.get_mut(&id).and_then(|t| t.on.take());
        if let Some(up) = on.and_then(|name| self.upstreams.get_mut(&name)) {
            up.in_flight = up.in_flight.saturating_sub(1);
        }
    }

    fn end(&mut self, id: RequestId) {
        self.release(id);
        self.requests.remove(&id);
    }

    fn report(&mut self, report: &UpstreamReport, lease_until_ms: u64) {
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

    fn pump(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        for _ in 0..self.queue.len() {
            let Some(id) = self.queue.pop_front() else {
                return;
            };
            let Some(tracked) = self.requests.get(&id) else {
                continue;
            };
            if tracked.request.deadline_ms <= now_ms {
                self.requests.remove(&id);
                out.push(refuse(id, RefusalReason::Deadline));
                continue;
            }
            match self.choose(now_ms, &tracked.request) {
                Some(name) => out.extend(self.dispatch(id, name)),
                None => self.queue.push_back(id),
            }
        }
    }

    fn choose(&self, now_ms: u64, request: &Request) -> Option<InstanceName> {
        let pool = self.view.carriers.get(&request.service)?;
        self.upstreams
            .iter()
            .filter(|(name, up)| {
                up.lease_until_ms > now_ms
                    && up.report.standing == UpstreamState::Serving
                    && up.in_flight < up.report.capacity.slots
                    && (self.fresh || self.home.as_ref() == Some(&up.report.zone))
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
        tracked.on = Some(name.clone());
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
