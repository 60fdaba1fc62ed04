//! Calls of workers, callers and operators.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rosemarygauge::control::{Answer, Call, Event, Place, Wave};
use rosemarygauge::jobs::{JobId, JobSpec, JobState};

use super::{World, name};

impl World {
    /// Hands in a call at an instance; its answer comes under the id.
    pub fn call(&mut self, place: usize, call: Call) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        self.feed(&name(place), Event::Call { id, call });
        id
    }

    pub fn place(queue: &str, job: u64) -> Place {
        Place {
            host: "h.example".into(),
            path: format!("/{queue}/{}", JobId::from(job)),
        }
    }

    pub fn submit(&mut self, at: usize, queue: &str, id: u64, spec: JobSpec) -> u64 {
        if spec.lasts() {
            for worker in self.workers.values_mut() {
                worker.lasting_jobs.insert(JobId::from(id));
            }
        }
        let call = Call::Submit {
            place: Self::place(queue, id),
            spec: Some(Arc::new(spec)),
        };
        self.call(at, call)
    }

    pub fn cancel(&mut self, at: usize, queue: &str, id: u64) -> u64 {
        let place = Self::place(queue, id);
        self.call(at, Call::Cancel { place })
    }

    /// How far a job is, asked at an instance; none without a clear answer.
    pub fn look(&mut self, at: usize, queue: &str, id: u64) -> Option<JobState> {
        let place = Self::place(queue, id);
        let call = self.call(at, Call::Look { place });
        self.run_ms(1_200);
        match self.answers.get(&call) {
            Some(Answer::Job(state)) => Some(*state),
            _ => None,
        }
    }

    /// How many jobs of a queue are pending, asked at an instance; none without a clear answer.
    pub fn pending(&mut self, at: usize, queue: &str) -> Option<usize> {
        let place = Place {
            host: "h.example".into(),
            path: format!("/{queue}/"),
        };
        let call = self.call(at, Call::Look { place });
        self.run_ms(1_200);
        match self.answers.get(&call) {
            Some(Answer::Pending(count)) => Some(*count),
            _ => None,
        }
    }

    pub fn start_wave(&mut self, at: usize, machines: &[&str], down_max: usize) -> u64 {
        let wave = Wave {
            number: 1,
            machines: machines.iter().map(|m| (*m).to_owned()).collect(),
            duration_ms: 20_000,
            down_max,
            accepted_unix_ms: 0,
            begun: BTreeSet::new(),
            asked: BTreeMap::new(),
        };
        self.call(at, Call::StartWave(wave))
    }
}
