use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::super::{Arrival, FakeMachine, Ledger, Outcome, Workload};
use crate::jobs::{JobId, JobState};

/// What became of each job, and what the machines cost.
pub(super) struct Tally {
    jobs: BTreeMap<JobId, TallyJob>,
    open: usize,
    /// Milliseconds of all machines that were not off.
    machine_ms: u64,
}

struct TallyJob {
    queue: usize,
    work: f64,
    at_ms: u64,
    objective_ms: f64,
    ended: Option<(u64, JobState)>,
}

/// The work of jobs by what became of them.
#[derive(Clone, Copy, Default)]
struct Shares {
    on_time: f64,
    late: f64,
    not_done: f64,
}

impl Tally {
    pub(super) fn new(workload: &Workload, arrivals: &[Arrival]) -> Self {
        let queues = workload.configuration().queues;
        let jobs = (1_u64..).zip(arrivals).map(|(number, arrival)| {
            let job = TallyJob {
                queue: arrival.queue,
                work: arrival.work(),
                at_ms: arrival.at_ms,
                objective_ms: queues[arrival.queue].objective_ms(arrival.chain_ms()),
                ended: None,
            };
            (JobId::from(number), job)
        });
        Self {
            jobs: jobs.collect(),
            open: arrivals.len(),
            machine_ms: 0,
        }
    }

    /// Whether it is not known of all jobs what became of them.
    pub(super) fn is_open(&self) -> bool {
        self.open > 0
    }

    /// A millisecond went by.
    pub(super) fn count_machines(&mut self, machines: &[FakeMachine]) {
        self.machine_ms += machines.iter().filter(|m| !m.is_off()).count() as u64;
    }

    pub(super) fn ended(&mut self, id: JobId, state: JobState, since_ms: u64) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.ended.is_none()
        {
            job.ended = Some((since_ms, state));
            self.open -= 1;
        }
    }

    /// The measures; `since_ms` is how long ago the first job could come.
    pub(super) fn outcome(
        &self,
        workload: &Workload,
        ledger: &Ledger,
        begin_ms: u64,
        since_ms: u64,
    ) -> Outcome {
        let mut all = Shares::default();
        let mut of_queue = vec![Shares::default(); workload.queues.len()];
        for job in self.jobs.values() {
            all.add(job);
            of_queue[job.queue].add(job);
        }
        let mut outcome = Outcome::default();
        outcome.add("on time, share of work", all.part(all.on_time));
        outcome.add("late, share of work", all.part(all.late));
        outcome.add("not done, share of work", all.part(all.not_done));
        for (queue, shares) in workload.queues.iter().zip(&of_queue) {
            let name = format!("on time in {}, share of work", queue.name);
            outcome.add(name, shares.part(shares.on_time));
        }
        let waits = self.waits(ledger, begin_ms, since_ms);
        outcome.add("waiting p50, ms", waits.value_at_quantile(0.5) as f64);
        outcome.add("waiting p99, ms", waits.value_at_quantile(0.99) as f64);
        let machine_s = self.machine_ms as f64 / 1_000.0;
        outcome.add("machine-seconds in pools", machine_s);
        let counts = ledger.counts();
        outcome.add("moves", counts.moves as f64);
        outcome.add("runs thrown away", counts.thrown_away as f64);
        outcome.add("runs", counts.starts as f64);
        outcome.add("jobs", self.jobs.len() as f64);
        outcome
    }

    /// From handing in to the first start; of a job that never started, to the end.
    fn waits(&self, ledger: &Ledger, begin_ms: u64, since_ms: u64) -> Histogram<u64> {
        let most_ms = since_ms.max(2);
        // A range from 1 to at least 2 with 3 digits is always right.
        let mut waits =
            Histogram::new_with_bounds(1, most_ms, 3).expect("a range that is always right");
        for (id, job) in &self.jobs {
            let started_ms = ledger.first_start_ms(*id);
            let started_ms = started_ms.map_or(since_ms, |at_ms| at_ms - begin_ms);
            waits.saturating_record(started_ms.saturating_sub(job.at_ms).max(1));
        }
        waits
    }
}

impl Shares {
    fn add(&mut self, job: &TallyJob) {
        let share = match job.ended {
            Some((ended_ms, JobState::Completed)) => {
                let took_ms = ended_ms.saturating_sub(job.at_ms);
                if took_ms as f64 <= job.objective_ms {
                    &mut self.on_time
                } else {
                    &mut self.late
                }
            }
            _ => &mut self.not_done,
        };
        *share += job.work;
    }

    /// The part of all work; 0 where there is none.
    fn part(&self, of: f64) -> f64 {
        let all = self.on_time + self.late + self.not_done;
        if all > 0.0 { of / all } else { 0.0 }
    }
}
