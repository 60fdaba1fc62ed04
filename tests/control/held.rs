//! Which waiting steps are reported as held.

use crate::world::{World, job, step};

/// Port of the only worker of the pool.
const WORKER: u16 = 1_000;

/// Guards against a step that waits beside free workers without a trace.
#[test]
fn a_step_whose_start_is_not_answered_is_reported() {
    let mut world = World::without_moves(860, 1, 1);
    world.cut_worker(WORKER);
    world.submit(1, "quick", 1, job(vec![step(1)]));
    world.run_ms(6_000);
    assert!(world.counted("step-held") > 0, "nothing was reported");
    world.cut.clear();
    world.run_ms(20_000);
    let before = world.counted("step-held");
    world.run_ms(5_000);
    assert_eq!(world.counted("step-held"), before, "it is done");
}

/// Guards against reports of steps that wait for room, of which an overloaded pool has thousands.
#[test]
fn steps_that_wait_for_room_are_not_reported() {
    let mut world = World::without_moves(861, 1, 1);
    world.worker(WORKER).run_ms = 20_000;
    for id in 1..=20 {
        world.submit(1, "quick", id, job(vec![step(16)]));
    }
    world.run_ms(8_000);
    assert_eq!(world.counted("step-held"), 0);
}
