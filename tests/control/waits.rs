//! How long ordinary jobs wait for their first run beside other work.

use std::collections::BTreeMap;

use rosemarygauge::jobs::JobId;

use crate::world::{World, job, step};

/// Time for which a job whose turn has come may have nothing running beside free workers.
pub const LONGEST_WAIT_MS: u64 = 3_000;
/// Ids of the ordinary jobs, from here on.
const FIRST_ID: u64 = 50_000;

/// Ordinary jobs that are submitted at a steady rate.
#[derive(Default)]
pub struct Waits {
    submitted_ms: BTreeMap<JobId, u64>,
}

impl Waits {
    /// Submits a small job every half second for `for_ms`.
    pub fn submit(&mut self, world: &mut World, for_ms: u64) {
        let until_ms = world.now_ms + for_ms;
        while world.now_ms < until_ms {
            let id = FIRST_ID + self.submitted_ms.len() as u64;
            world.submit(1 + id as usize % 3, "quick", id, job(vec![step(2)]));
            self.submitted_ms.insert(JobId::from(id), world.now_ms);
            world.run_ms(500);
        }
    }

    /// Returns the longest time until the first run of a job, of those submitted from `from_ms`
    /// on.
    pub fn longest_ms(&self, world: &World, from_ms: u64) -> u64 {
        let mut began: BTreeMap<JobId, u64> = BTreeMap::new();
        for run in &world.runs {
            began.entry(run.task.job).or_insert(run.began_ms);
        }
        let jobs = self.submitted_ms.iter().filter(|(_, at)| **at >= from_ms);
        let waits = jobs.map(|(id, at)| began.get(id).copied().unwrap_or(world.now_ms) - at);
        waits.max().unwrap_or(0)
    }
}
