//! Machines with their workers: how they come, crash and report.

use std::sync::Arc;

use rosemarygauge::control::{Call, Event};

use super::{World, address, name};
use crate::worker::Worker;

impl World {
    pub fn add_worker(&mut self, port: u16, pool: &str) {
        self.next_worker += 1;
        let worker = Worker::new(
            &format!("i-{}", self.next_worker),
            address(port),
            pool,
            self.now_ms,
        );
        self.workers.insert(address(port), worker);
        self.report_ms = self.now_ms;
    }

    pub fn worker(&mut self, port: u16) -> &mut Worker {
        self.workers.get_mut(&address(port)).unwrap()
    }

    /// The worker ends without a word; another incarnation comes after a while.
    pub fn crash_worker(&mut self, port: u16, for_ms: u64) {
        let worker = self.workers.remove(&address(port)).unwrap();
        let back = self.now_ms + for_ms;
        self.returning.push((back, worker.address, worker.pool));
    }

    /// All workers say when they started.
    pub fn tell_starts(&mut self) {
        let workers = self.workers.values_mut();
        workers.for_each(|worker| worker.tells_start = true);
        self.run_ms(2_500);
    }

    /// A worker starts again at once, under its name.
    pub fn start_worker_again(&mut self, port: u16) {
        let now_ms = self.now_ms;
        self.worker(port).start_again(now_ms);
    }

    /// A new machine comes after a while.
    pub fn come_later(&mut self, port: u16, pool: &str, after_ms: u64) {
        let at_ms = self.now_ms + after_ms;
        self.returning.push((at_ms, address(port), pool.to_owned()));
    }

    pub(super) fn bring_back(&mut self) {
        let now_ms = self.now_ms;
        let (back, still): (Vec<_>, Vec<_>) =
            self.returning.drain(..).partition(|(at, ..)| now_ms >= *at);
        self.returning = still;
        for (_, address, pool) in back {
            self.add_worker(address.port(), &pool);
            let jobs = self
                .workers
                .values()
                .flat_map(|w| w.lasting_jobs.clone())
                .collect();
            self.workers.get_mut(&address).unwrap().lasting_jobs = jobs;
        }
    }

    pub(super) fn report_all(&mut self) {
        let mut reports = Vec::new();
        for worker in self.workers.values_mut() {
            reports.push((worker.address, worker.started_unix_ms(), worker.report()));
        }
        for (address, started_unix_ms, report) in reports {
            let to = (1..=3).map(name).find(|to| {
                let up = self
                    .controls
                    .get(to)
                    .is_some_and(|c| c.node.is_some() && !c.frozen);
                up && !self.is_cut(&address.to_string(), to.as_str())
            });
            if let Some(to) = to {
                self.next_call += 1;
                let id = self.next_call;
                let call = Call::Report(Arc::new(report));
                let call = match started_unix_ms {
                    Some(started_unix_ms) => Call::Since {
                        started_unix_ms,
                        call: Box::new(call),
                    },
                    None => call,
                };
                self.feed(&to, Event::Call { id, call });
            }
        }
    }
}
