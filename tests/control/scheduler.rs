//! Placement of tasks on workers and the order of jobs, without a network.

use std::sync::Arc;

use rosemarygauge::control::{
    Advice, Change, Estimates, OrderPolicy, Placement, Policy, Remaining, Scheduler,
    SchedulerInput, State, rank_job,
};
use rosemarygauge::jobs::{JobId, Step};

use crate::pool::{NOW_MS, Pool, UNIX_MS, apply};
use crate::world::{configuration, job, lasting, queue, step};

fn workers_of(starts: &[Placement]) -> Vec<&str> {
    let mut names: Vec<&str> = starts.iter().map(|s| s.worker.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    names
}

/// A few tasks in a large pool share a worker, so that the other workers stay empty and can
/// move to an overloaded pool.
#[test]
fn tasks_are_packed() {
    let mut pool = Pool::new(6);
    pool.accept(1, job(vec![step(10)]));
    let starts = pool.pass();
    assert_eq!(starts.len(), 10);
    assert_eq!(workers_of(&starts).len(), 1);
}

/// With more work than room, no worker is given more than it has room for, including
/// starts that are proposed but not yet applied.
#[test]
fn no_worker_is_given_more_than_its_room() {
    let mut pool = Pool::new(3);
    pool.accept(1, job(vec![step(100)]));
    let starts = pool.pass();
    assert_eq!(starts.len(), 48);
    assert!(pool.pass().is_empty());
}

#[test]
fn memory_limits_placement_like_processors() {
    let mut pool = Pool::new(2);
    let mut heavy = step(10);
    heavy.demand.memory_mb = 30_000;
    pool.accept(1, job(vec![heavy]));
    assert_eq!(pool.pass().len(), 4);
}

/// When demand is several times the room, the job with the least work left goes first, and
/// a large job that arrived earlier does not block those behind it.
#[test]
fn small_jobs_pass_a_large_one_under_load() {
    let mut pool = Pool::new(1);
    pool.accept(1, job(vec![step(100)]));
    for id in 2..6 {
        pool.accept(id, job(vec![step(4)]));
    }
    let starts = pool.pass();
    assert_eq!(starts.len(), 16);
    assert!(starts.iter().all(|s| s.task.job != JobId::from(1)));
}

/// A job that cannot be on time any more goes after those that can.
#[test]
fn jobs_that_can_be_on_time_go_before_late_ones() {
    let q = queue("quick", "east");
    let one = rosemarygauge::jobs::Job::new(
        JobId::from(1),
        "quick".into(),
        "east".into(),
        Arc::new(job(vec![step(1)])),
        3,
        0,
    );
    let left = Remaining {
        chain_ms: 300,
        left_ms: 300,
        work: 500.0,
        lasts: false,
        beyond_share: false,
    };
    let policy = OrderPolicy::default();
    let at = |now| rank_job(now, &one, Some(&q), 0, &left, &policy).0;
    let (on_time, late, worthless) = (at(100), at(1_500), at(9_000));
    assert!(on_time.cmp(&late).is_lt());
    assert!(late.cmp(&worthless).is_lt());
    let urgent = rosemarygauge::control::Queue {
        priority: 0,
        ..q.clone()
    };
    let patient = rosemarygauge::control::Queue { priority: 1, ..q };
    let a = rank_job(9_000, &one, Some(&urgent), 0, &left, &policy).0;
    let b = rank_job(0, &one, Some(&patient), 0, &left, &policy).0;
    assert!(a.cmp(&b).is_lt());
}

/// The tasks of a lasting step are spread, so that the loss of a worker costs it only one.
#[test]
fn lasting_tasks_of_a_step_are_spread() {
    let mut pool = Pool::new(6);
    let mut spec = lasting(5);
    spec.steps[0].per_worker_max = None;
    pool.accept(1, spec);
    assert_eq!(workers_of(&pool.pass()).len(), 5);
}

/// Best-effort tasks would slow down the tasks on their worker that serve users.
#[test]
fn serving_and_best_effort_tasks_are_kept_apart() {
    let mut pool = Pool::new(8);
    let mut serving = lasting(4);
    serving.steps[0].tail_target_ms = Some(100);
    let mut best_effort = lasting(4);
    best_effort.steps[0].best_effort = true;
    pool.accept(1, serving);
    pool.accept(2, best_effort);
    let starts = pool.pass();
    let of = |id: u64| {
        let of_job = starts.iter().filter(move |s| s.task.job == JobId::from(id));
        of_job
            .map(|s| s.worker.clone())
            .collect::<std::collections::BTreeSet<_>>()
    };
    assert_eq!((of(1).len(), of(2).len()), (4, 4));
    assert!(of(1).is_disjoint(&of(2)));
}

#[test]
fn labels_racks_and_limits_are_respected() {
    let mut pool = Pool::new(6);
    pool.accept(
        1,
        job(vec![Step {
            label: Some("b".into()),
            ..step(1)
        }]),
    );
    pool.accept(
        2,
        job(vec![Step {
            per_worker_max: Some(2),
            ..step(20)
        }]),
    );
    pool.accept(
        3,
        job(vec![Step {
            data_rack: Some("r2".into()),
            ..step(3)
        }]),
    );
    let starts = pool.pass();
    assert!(starts.iter().all(|s| s.task.job != JobId::from(1)));
    let second: Vec<_> = starts
        .iter()
        .filter(|s| s.task.job == JobId::from(2))
        .collect();
    assert_eq!(second.len(), 12);
    let third = starts.iter().filter(|s| s.task.job == JobId::from(3));
    assert!(third.clone().count() == 3);
    assert!(
        third
            .clone()
            .all(|s| ["i-4", "i-5"].contains(&s.worker.as_str()))
    );
}

/// A part of a gang would wait in vain for the rest, so a gang starts whole or not at all,
/// and all its tasks have the same attempt number.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut pool = Pool::new(1);
    pool.accept(
        1,
        job(vec![Step {
            gang: true,
            ..step(17)
        }]),
    );
    assert!(pool.pass().is_empty());
    pool.accept(
        2,
        job(vec![Step {
            gang: true,
            ..step(16)
        }]),
    );
    let starts = pool.pass();
    assert_eq!(starts.len(), 16);
    assert!(
        starts
            .iter()
            .all(|s| s.attempt == 1 && s.task.job == JobId::from(2))
    );
}

