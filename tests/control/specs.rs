//! Job specifications: validation, dependency chains, task ids, and the ends of gangs and
//! copies.

use std::sync::Arc;

use rosemarygauge::jobs::{
    Job, JobId, JobSpec, JobState, Recurrence, RunResult, SpecFault, Step, TaskId,
};

use crate::world::{job, step};

fn accepted(spec: JobSpec) -> Job {
    let mut job = Job::new(
        JobId::from(1),
        "quick".into(),
        "east".into(),
        Arc::new(spec),
        3,
        1_000,
    );
    job.create_occurrence(0);
    job
}

fn task(step: u16, index: u16) -> TaskId {
    TaskId {
        job: JobId::from(1),
        occurrence: 0,
        step,
        index,
    }
}

#[test]
fn task_ids_round_trip_as_text() {
    let name = "5c0e7a21d94b36f8.0.1.17";
    let id: TaskId = name.parse().unwrap();
    assert_eq!(id.to_string(), name);
    for invalid in [
        "5c0e7a21d94b36f8",
        "5C0E7A21D94B36F8.0.1.1",
        "x.0.0.0",
        "5c0e7a21d94b36f8.0.1.1.1",
    ] {
        assert!(invalid.parse::<TaskId>().is_err(), "{invalid}");
    }
}

#[test]
fn invalid_specs_are_rejected_with_their_fault() {
    let later = Step {
        after: vec![1],
        ..step(1)
    };
    let large = JobSpec {
        payload: "x".repeat(4_001),
        ..job(vec![step(1)])
    };
    let faults = [
        (job(Vec::new()), SpecFault::NoStep),
        (job(vec![step(0)]), SpecFault::NoTask { step: 0 }),
        (
            job(vec![step(1), later]),
            SpecFault::WrongOrder { step: 1, on: 1 },
        ),
        (
            large,
            SpecFault::LargePayload {
                size_bytes: 4_001,
                limit_bytes: 4_000,
            },
        ),
    ];
    for (spec, fault) in faults {
        assert_eq!(spec.check(), Err(fault));
    }
}

#[test]
fn the_longest_dependency_chain_counts() {
    let after = |on: Vec<u16>| Step {
        after: on,
        ..step(1)
    };
    let spec = job(vec![step(1), step(1), after(vec![0, 1]), after(vec![2])]);
    assert_eq!(
        spec.critical_paths_ms(&[100, 900, 50, 7]),
        [157, 957, 57, 7]
    );
}

/// The end of one task of a gang ends all of them, and they share one checkpoint.
#[test]
fn a_gang_ends_together() {
    let spec = job(vec![Step {
        gang: true,
        ..step(3)
    }]);
    let mut job = accepted(spec);
    for index in 0..3 {
        assert!(job.place(0, task(0, index), 1, &"i-1".into()));
    }
    assert!(job.end(task(0, 0), 1, &"i-1".into(), RunResult::Broken, "saved"));
    assert_eq!(job.task(task(0, 2)).unwrap().checkpoint, "saved");
    assert!(job.end(task(0, 1), 1, &"i-1".into(), RunResult::Done, ""));
    job.settle(2_000);
    assert_eq!(job.state(), JobState::Completed);
}

#[test]
fn only_steps_with_copies_run_a_task_twice() {
    let mut single = accepted(job(vec![step(1)]));
    assert!(single.place(0, task(0, 0), 1, &"i-1".into()));
    assert!(!single.place(0, task(0, 0), 2, &"i-2".into()));
    let mut copied = accepted(job(vec![Step {
        copies: true,
        ..step(1)
    }]));
    assert!(copied.place(0, task(0, 0), 1, &"i-1".into()));
    assert!(copied.place(0, task(0, 0), 2, &"i-2".into()));
    assert!(!copied.place(0, task(0, 0), 2, &"i-3".into()));
}

#[test]
fn a_job_completes_when_all_due_occurrences_have_ended() {
    let spec = JobSpec {
        recurrence: Some(Recurrence {
            times: 2,
            start_unix_ms: 5_000,
            interval_ms: 1_000,
        }),
        ..job(vec![step(1)])
    };
    let mut job = Job::new(
        JobId::from(1),
        "q".into(),
        "east".into(),
        Arc::new(spec),
        3,
        0,
    );
    assert_eq!(job.next_due(), Some((0, 5_000)));
    job.create_occurrence(0);
    assert_eq!(job.next_due(), Some((1, 6_000)));
    job.place(0, task(0, 0), 1, &"i".into());
    job.end(task(0, 0), 1, &"i".into(), RunResult::Done, "");
    job.settle(5_500);
    assert_eq!(job.state(), JobState::Running);
    job.create_occurrence(1);
    let second = TaskId {
        occurrence: 1,
        ..task(0, 0)
    };
    job.place(0, second, 1, &"i".into());
    job.end(second, 1, &"i".into(), RunResult::Done, "");
    job.settle(6_500);
    assert_eq!(job.state(), JobState::Completed);
}

/// An end that is listed again after it was recorded, or that belongs to a run which was
/// given up, changes nothing.
#[test]
fn an_end_counts_once() {
    let mut job = accepted(job(vec![step(1)]));
    job.place(0, task(0, 0), 1, &"i-1".into());
    assert!(job.end(task(0, 0), 1, &"i-1".into(), RunResult::Failed, ""));
    assert!(!job.end(task(0, 0), 1, &"i-1".into(), RunResult::Failed, ""));
    assert_eq!(job.task(task(0, 0)).unwrap().failures, 1);
}

#[test]
fn failures_of_lasting_tasks_are_unlimited() {
    let spec = job(vec![Step {
        lasting: true,
        ..step(1)
    }]);
    let mut job = accepted(spec);
    for attempt in 1..10 {
        assert!(job.place(0, task(0, 0), attempt, &"i-1".into()));
        assert!(job.end(task(0, 0), attempt, &"i-1".into(), RunResult::Failed, ""));
        job.settle(2_000);
    }
    assert_eq!(job.state(), JobState::Running);
}
