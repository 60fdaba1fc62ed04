//! Snapshots of the replicated state.

use std::sync::Arc;

use rosemarygauge::control::{Change, JobMemory, State};
use rosemarygauge::jobs::{JobId, JobSpec};

use crate::pool::apply;
use crate::world::{configuration, job, step};

/// Larger than the limit of a peer message.
const LARGE_BYTES: usize = 17 << 20;
/// About the size of the largest payload of a job.
const PAYLOAD_BYTES: usize = 3_900;

/// Guards against the loss of all jobs when all instances restart. A large state was
/// written as a snapshot and the log truncated behind it. The snapshot was then decoded
/// with the smaller limit of a peer message, so the instances started with an empty state.
#[test]
fn a_large_state_can_be_read_again() {
    let mut state = State::default();
    apply(&mut state, Change::Configure(Arc::new(configuration(1))));
    let spec = Arc::new(JobSpec {
        payload: "p".repeat(PAYLOAD_BYTES),
        ..job(vec![step(4)])
    });
    for id in 0..(LARGE_BYTES / PAYLOAD_BYTES) as u64 {
        let change = Change::Accept {
            job: JobId::from(id),
            queue: "quick".into(),
            spec: Arc::clone(&spec),
        };
        apply(&mut state, change);
    }
    let bytes = state.encode();
    assert!(bytes.len() > LARGE_BYTES, "{} bytes", bytes.len());
    let read = State::decode(&bytes).map_err(|err| err.to_string());
    assert_eq!(read.map(|read| read == state), Ok(true));
}

/// The same for many small jobs. Their ids are encoded in a byte each and count as eight
/// bytes toward the limit.
#[test]
fn a_state_of_many_small_jobs_can_be_read_again() {
    const JOBS: u64 = 70_000;
    let mut state = State::default();
    apply(&mut state, Change::Configure(Arc::new(configuration(1))));
    let spec = Arc::new(job(vec![step(24)]));
    for id in 0..JOBS {
        let change = Change::Accept {
            job: JobId::from(id),
            queue: "quick".into(),
            spec: Arc::clone(&spec),
        };
        apply(&mut state, change);
    }
    let read = State::decode(&state.encode()).map_err(|err| err.to_string());
    assert_eq!(read.map(|read| read.active_count()), Ok(JOBS as usize));
}

/// Guards against an estimate of the memory of jobs that drifts: instances that restart from a
/// snapshot would accept more or fewer jobs than others.
#[test]
fn the_memory_of_jobs_is_the_same_after_a_snapshot() {
    let mut state = State::default();
    apply(&mut state, Change::Configure(Arc::new(configuration(1))));
    let spec = Arc::new(job(vec![step(24), step(3)]));
    for id in 0..8 {
        let change = Change::Accept {
            job: JobId::from(id),
            queue: "quick".into(),
            spec: Arc::clone(&spec),
        };
        apply(&mut state, change);
    }
    let same = |state: &State| {
        let read = State::decode(&state.encode()).unwrap();
        assert_eq!(read.job_memory(), state.job_memory());
        state.job_memory().bytes()
    };
    let accepted = same(&state);
    assert_eq!(accepted, 8 * JobMemory::of_active(&spec));
    for id in 0..8 {
        let job = JobId::from(id);
        apply(&mut state, Change::Cancel { job });
    }
    assert_eq!(same(&state), 8 * spec.memory_bytes());
    let before_unix_ms = u64::MAX;
    apply(&mut state, Change::Forget { before_unix_ms });
    assert_eq!(same(&state), 0);
}