/// In a queue whose placements an advisor must allow, nothing starts before the advisor has
/// answered.
#[test]
fn an_advisor_is_asked_first() {
    let mut pool = Pool::new(3);
    let mut advised = configuration(2);
    advised.queues[0].advice = Some(Advice {
        decision_ms: 10,
        per_worker_ms: 1,
        validity_ms: 3_000,
    });
    apply(&mut pool.state, Change::Configure(Arc::new(advised)));
    pool.accept(1, job(vec![step(4)]));
    assert!(pool.pass().is_empty());
}

#[test]
fn a_retry_avoids_the_worker_on_which_it_failed() {
    let mut pool = Pool::new(2);
    pool.accept(1, job(vec![step(1)]));
    let first = pool.pass().remove(0);
    pool.scheduler = Scheduler::default();
    let (task, attempt, worker) = (first.task, first.attempt, first.worker.clone());
    apply(
        &mut pool.state,
        Change::Place {
            task,
            attempt,
            worker: worker.clone(),
        },
    );
    let end = Change::End {
        task,
        attempt,
        worker: worker.clone(),
        ending: rosemarygauge::jobs::RunResult::Failed,
        checkpoint: String::new(),
    };
    apply(&mut pool.state, end);
    let second = pool.pass().remove(0);
    assert_eq!(second.attempt, 2);
    assert_ne!(second.worker, worker);
}

/// Workers that are leaving or were not heard lately get no tasks.
#[test]
fn workers_that_leave_or_are_silent_get_nothing() {
    let mut pool = Pool::new(2);
    apply(
        &mut pool.state,
        Change::Leave {
            worker: "i-0".into(),
        },
    );
    pool.accept(1, job(vec![step(4)]));
    let starts = pool.pass();
    assert_eq!(workers_of(&starts), ["i-1"]);
    let later = NOW_MS + 10_000;
    pool.accept(2, job(vec![step(4)]));
    let world = SchedulerInput {
        state: &pool.state,
        fleet: &pool.fleet,
        estimates: &Estimates::default(),
        policy: &Policy::default(),
    };
    pool.scheduler.refresh(UNIX_MS + 10_000, &world);
    let none = pool.scheduler.pass(later, &world, 400);
    assert!(none.is_empty());
}

#[test]
fn a_snapshot_holds_everything() {
    let mut pool = Pool::new(2);
    pool.accept(1, job(vec![step(4)]));
    for start in pool.pass() {
        let (task, attempt, worker) = (start.task, start.attempt, start.worker);
        apply(
            &mut pool.state,
            Change::Place {
                task,
                attempt,
                worker,
            },
        );
    }
    let again = State::decode(&pool.state.encode()).unwrap();
    assert_eq!(again, pool.state);
}

/// A gang prefers a single rack, because it is slower on several. If no rack is large enough
/// for it, waiting for one would last for ever although the pool has room.
#[test]
fn a_gang_that_no_rack_can_hold_starts_on_several() {
    let mut pool = Pool::new(6);
    let wide = Step {
        gang: true,
        rack_local: true,
        ..step(40)
    };
    pool.accept(1, job(vec![wide]));
    assert_eq!(pool.pass().len(), 40);
}

/// The rack would be large enough for the gang without the lasting tasks on it. Waiting for
/// their room would take as long as they last.
#[test]
fn a_gang_does_not_wait_for_room_that_lasting_tasks_hold() {
    let mut pool = Pool::new(4);
    let mut spec = lasting(4);
    spec.steps[0].demand.cpu_milli = 5_000;
    pool.accept(1, spec);
    let starts = pool.pass();
    assert_eq!(starts.len(), 4);
    for start in starts {
        pool.change(Change::Place {
            task: start.task,
            attempt: start.attempt,
            worker: start.worker,
        });
    }
    pool.restart_leader();
    let wide = Step {
        gang: true,
        rack_local: true,
        ..step(30)
    };
    pool.accept(2, job(vec![wide]));
    assert_eq!(pool.pass().len(), 30);
}

/// The rack with the most room has no worker with the label that a gang needs, but another
/// rack has. If racks were chosen by room alone, the gang would wait for as long as the
/// first rack is the freest.
#[test]
fn a_gang_goes_to_a_rack_whose_workers_have_its_label() {
    let mut pool = Pool::new(6);
    for port in [2, 3] {
        let mut report = pool
            .state
            .worker(&format!("i-{port}").as_str().into())
            .unwrap()
            .report
            .clone();
        report.labels.push("b".into());
        report.capacity.cpu_milli = 8_000;
        apply(&mut pool.state, Change::Report(Arc::new(report)));
    }
    let labelled = Step {
        gang: true,
        rack_local: true,
        label: Some("b".into()),
        ..step(10)
    };
    pool.accept(1, job(vec![labelled]));
    assert_eq!(pool.pass().len(), 10);
}
