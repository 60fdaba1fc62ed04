//! A pool of workers and its backlog, without control instances.

use std::sync::Arc;

use rosemarygauge::control::{
    Change, Command, Estimates, Fleet, LeaseLimits, Placement, Policy, Scheduler, SchedulerInput,
    Sizes, State, WorkerLink,
};
use rosemarygauge::jobs::{JobId, JobSpec};

use crate::worker::Worker;
use crate::world::{address, configuration};

pub const NOW_MS: u64 = 50_000;
/// Leases of a leader whose predecessors granted longer ones.
pub const LEASES: LeaseLimits = LeaseLimits {
    granted_ms: 3_000,
    inherited_ms: 5_000,
    accepted_ms: 10_000,
};
pub const UNIX_MS: u64 = 1_700_000_000_000;

/// A replicated state with a pool of workers, and a scheduler that follows it.
pub struct Pool {
    pub state: State,
    pub fleet: Fleet,
    pub scheduler: Scheduler,
}

impl Pool {
    /// Creates the pool `east` with workers of 16 cores, all of which were heard just now.
    pub fn new(workers: u16) -> Self {
        let mut state = State::default();
        apply(&mut state, Change::Configure(Arc::new(configuration(1))));
        let mut fleet = Fleet::new(
            NOW_MS,
            LeaseLimits::uniform(5_000),
            &state,
            &Sizes::default(),
        );
        for port in 0..workers {
            let mut worker = Worker::new(&format!("i-{port}"), address(port), "east", 0);
            let mut report = worker.report();
            report.rack = Some(format!("r{}", port / 2).as_str().into());
            apply(&mut state, Change::Report(Arc::new(report.clone())));
            fleet.add_link(NOW_MS, &report.worker);
            mark_heard(&mut fleet, &format!("i-{port}"));
        }
        Self {
            state,
            fleet,
            scheduler: Scheduler::default(),
        }
    }

    /// Applies a change and marks its job as changed in the scheduler, as a leader does.
    pub fn change(&mut self, change: Change) {
        if let Some(job) = change.job() {
            self.scheduler.touch(job);
        }
        apply(&mut self.state, change);
    }

    /// Starts as a new leader: placed tasks count as running, and all workers were heard just
    /// now.
    pub fn restart_leader(&mut self) {
        self.fleet = Fleet::new(
            NOW_MS,
            LeaseLimits::uniform(5_000),
            &self.state,
            &Sizes::default(),
        );
        for name in self.state.workers().keys() {
            mark_heard(&mut self.fleet, name.as_str());
        }
        self.scheduler = Scheduler::default();
        for job in self.state.active() {
            self.scheduler.touch(job.id);
        }
    }

    pub fn accept(&mut self, id: u64, spec: JobSpec) {
        self.change(Change::Accept {
            job: JobId::from(id),
            queue: "quick".into(),
            spec: Arc::new(spec),
        });
        if let Some(job) = self.state.job(JobId::from(id)) {
            self.scheduler.record_arrival(&self.state, job);
        }
    }

    pub fn refresh(&mut self) {
        let world = SchedulerInput {
            state: &self.state,
            fleet: &self.fleet,
            estimates: &Estimates::default(),
            policy: &Policy::default(),
        };
        self.scheduler.refresh(UNIX_MS + 10, &world);
    }

    pub fn pass(&mut self) -> Vec<Placement> {
        self.refresh();
        let world = SchedulerInput {
            state: &self.state,
            fleet: &self.fleet,
            estimates: &Estimates::default(),
            policy: &Policy::default(),
        };
        self.scheduler.pass(NOW_MS, &world, 400)
    }
}

fn mark_heard(fleet: &mut Fleet, name: &str) {
    let link: &mut WorkerLink = fleet.link_mut(&name.into()).unwrap();
    link.listed(NOW_MS, NOW_MS, 77, &[], &[]);
}

pub fn apply(state: &mut State, change: Change) {
    state.apply(&Command {
        by: "10.0.0.1".into(),
        start: 1,
        sequence: 1,
        at_unix_ms: UNIX_MS,
        changes: vec![change],
    });
}
