//! The order of what waits, kept from pass to pass.

use std::collections::BTreeSet;
use std::sync::Arc;

use quickcheck_macros::quickcheck;
use rosemarygauge::control::{
    Change, Command, Estimates, Fleet, Policy, Scheduler, SchedulerWorld, Sizes, State, WorkerLink,
};
use rosemarygauge::jobs::{Ending, JobId, Step, TaskId};

use crate::worker::Worker;
use crate::world::{address, configuration, job, step};

const NOW_MS: u64 = 50_000;
const UNIX_MS: u64 = 1_700_000_000_000;

struct Pool {
    state: State,
    fleet: Fleet,
    scheduler: Scheduler,
}

impl Pool {
    fn new(workers: u16) -> Self {
        let mut state = State::default();
        apply(&mut state, Change::Configure(Arc::new(configuration(1))));
        let mut fleet = Fleet::new(NOW_MS, 5_000, &state, &Sizes::default());
        for port in 0..workers {
            let mut worker = Worker::new(&format!("i-{port}"), address(port), "east", 0);
            let report = worker.report();
            apply(&mut state, Change::Report(Arc::new(report.clone())));
            fleet.meet(NOW_MS, &report.worker);
            let link: &mut WorkerLink = fleet.link_mut(&report.worker).unwrap();
            link.listed(NOW_MS, NOW_MS, 77, &[], &[]);
        }
        Self {
            state,
            fleet,
            scheduler: Scheduler::default(),
        }
    }

    fn change(&mut self, change: Change) {
        if let Some(job) = change.job() {
            self.scheduler.touch(job);
        }
        apply(&mut self.state, change);
    }

    fn accept(&mut self, id: u64, steps: Vec<Step>) {
        self.change(Change::Accept {
            job: JobId::from(id),
            queue: "quick".into(),
            spec: Arc::new(job(steps)),
        });
    }

    fn refresh(&mut self) {
        let world = SchedulerWorld {
            state: &self.state,
            fleet: &self.fleet,
            estimates: &Estimates::default(),
            policy: &Policy::default(),
        };
        self.scheduler.refresh(UNIX_MS + 10, &world);
    }

    /// The tasks that a pass starts.
    fn pass(&mut self) -> BTreeSet<TaskId> {
        self.refresh();
        let world = SchedulerWorld {
            state: &self.state,
            fleet: &self.fleet,
            estimates: &Estimates::default(),
            policy: &Policy::default(),
        };
        let starts = self.scheduler.pass(NOW_MS, &world, usize::MAX);
        starts.into_iter().map(|start| start.task).collect()
    }
}

fn apply(state: &mut State, change: Change) {
    state.apply(&Command {
        by: "10.0.0.1".into(),
        start: 1,
        sequence: 1,
        at_unix_ms: UNIX_MS,
        changes: vec![change],
    });
}

const WORKER: &str = "i-elsewhere";

/// What one random number does to a task of one of the jobs.
fn random_change(random: u32, jobs: u64, pool: &Pool) -> Change {
    let id = JobId::from(u64::from(random) % jobs);
    let task = TaskId {
        job: id,
        occurrence: 0,
        step: (random >> 8) as u16 % 2,
        index: (random >> 10) as u16 % 3,
    };
    let known = pool.state.job(id).and_then(|job| job.task(task));
    let attempt = known.map_or(0, |task| task.attempt);
    let worker = WORKER.into();
    match (random >> 16) % 8 {
        0 => Change::Cancel { job: id },
        1 => Change::Unplace {
            task,
            attempt,
            worker,
        },
        2..5 => Change::Place {
            task,
            attempt: attempt + 1,
            worker,
        },
        kind => Change::End {
            task,
            attempt,
            worker,
            ending: if kind == 5 {
                Ending::Failed
            } else {
                Ending::Done
            },
            checkpoint: String::new(),
        },
    }
}

/// An accepted job is never run: something of it changed, and the order that is kept from
/// pass to pass was not told. Whatever changes, a scheduler that has followed all along
/// starts what one starts that ranks everything anew.
#[quickcheck]
fn what_waits_is_the_same_as_ranked_anew(changes: Vec<Vec<u32>>) {
    const JOBS: u64 = 60;
    let mut pool = Pool::new(40);
    for id in 0..JOBS {
        let second = Step {
            after: vec![0],
            ..step(3)
        };
        pool.accept(id, vec![step(3), second]);
    }
    pool.refresh();
    for batch in changes {
        for random in batch {
            let change = random_change(random, JOBS, &pool);
            pool.change(change);
        }
        pool.refresh();
    }
    let followed = pool.pass();
    pool.scheduler = Scheduler::default();
    for id in 0..JOBS {
        pool.scheduler.touch(JobId::from(id));
    }
    assert_eq!(followed, pool.pass());
}

/// Callers of a small job wait for ever beside a free worker: jobs that no worker could
/// ever hold stand before it in the order, and a pass that gives up behind so many of
/// them never comes to it.
#[test]
fn a_job_that_fits_is_come_to_behind_any_number_that_never_will() {
    let mut pool = Pool::new(1);
    for id in 0..1_000 {
        let mut never = step(1);
        never.demand.cpu_milli = 17_000;
        never.estimate_ms = 1;
        pool.accept(id, vec![never]);
    }
    pool.accept(5_000, vec![step(1)]);
    let started = (0..20).any(|_| !pool.pass().is_empty());
    assert!(started);
}
