//! The effect of lost workers on the replicated jobs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use quickcheck::{Arbitrary, Gen};
use quickcheck_macros::quickcheck;
use rosemarygauge::control::{Change, Command, State};
use rosemarygauge::jobs::{Job, JobId, JobSpec, JobState, Recurrence, RunResult, Step, TaskId};
use rosemarygauge::model::InstanceName;

use crate::world::{configuration, job, step};

const JOBS: u8 = 6;
const WORKERS: u8 = 4;

/// A random event for one of the jobs or workers.
#[derive(Clone, Copy, Debug)]
enum RandomEvent {
    Accept {
        job: u8,
    },
    Cancel {
        job: u8,
    },
    Due {
        job: u8,
    },
    Place {
        job: u8,
        task: u8,
        worker: u8,
    },
    Unplace {
        run: u8,
    },
    End {
        run: u8,
        ending: RunResult,
    },
    Lapse {
        worker: u8,
    },
    Gone {
        worker: u8,
    },
    Forget,
    /// The instance restores its state from its snapshot.
    Restore,
}

impl Arbitrary for RandomEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        let job = u8::arbitrary(g) % JOBS;
        let worker = u8::arbitrary(g) % WORKERS;
        let (task, run) = (u8::arbitrary(g), u8::arbitrary(g));
        let endings = [
            RunResult::Done,
            RunResult::Done,
            RunResult::Failed,
            RunResult::Stopped,
        ];
        let ending = *g.choose(&endings).unwrap();
        match u8::arbitrary(g) % 24 {
            0..4 => Self::Accept { job },
            4 => Self::Cancel { job },
            5 => Self::Due { job },
            6..15 => Self::Place { job, task, worker },
            15 => Self::Unplace { run },
            16..19 => Self::End { run, ending },
            19 => Self::Lapse { worker },
            20 => Self::Gone { worker },
            21 => Self::Forget,
            _ => Self::Restore,
        }
    }
}

/// Returns jobs of all kinds: with steps, gangs, copies, long-running and recurring.
fn spec(place: u8) -> JobSpec {
    let second = Step {
        after: vec![0],
        ..step(2)
    };
    let kind = |step: Step| job(vec![step]);
    match place % 5 {
        0 => job(vec![step(2), second]),
        1 => kind(Step {
            gang: true,
            ..step(3)
        }),
        2 => kind(Step {
            copies: true,
            ..step(2)
        }),
        3 => kind(Step {
            lasting: true,
            ..step(2)
        }),
        _ => JobSpec {
            recurrence: Some(Recurrence {
                times: 2,
                start_unix_ms: 0,
                interval_ms: 1,
            }),
            ..kind(step(2))
        },
    }
}

/// A reference model that has only the jobs. On the loss of a worker it scans all active
/// jobs for runs on it.
#[derive(Default)]
struct ReferenceModel {
    jobs: BTreeMap<JobId, Job>,
    active: BTreeSet<JobId>,
}

impl ReferenceModel {
    fn apply(&mut self, now_ms: u64, change: &Change) {
        match change {
            Change::Accept { job, spec, .. } if !self.jobs.contains_key(job) => {
                let (queue, pool) = ("quick".to_owned(), "east".into());
                let mut new = Job::new(*job, queue, pool, Arc::clone(spec), 3, now_ms);
                if spec.recurrence.is_none() {
                    new.create_occurrence(0);
                }
                self.jobs.insert(*job, new);
                self.active.insert(*job);
            }
            Change::Cancel { job } => self.with(now_ms, *job, |job| {
                job.verdict.get_or_insert(JobState::Cancelled);
            }),
            Change::Due { job, occurrence } => {
                self.with(now_ms, *job, |job| job.create_occurrence(*occurrence));
            }
            Change::Place {
                task,
                attempt,
                worker,
            } => self.with(now_ms, task.job, |job| {
                job.place(now_ms, *task, *attempt, worker);
            }),
            Change::Unplace {
                task,
                attempt,
                worker,
            } => self.with(now_ms, task.job, |job| {
                job.cancel_placement(*task, *attempt, worker);
            }),
            Change::End {
                task,
                attempt,
                worker,
                ending,
                checkpoint,
            } => self.with(now_ms, task.job, |job| {
                job.end(*task, *attempt, worker, *ending, checkpoint);
            }),
            Change::Lapse { worker } | Change::Gone { worker } => {
                for id in self.active.clone() {
                    self.with(now_ms, id, |job| {
                        job.lapse(worker);
                    });
                }
            }
            Change::Forget { .. } => self.jobs.retain(|id, _| self.active.contains(id)),
            _ => {}
        }
    }

