//! The queue of one service and class.
//!
//! Load pattern: saturation by a few teams or callers, and bursts of
//! cancellations. Teams share by the weights of their rows, callers within a
//! team share evenly, and requests of one caller keep their order. Requests are
//! indexed by team, caller and sequence number, so a cancellation costs a few
//! tree look-ups. With entries that are only marked as cancelled, the first
//! dispatch after a burst of 10,000 cancellations would have to skip them all.

use std::collections::BTreeMap;

use crate::model::WorkspaceName;

use super::RequestId;
use super::fair::FairOrder;

/// Position of a request in a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct QueueKey {
    pub team: WorkspaceName,
    pub caller: String,
    pub seq: u64,
}

/// A queue that is fair by team, then by caller.
#[derive(Debug)]
pub(super) struct ClassQueue {
    order: FairOrder<WorkspaceName>,
    teams: BTreeMap<WorkspaceName, TeamQueue>,
    len: usize,
}

#[derive(Debug)]
struct TeamQueue {
    order: FairOrder<String>,
    callers: BTreeMap<String, BTreeMap<u64, RequestId>>,
}

impl ClassQueue {
    pub(super) fn new() -> Self {
        Self {
            order: FairOrder::new(),
            teams: BTreeMap::new(),
            len: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn push(&mut self, key: &QueueKey, weight: u32, id: RequestId) {
        let QueueKey { team, caller, seq } = key;
        self.order.activate(team, weight, *seq);
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            order: FairOrder::new(),
            callers: BTreeMap::new(),
        });
        queue.order.activate(caller, 1, *seq);
        let waiting = queue.callers.entry(caller.clone()).or_default();
        if waiting.insert(*seq, id).is_none() {
            self.len += 1;
        }
    }

    /// Returns the next request of the first team that `may_run` accepts.
    pub(super) fn peek(&self, may_run: impl Fn(&WorkspaceName) -> bool) -> Option<RequestId> {
        let team = self.order.iter().find(|team| may_run(team))?;
        let queue = self.teams.get(team)?;
        let caller = queue.order.iter().next()?;
        let (_, id) = queue.callers.get(caller)?.first_key_value()?;
        Some(*id)
    }

    /// Removes a request that starts now and charges its team and caller for it.
    pub(super) fn serve(&mut self, key: &QueueKey) {
        self.order.charge(&key.team);
        if let Some(queue) = self.teams.get_mut(&key.team) {
            queue.order.charge(&key.caller);
        }
        self.remove(key);
    }

    /// Removes a request without charging anyone. Returns whether it was queued.
    pub(super) fn remove(&mut self, key: &QueueKey) -> bool {
        let Some(queue) = self.teams.get_mut(&key.team) else {
            return false;
        };
        let Some(waiting) = queue.callers.get_mut(&key.caller) else {
            return false;
        };
        if waiting.remove(&key.seq).is_none() {
            return false;
        }
        self.len -= 1;
        if waiting.is_empty() {
            queue.callers.remove(&key.caller);
            queue.order.deactivate(&key.caller);
        }
        if queue.callers.is_empty() {
            self.teams.remove(&key.team);
            self.order.deactivate(&key.team);
        }
        true
    }

    /// Returns the number of requests served before a new one of this caller, including
    /// itself.
    pub(super) fn ahead(&self, team: &WorkspaceName, caller: &str, weight: u32) -> f64 {
        let queue = self.teams.get(team);
        let own = queue
            .and_then(|q| q.callers.get(caller))
            .map_or(0, BTreeMap::len);
        let callers = queue.map_or(1.0, |q| q.order.contention_factor(&caller.to_owned(), 1));
        let fair = (own + 1) as f64 * callers * self.order.contention_factor(team, weight);
        fair.min((self.len + 1) as f64)
    }

    /// Returns every queued request, in no particular order.
    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.teams
            .values()
            .flat_map(|team| team.callers.values())
            .flat_map(|waiting| waiting.values().copied())
            .collect()
    }

    /// Returns the number of teams and of callers with queued requests.
    pub(super) fn breadth(&self) -> (usize, usize) {
        let callers = self.teams.values().map(|team| team.order.len()).sum();
        (self.order.len(), callers)
    }
}
