//! Requests of one service and class that wait for a slot.
//!
//! Pattern of load: saturation by a few teams or callers, and bursts of
//! cancellations. Teams share by the weights of their rows, callers within a
//! team share evenly, requests of one caller keep their order. A request is
//! found by team, caller and number, so that a cancellation costs a few tree
//! look-ups and leaves nothing behind to be skipped later; a list with holes
//! would make the first dispatch after a burst of 10,000 pay for all of them.

use std::collections::BTreeMap;

use crate::model::TeamName;

use super::RequestId;
use super::fair::FairOrder;

/// Where a request stands in a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ticket {
    pub team: TeamName,
    pub caller: String,
    pub seq: u64,
}

/// A queue that is fair by team, then by caller.
#[derive(Debug)]
pub(super) struct ClassQueue {
    order: FairOrder<TeamName>,
    teams: BTreeMap<TeamName, TeamQueue>,
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

    pub(super) fn push(&mut self, ticket: &Ticket, weight: u32, id: RequestId) {
        let Ticket { team, caller, seq } = ticket;
        self.order.wait(team, weight, *seq);
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            order: FairOrder::new(),
            callers: BTreeMap::new(),
        });
        queue.order.wait(caller, 1, *seq);
        let waiting = queue.callers.entry(caller.clone()).or_default();
        if waiting.insert(*seq, id).is_none() {
            self.len += 1;
        }
    }

    /// The next request of the first team that `may_run` lets through.
    pub(super) fn peek(&self, may_run: impl Fn(&TeamName) -> bool) -> Option<RequestId> {
        let team = self.order.iter().find(|team| may_run(team))?;
        let queue = self.teams.get(team)?;
        let caller = queue.order.iter().next()?;
        let (_, id) = queue.callers.get(caller)?.first_key_value()?;
        Some(*id)
    }

    /// Takes a request that is served now, at the cost of its team and caller.
    pub(super) fn serve(&mut self, ticket: &Ticket) {
        self.order.charge(&ticket.team);
        if let Some(queue) = self.teams.get_mut(&ticket.team) {
            queue.order.charge(&ticket.caller);
        }
        self.remove(ticket);
    }

    /// Takes a request out; costs its team and caller nothing.
    pub(super) fn remove(&mut self, ticket: &Ticket) -> bool {
        let Some(queue) = self.teams.get_mut(&ticket.team) else {
            return false;
        };
        let Some(waiting) = queue.callers.get_mut(&ticket.caller) else {
            return false;
        };
        if waiting.remove(&ticket.seq).is_none() {
            return false;
        }
        self.len -= 1;
        if waiting.is_empty() {
            queue.callers.remove(&ticket.caller);
            queue.order.leave(&ticket.caller);
        }
        if queue.callers.is_empty() {
            self.teams.remove(&ticket.team);
            self.order.leave(&ticket.team);
        }
        true
    }

    /// Requests that go before a new one of this caller, itself included.
    pub(super) fn ahead(&self, team: &TeamName, caller: &str, weight: u32) -> f64 {
        let queue = self.teams.get(team);
        let own = queue
            .and_then(|q| q.callers.get(caller))
            .map_or(0, BTreeMap::len);
        let callers = queue.map_or(1.0, |q| q.order.rivals(&caller.to_owned(), 1));
        let fair = (own + 1) as f64 * callers * self.order.rivals(team, weight);
        fair.min((self.len + 1) as f64)
    }

    /// Every waiting request, in no order of service.
    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.teams
            .values()
            .flat_map(|team| team.callers.values())
            .flat_map(|waiting| waiting.values().copied())
            .collect()
    }

    /// Teams and callers that wait.
    pub(super) fn breadth(&self) -> (usize, usize) {
        let callers = self.teams.values().map(|team| team.order.len()).sum();
        (self.order.len(), callers)
    }
}
