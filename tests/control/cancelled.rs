//! Jobs that are cancelled while the call that submits them is on its way.

use std::sync::Arc;

use rosemarygauge::control::{Answer, Call, CancelledIds, Change, Refusal, State};
use rosemarygauge::jobs::{JobId, JobState};

use crate::pool::apply;
use crate::world::{World, configuration, job, name, step};

const NOT_KNOWN: Answer = Answer::Refused(Refusal::NotKnown);
const TAKEN: Answer = Answer::Refused(Refusal::TakenId);

/// Returns the answer to a call, once there is one.
fn answer_to(world: &mut World, call: u64) -> Answer {
    assert!(world.until(3_000, |w| w.answers.contains_key(&call)));
    world.answers[&call].clone()
}

/// Guards against a job that runs after its cancelling was acknowledged: the call that submits it
/// stood still in a process meanwhile. It holds after a change of leader and after a restart of
/// all instances from their disks, and the id is refused until it is forgotten.
#[test]
fn a_job_that_was_cancelled_before_it_arrived_never_runs() {
    for mut world in World::both(70, 3, 3) {
        for id in 1..=3 {
            let cancel = world.cancel(1, "quick", id);
            assert_eq!(answer_to(&mut world, cancel), NOT_KNOWN);
        }
        let late = world.submit(2, "quick", 1, job(vec![step(2)]));
        assert_eq!(answer_to(&mut world, late), TAKEN);
        let leader = world.leader().unwrap();
        world.kill(&leader);
        assert!(world.until(5_000, |w| w.leader().is_some()));
        let at = (1..=3).find(|at| name(*at) != leader).unwrap();
        let late = world.submit(at, "quick", 2, job(vec![step(2)]));
        assert_eq!(answer_to(&mut world, late), TAKEN);
        (1..=3).map(name).for_each(|at| world.kill(&at));
        (1..=3).map(name).for_each(|at| world.restart(&at));
        assert!(world.until(5_000, |w| w.leader().is_some()));
        let late = world.submit(3, "quick", 3, job(vec![step(2)]));
        assert_eq!(answer_to(&mut world, late), TAKEN);
        assert!(world.runs.is_empty(), "{:?}", world.runs);
        assert!(world.counted("job-cancelled-before") >= 3);
        // Twice the time for which jobs are remembered.
        world.run_ms(270_000);
        let again = world.submit(1, "quick", 1, job(vec![step(2)]));
        assert_eq!(answer_to(&mut world, again), Answer::Done);
    }
}

/// Guards against a cancellation that is answered while the job is on its way through the log,
/// and has no effect on it.
#[test]
fn a_job_that_is_cancelled_on_its_way_through_the_log_never_starts() {
    for wait_ms in [0, 5, 20, 60, 150] {
        let mut world = World::new(71, 3, 3);
        world.sync_ms = 80;
        world.submit(1, "quick", 1, job(vec![step(2)]));
        world.run_ms(wait_ms);
        let cancel = world.cancel(1, "quick", 1);
        let answer = answer_to(&mut world, cancel);
        world.run_ms(3_000);
        let state = world.look(2, "quick", 1);
        let is_over = match answer {
            Answer::Done => state == Some(JobState::Cancelled),
            answer => answer == NOT_KNOWN && state.is_none() && world.runs.is_empty(),
        };
        assert!(is_over, "{wait_ms} ms: {state:?}");
    }
}

/// Guards against a job that is accepted after its cancelling because it waited for a
/// configuration meanwhile.
#[test]
fn a_job_that_is_cancelled_while_a_configuration_holds_it_up_never_starts() {
    let mut world = World::new(72, 3, 3);
    world.sync_ms = 80;
    world.call(1, Call::Configure(Arc::new(configuration(2))));
    world.run_ms(10);
    let held = world.submit(1, "quick", 1, job(vec![step(2)]));
    world.run_ms(10);
    let cancel = world.cancel(1, "quick", 1);
    let cancelled = answer_to(&mut world, cancel);
    let submitted = answer_to(&mut world, held);
    world.run_ms(3_000);
    assert!(world.runs.is_empty(), "{submitted:?}, {cancelled:?}");
    assert_ne!(submitted, Answer::Done);
    assert_ne!(world.look(2, "quick", 1), Some(JobState::Completed));
}

/// Guards against a job that is accepted after its cancelling because the message that carries it
/// to the leader was late.
#[test]
fn a_job_whose_submission_is_late_between_instances_never_starts() {
    for seed in 75..79 {
        let mut world = World::new(seed, 3, 3);
        let leader = world.leader().unwrap();
        let followers = world.followers();
        let (late, other) = (followers[0], followers[1]);
        world.hold(&name(late), &leader, true);
        world.submit(late, "quick", 1, job(vec![step(2)]));
        world.run_ms(200);
        let cancel = world.cancel(other, "quick", 1);
        assert_eq!(answer_to(&mut world, cancel), NOT_KNOWN);
        if seed % 2 == 1 {
            world.kill(&leader);
            world.run_ms(3_000);
            world.restart(&leader);
        }
        world.hold(&name(late), &leader, false);
        world.run_ms(6_000);
        assert!(world.runs.is_empty(), "{seed}: {:?}", world.runs);
        assert_eq!(world.look(other, "quick", 1), None);
    }
}

/// Guards against callers who cancel unknown jobs without end and use up the memory. What is kept
/// is bounded, a cancellation beyond is refused and not acknowledged, and those of accepted jobs
/// are served.
#[test]
fn the_ids_that_are_kept_are_bounded() {
    let mut world = World::new(73, 3, 3);
    const BATCH: u64 = 4_096;
    let most = CancelledIds::MAX as u64;
    let leader = world.leader().unwrap();
    for batch in 0..4 * most / BATCH {
        if world.state(&leader).cancelled_ids().len() == CancelledIds::MAX {
            break;
        }
        for id in batch * BATCH..(batch + 1) * BATCH {
            world.cancel(1, "quick", 1_000 + id);
        }
        world.run_ms(1_000);
    }
    let beyond = world.cancel(1, "quick", 999);
    let answer = answer_to(&mut world, beyond);
    assert!(
        matches!(answer, Answer::Refused(Refusal::Busy { .. })),
        "{answer:?}"
    );
    assert!(world.counted("cancel-without-memory") > 0);
    assert_eq!(
        world.state(&leader).cancelled_ids().len(),
        CancelledIds::MAX
    );
    for worker in world.workers.values_mut() {
        worker.run_ms = 5_000;
    }
    world.submit(1, "quick", 1, job(vec![step(2)]));
    world.run_ms(600);
    let cancel = world.cancel(1, "quick", 1);
    assert_eq!(answer_to(&mut world, cancel), Answer::Done);
}

/// Guards against ids that are lost with a snapshot, also beside workspaces, and against their
/// number in snapshots that hold none: those are read by earlier builds.
#[test]
fn cancelled_ids_outlive_a_snapshot() {
    let mut state = State::default();
    apply(&mut state, Change::Configure(Arc::new(configuration(1))));
    let without = state.encode();
    assert_eq!(without, rosemarygauge::codec::encode(&state));
    let cancelled = JobId::from(7);
    apply(&mut state, Change::Cancel { job: cancelled });
    let read = State::decode(&state.encode()).unwrap();
    assert!(read.cancelled_ids().contains(cancelled));
    assert_eq!(read, state);
    apply(
        &mut state,
        Change::Forget {
            before_unix_ms: u64::MAX,
        },
    );
    assert_eq!(state.encode(), without);
}
