//! A fake advisor that allows all workers, and handles the requests of an instance in turn.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemarygauge::control::{Advice, Answer, Call, Event, Order, OrderKind};
use rosemarygauge::model::{EntryName, InstanceName};

use super::{Flying, World, configuration};

pub struct Advisor {
    pub times: Advice,
    /// Until when the requests of each instance keep it busy.
    busy_until_ms: BTreeMap<EntryName, u64>,
    /// Whether it refuses all requests.
    pub refuses: bool,
    /// Number of requests so far.
    pub asked: usize,
}

impl Default for Advisor {
    fn default() -> Self {
        Self {
            times: Advice {
                decision_ms: 30,
                per_worker_ms: 0,
                validity_ms: 3_000,
            },
            busy_until_ms: BTreeMap::new(),
            refuses: false,
            asked: 0,
        }
    }
}

impl World {
    /// Puts a configuration in force by which all queues have advice that takes these times.
    pub fn require_advice(&mut self, times: Advice) {
        self.advisor.times = times;
        let mut changed = configuration(2);
        for queue in &mut changed.queues {
            queue.advice = Some(times);
        }
        let call = self.call(1, Call::Configure(Arc::new(changed)));
        self.run_ms(500);
        assert_eq!(self.answers.get(&call), Some(&Answer::Done));
    }

    pub(super) fn advise(
        &mut self,
        to: EntryName,
        start: u64,
        id: u64,
        workers: Vec<InstanceName>,
        timeout_ms: u64,
    ) {
        self.advisor.asked += 1;
        let times = self.advisor.times;
        let busy_until_ms = self.advisor.busy_until_ms.entry(to.clone()).or_default();
        let mut after_ms = 2;
        let mut allowed = None;
        if !self.advisor.refuses {
            let takes_ms = times.decision_ms + times.per_worker_ms * workers.len() as u64;
            let issued_ms = (*busy_until_ms).max(self.now_ms) + takes_ms;
            *busy_until_ms = issued_ms;
            after_ms = (issued_ms - self.now_ms).min(timeout_ms);
            if after_ms < timeout_ms {
                let tickets = workers.into_iter().map(|w| (w, issued_ms.to_string()));
                allowed = Some(tickets.collect());
            }
        }
        let event = Event::Advised { id, allowed };
        self.fly(after_ms, Flying::Event { to, start, event });
    }

    /// Whether an order is a start with a ticket that is no longer valid.
    pub(super) fn has_expired_ticket(&self, order: &Order) -> bool {
        let OrderKind::Start { ticket, .. } = &order.kind else {
            return false;
        };
        let issued_ms = ticket.as_ref().map(|ticket| ticket.parse::<u64>().unwrap());
        issued_ms.is_some_and(|at_ms| self.now_ms > at_ms + self.advisor.times.validity_ms)
    }
}
