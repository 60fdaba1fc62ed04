//! Workers on which no start takes effect, beside free workers.

use rosemarygauge::control::Rejection;
use rosemarygauge::jobs::JobState;

use crate::world::{World, address, job, step};

/// Guards against tasks that are placed again and again on the one worker that answers no start:
/// it keeps the room of the first candidate, and a start without an answer cost it nothing.
#[test]
fn tasks_leave_a_worker_that_answers_everything_but_starts() {
    for mut world in World::both(901, 3, 3) {
        world.startless.insert(address(1_000));
        world.submit(1, "quick", 1, job(vec![step(4)]));
        world.submit(1, "quick", 2, job(vec![step(3)]));
        let began = world.until(10_000, |w| w.runs.len() == 7);
        let again = world.counted("start-sent-again");
        assert!(
            began,
            "{} of 7 tasks began, {again} starts sent again",
            world.runs.len()
        );
    }
}

/// Guards against tasks that are placed again and again on the one worker that rejects every
/// start, for whatever reason.
#[test]
fn tasks_leave_a_worker_that_rejects_every_start() {
    let reasons = [
        Rejection::Room,
        Rejection::Unhealthy,
        Rejection::Late,
        Rejection::Old,
        Rejection::Malformed,
    ];
    for reason in reasons {
        let mut world = World::without_moves(902, 3, 0);
        world.worker(1_000).rejects = Some(reason);
        world.submit(1, "quick", 1, job(vec![step(4)]));
        let began = world.until(5_000, |w| w.runs.len() == 4);
        let rejected = world.counted(&format!("start-rejected-{reason}"));
        let runs = world.runs.len();
        assert!(
            began,
            "{reason}: {runs} of 4 tasks began, {rejected} rejections"
        );
    }
}

/// Guards against the same for a minute, in which other jobs come.
#[test]
fn a_worker_that_answers_no_start_holds_up_no_job_for_long() {
    let mut world = World::without_moves(903, 3, 0);
    world.startless.insert(address(1_000));
    world.submit(1, "quick", 1, job(vec![step(4)]));
    world.submit(1, "quick", 2, job(vec![step(3)]));
    for id in 3..58 {
        world.run_ms(1_000);
        world.submit(1, "quick", id, job(vec![step(12)]));
    }
    world.run_ms(14_000);
    let held: Vec<u64> = (1..58)
        .filter(|id| world.look(1, "quick", *id) != Some(JobState::Completed))
        .collect();
    assert!(held.is_empty(), "not completed: {held:?}");
}
