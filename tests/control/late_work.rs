//! Machines for work that can no longer be on time.

use crate::world::{World, job, step};

/// Run time of a task.
const RUN_MS: u64 = 1_500;
/// Time for which hardly any machine can move: longer than the time within which late work is to end.
const HELD_MS: u64 = 15_000;
/// Time in which there is a leader and machines arrive in their new pool.
const MOVE_MS: u64 = 6_000;
/// Machines that a pool without work keeps.
const KEPT: usize = 3;

/// Guards against late jobs that wait beside idle machines of other pools: what a pool needed for
/// them was computed from the work that remained, over a time that began anew with every look.
#[test]
fn idle_machines_serve_late_work() {
    let mut world = World::with_held_up_moves(872, 3, 17);
    for worker in world.workers.values_mut() {
        worker.run_ms = RUN_MS;
    }
    for id in 1..=400 {
        world.submit(1, "quick", id, job(vec![step(16)]));
    }
    world.run_ms(HELD_MS);
    world.accept_machine_orders();
    let east = |world: &World| world.workers.values().filter(|w| w.pool == "east").count();
    assert!(
        world.until(MOVE_MS, |w| east(w) == 20 - KEPT),
        "{} of 20 machines serve the late jobs",
        east(&world)
    );
}
