//! A fake worker with leases by its own clock, fencing tokens, and ends that stay listed
//! until they are acknowledged.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rosemarygauge::control::{Ended, OrderKind, OrderOutcome, Phase, Rejection, Report, Running};
use rosemarygauge::jobs::{JobId, Resources, RunResult, TaskId};

use crate::world::TIMING;

/// Maximum number of ends in a listing; further ends follow once these are acknowledged.
const ENDS_LISTED_MAX: usize = 500;
/// Time that stopping a run takes.
const STOP_MS: u64 = 100;

#[derive(Clone)]
pub struct Going {
    pub attempt: u32,
    pub since_ms: u64,
    pub ends_ms: u64,
    pub ending: RunResult,
    pub stopping: bool,
}

pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    pub pool: String,
    pub machine: String,
    pub phase: Phase,
    pub sequence: u64,
    pub fence: u64,
    pub lease_end_ms: u64,
    pub going: BTreeMap<TaskId, Going>,
    pub ended: Vec<Ended>,
    pub next_end: u64,
    pub highest: BTreeMap<TaskId, u32>,
    pub acknowledged: u64,
    /// Run time of tasks on this worker, except lasting ones, which do not end.
    pub run_ms: u64,
    /// Maximum delay of its answers.
    pub answer_late_ms: u64,
    pub fails_all: bool,
    /// Whether it rejects all starts.
    pub unhealthy: bool,
    /// The reason for which it rejects all starts, if it does.
    pub rejects: Option<Rejection>,
    pub stalls: bool,
    /// Rate of its clock relative to true time, in thousandths.
    pub clock_rate: u64,
    pub clock_base_ms: u64,
    pub born_ms: u64,
    /// When it last started again under its name, 0 if it never did.
    pub started_again_ms: u64,
    /// Whether it says when it started.
    pub tells_start: bool,
    pub lasting_jobs: std::collections::BTreeSet<JobId>,
    /// Jobs whose tasks fail, with the time from the start of each run until it does.
    pub failing_jobs: BTreeMap<JobId, u64>,
    /// Jobs whose tasks take another time than others.
    pub job_run_ms: BTreeMap<JobId, u64>,
    /// Number of times its lease has expired.
    lapses: u64,
    lapsed: bool,
    /// Unacknowledged completions by the number of the end: task, time, and `lapses` then.
    done: BTreeMap<u64, (TaskId, u64, u64)>,
    /// Completions, with their time, that were acknowledged before the lease expired.
    pub noted: Vec<(TaskId, u64)>,
}