    fn with(&mut self, now_ms: u64, id: JobId, change: impl FnOnce(&mut Job)) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        change(job);
        job.settle(now_ms);
        if job.verdict.is_some() && job.has_no_runs() {
            self.active.remove(&id);
        }
    }
}

fn id(place: u8) -> JobId {
    JobId::from(u64::from(place) + 1)
}

fn worker(place: u8) -> InstanceName {
    InstanceName::from(format!("i-{place}"))
}

/// Returns the run that a number selects: its task, attempt and worker.
fn select_run(state: &State, run: u8) -> Option<(TaskId, u32, InstanceName)> {
    let runs = state.active().flat_map(Job::runs);
    let runs: Vec<_> = runs
        .map(|(task, run)| (task, run.attempt, run.worker.clone()))
        .collect();
    let place = usize::from(run).checked_rem(runs.len())?;
    runs.into_iter().nth(place)
}

/// Returns the placement of a task that a number selects among the due ones of a job.
fn select_placement(state: &State, job: u8, task: u8, worker: InstanceName) -> Option<Change> {
    let job = state.job(id(job))?;
    let due = job.occurrences().flat_map(|(occurrence, o)| {
        o.tasks().map(move |(step, index, task)| {
            let id = TaskId {
                job: job.id,
                occurrence,
                step,
                index,
            };
            (id, task.attempt)
        })
    });
    let due: Vec<_> = due.collect();
    let place = usize::from(task).checked_rem(due.len())?;
    Some(Change::Place {
        task: due[place].0,
        attempt: due[place].1 + 1,
        worker,
    })
}

fn change(state: &State, event: RandomEvent, now_ms: u64) -> Option<Change> {
    Some(match event {
        RandomEvent::Accept { job } => Change::Accept {
            job: id(job),
            queue: "quick".into(),
            spec: Arc::new(spec(job)),
        },
        RandomEvent::Cancel { job } => Change::Cancel { job: id(job) },
        RandomEvent::Due { job } => Change::Due {
            job: id(job),
            occurrence: state.job(id(job))?.next_due()?.0,
        },
        RandomEvent::Place {
            job,
            task,
            worker: place,
        } => select_placement(state, job, task, worker(place))?,
        RandomEvent::Unplace { run } => {
            let (task, attempt, worker) = select_run(state, run)?;
            Change::Unplace {
                task,
                attempt,
                worker,
            }
        }
        RandomEvent::End { run, ending } => {
            let (task, attempt, worker) = select_run(state, run)?;
            Change::End {
                task,
                attempt,
                worker,
                ending,
                checkpoint: String::new(),
            }
        }
        RandomEvent::Lapse { worker: place } => Change::Lapse {
            worker: worker(place),
        },
        RandomEvent::Gone { worker: place } => Change::Gone {
            worker: worker(place),
        },
        RandomEvent::Forget => Change::Forget {
            before_unix_ms: now_ms + 1,
        },
        RandomEvent::Restore => return None,
    })
}

fn apply(state: &mut State, now_ms: u64, change: Change) {
    state.apply(&Command {
        by: "10.0.0.1".into(),
        start: 1,
        sequence: now_ms,
        at_unix_ms: now_ms,
        changes: vec![change],
    });
}

/// Workers are lost while jobs of all kinds arrive, run, fail, end and are cancelled, and
/// instances restore snapshots in between. Exactly the runs on a lost worker must be freed:
/// a run that is missed keeps its job waiting forever, and one that is freed by mistake
/// runs twice. The state must match a model that scans all jobs, also after a restart.
#[quickcheck]
fn a_lost_worker_frees_what_a_walk_of_all_jobs_finds(events: Vec<RandomEvent>) {
    let mut state = State::default();
    let mut model = ReferenceModel::default();
    apply(&mut state, 0, Change::Configure(Arc::new(configuration(1))));
    for (now_ms, event) in (1..).zip(events) {
        if let Some(change) = change(&state, event, now_ms) {
            model.apply(now_ms, &change);
            apply(&mut state, now_ms, change);
        } else {
            let restored = State::decode(&state.encode()).unwrap();
            assert_eq!(restored, state, "after {event:?}");
            state = restored;
        }
        for place in 0..JOBS {
            let known = model.jobs.get(&id(place));
            assert_eq!(state.job(id(place)), known, "after {event:?}");
        }
        let active: BTreeSet<JobId> = state.active().map(|job| job.id).collect();
        assert_eq!(active, model.active, "after {event:?}");
    }
}