impl Worker {
    pub fn new(name: &str, address: SocketAddr, pool: &str, now_ms: u64) -> Self {
        Self {
            name: name.to_owned(),
            address,
            pool: pool.to_owned(),
            machine: format!("m-{}", address.port()),
            phase: Phase::Ready,
            sequence: 0,
            fence: 0,
            lease_end_ms: 0,
            going: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest: BTreeMap::new(),
            acknowledged: 0,
            run_ms: 300,
            answer_late_ms: 0,
            fails_all: false,
            unhealthy: false,
            rejects: None,
            stalls: false,
            clock_rate: 1_000,
            clock_base_ms: 77_000,
            born_ms: now_ms,
            started_again_ms: 0,
            tells_start: false,
            lasting_jobs: std::collections::BTreeSet::new(),
            failing_jobs: BTreeMap::new(),
            job_run_ms: BTreeMap::new(),
            lapses: 0,
            lapsed: false,
            done: BTreeMap::new(),
            noted: Vec::new(),
        }
    }

    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        self.clock_base_ms + (now_ms - self.born_ms) * self.clock_rate / 1_000
    }

    pub fn report(&mut self) -> Report {
        self.sequence += 1;
        Report {
            worker: self.name.as_str().into(),
            machine: Some(self.machine.clone()),
            pool: self.pool.as_str().into(),
            address: self.address,
            zone: "a".into(),
            rack: Some("r1".into()),
            labels: vec!["a".into(), "r1".into()],
            capacity: Resources {
                cpu_milli: 16_000,
                memory_mb: 64_000,
                accelerators: 0,
            },
            phase: self.phase,
            sequence: self.sequence,
        }
    }

    /// Advances the time: ends runs that are due, and all runs once the lease has expired.
    pub fn tick(&mut self, now_ms: u64) {
        let lapsed = self.clock_ms(now_ms) >= self.lease_end_ms;
        self.lapses += u64::from(lapsed && !self.lapsed);
        self.lapsed = lapsed;
        let over: Vec<(TaskId, RunResult)> = self
            .going
            .iter()
            .filter_map(|(task, going)| {
                if lapsed {
                    Some((*task, RunResult::Lapsed))
                } else if now_ms >= going.ends_ms {
                    let ending = if going.stopping {
                        RunResult::Stopped
                    } else {
                        going.ending
                    };
                    Some((*task, ending))
                } else {
                    None
                }
            })
            .collect();
        for (task, ending) in over {
            self.end(now_ms, task, ending);
        }
    }

    fn end(&mut self, now_ms: u64, task: TaskId, ending: RunResult) {
        let going = self.going.remove(&task).unwrap();
        if ending == RunResult::Done {
            self.done.insert(self.next_end, (task, now_ms, self.lapses));
        }
        self.ended.push(Ended {
            number: self.next_end,
            task,
            attempt: going.attempt,
            ending,
            checkpoint: String::new(),
        });
        self.next_end += 1;
    }

    /// When it started, in milliseconds since 1970, if it says it.
    pub fn started_unix_ms(&self) -> Option<u64> {
        self.tells_start.then_some(1_700_000_000_000 + self.born_ms)
    }

    /// Starts again under its name: it holds and knows nothing of before.
    pub fn start_again(&mut self, now_ms: u64) {
        let fresh = Self::new(&self.name, self.address, &self.pool, now_ms);
        *self = Self {
            clock_base_ms: 1_000,
            started_again_ms: now_ms,
            run_ms: self.run_ms,
            tells_start: self.tells_start,
            lasting_jobs: std::mem::take(&mut self.lasting_jobs),
            failing_jobs: std::mem::take(&mut self.failing_jobs),
            job_run_ms: std::mem::take(&mut self.job_run_ms),
            noted: std::mem::take(&mut self.noted),
            ..fresh
        };
    }

    pub fn order(&mut self, now_ms: u64, fence: u64, kind: &OrderKind) -> OrderOutcome {
        let outcome = self.carry_out(now_ms, fence, kind);
        match (self.started_unix_ms(), &outcome) {
            (Some(started_unix_ms), OrderOutcome::Listed { .. }) => OrderOutcome::Since {
                started_unix_ms,
                outcome: Box::new(outcome),
            },
            _ => outcome,
        }
    }

    fn carry_out(&mut self, now_ms: u64, fence: u64, kind: &OrderKind) -> OrderOutcome {
        let clock_ms = self.clock_ms(now_ms);
        let rejected = |reason| OrderOutcome::Rejected {
            reason,
            clock_ms: Some(clock_ms),
        };
        if fence < self.fence {
            return rejected(Rejection::Fence);
        }
        self.fence = fence;
        match kind {
            OrderKind::Start {
                task,
                attempt,
                lease_end_ms,
                ..
            } => {
                let lease_end_ms = (*lease_end_ms).min(clock_ms + TIMING.lease_max_ms);
                if self.going.get(task).is_some_and(|g| g.attempt == *attempt) {
                    self.lease_end_ms = self.lease_end_ms.max(lease_end_ms);
                    return OrderOutcome::Done {
                        clock_ms: Some(clock_ms),
                    };
                }
                if let Some(reason) = self.rejects {
                    return rejected(reason);
                }
                if self.unhealthy {
                    return rejected(Rejection::Unhealthy);
                }
                if lease_end_ms <= clock_ms {
                    return rejected(Rejection::Late);
                }
                self.lease_end_ms = self.lease_end_ms.max(lease_end_ms);
                let highest = self.highest.get(task).copied().unwrap_or(0);
                if *attempt <= highest || self.going.contains_key(task) {
                    return rejected(Rejection::Old);
                }
                self.highest.insert(*task, *attempt);
                let lasts = self.lasting_jobs.contains(&task.job);
                let still = self.stalls || lasts;
                let fails_after_ms = match self.fails_all {
                    true => Some(5),
                    false => self.failing_jobs.get(&task.job).copied(),
                };
                let going = Going {
                    attempt: *attempt,
                    since_ms: now_ms,
                    ends_ms: match fails_after_ms {
                        Some(after_ms) => now_ms + after_ms,
                        None if still => u64::MAX,
                        None => now_ms + self.takes_ms(task.job),
                    },
                    ending: match fails_after_ms {
                        Some(_) => RunResult::Failed,
                        None => RunResult::Done,
                    },
                    stopping: false,
                };
                self.going.insert(*task, going);
                OrderOutcome::Done {
                    clock_ms: Some(clock_ms),
                }
            }
            OrderKind::Stop { task, attempt } => {
                let highest = self.highest.entry(*task).or_default();
                *highest = (*highest).max(*attempt);
                if let Some(going) = self.going.get_mut(task)
                    && going.attempt == *attempt
                    && !going.stopping
                {
                    going.stopping = true;
                    going.ends_ms = now_ms + STOP_MS;
                }
                OrderOutcome::Done {
                    clock_ms: Some(clock_ms),
                }
            }
            OrderKind::Renew {
                lease_end_ms,
                acknowledged,
                ..
            } => {
                let lease_end_ms = lease_end_ms.unwrap_or(0);
                let lease_end_ms = lease_end_ms.min(clock_ms + TIMING.lease_max_ms);
                self.lease_end_ms = self.lease_end_ms.max(lease_end_ms);
                self.acknowledged = self.acknowledged.max(*acknowledged);
                self.ended.retain(|end| end.number > *acknowledged);
                let open = self.done.split_off(&(*acknowledged + 1));
                let noted = std::mem::replace(&mut self.done, open).into_values();
                let noted = noted.filter(|(_, _, lapses)| *lapses == self.lapses);
                self.noted
                    .extend(noted.map(|(task, at_ms, _)| (task, at_ms)));
                OrderOutcome::Listed {
                    clock_ms,
                    running: self.running(now_ms),
                    ended: self.ended.iter().take(ENDS_LISTED_MAX).cloned().collect(),
                }
            }
            OrderKind::Throttle { .. } => OrderOutcome::Done {
                clock_ms: Some(clock_ms),
            },
        }
    }

    /// How long a task of a job takes here.
    fn takes_ms(&self, job: JobId) -> u64 {
        self.job_run_ms.get(&job).copied().unwrap_or(self.run_ms)
    }

    fn running(&self, now_ms: u64) -> Vec<Running> {
        let going = self.going.iter();
        going
            .map(|(task, going)| {
                let lasts = self.lasting_jobs.contains(&task.job);
                let passed_ms = now_ms - going.since_ms;
                let percent = match (lasts, self.stalls) {
                    (true, _) => (passed_ms / 5).min(100),
                    (false, true) => 7,
                    (false, false) => (passed_ms * 100 / self.takes_ms(task.job)).min(99),
                };
                Running {
                    task: *task,
                    attempt: going.attempt,
                    checkpoint: String::new(),
                    percent: percent as u8,
                    gauge: None,
                }
            })
            .collect()
    }
}
