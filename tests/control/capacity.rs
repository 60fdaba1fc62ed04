//! Moves of machines between pools.

use crate::world::{World, job, lasting, step};

/// Demand alternates: one pool gets several times the work that its machines can do while
/// the other has none. Machines must move over, and back when the demand changes.
#[test]
fn machines_follow_demand_from_pool_to_pool() {
    let mut world = World::new(41, 8, 8);
    let mut id = 0;
    for _ in 0..60 {
        id += 1;
        world.submit(1, "quick", id, job(vec![step(48)]));
        world.run_ms(50);
    }
    let to_east = world
        .moves
        .iter()
        .filter(|(_, _, pool)| pool == "east")
        .count();
    assert!(to_east >= 5, "{:?}", world.moves);
    world.run_ms(5_000);
    let before = world.moves.len();
    for _ in 0..60 {
        id += 1;
        world.submit(1, "long", id, job(vec![step(48)]));
        world.run_ms(50);
    }
    let to_west = world.moves[before..]
        .iter()
        .filter(|(_, _, pool)| pool == "west")
        .count();
    assert!(to_west >= 5, "{:?}", world.moves);
}

/// Steady, light load must not move machines: each move costs a machine a second and a half.
#[test]
fn steady_light_load_moves_no_machine() {
    let mut world = World::new(42, 6, 6);
    let before = world.moves.len();
    for id in 0..80 {
        world.submit(1, "quick", 1_000 + id, job(vec![step(4)]));
        world.submit(1, "long", 2_000 + id, job(vec![step(4)]));
        world.run_ms(100);
    }
    assert_eq!(world.moves.len(), before, "{:?}", world.moves);
}

/// A machine with a lasting task must stay, because a move would end the task.
#[test]
fn machines_with_lasting_tasks_stay() {
    let mut world = World::new(43, 6, 6);
    world.submit(1, "long", 1, lasting(5));
    world.run_ms(1_500);
    let lasting_machines: Vec<String> = world
        .workers
        .values()
        .filter(|w| w.pool == "west" && !w.going.is_empty())
        .map(|w| w.machine.clone())
        .collect();
    assert_eq!(lasting_machines.len(), 5);
    for id in 0..60 {
        world.submit(1, "quick", 100 + id, job(vec![step(16)]));
        world.run_ms(50);
    }
    assert!(
        world
            .moves
            .iter()
            .all(|(_, machine, _)| !lasting_machines.contains(machine))
    );
}

/// Guards against orders that wait: a leader that ordered thousands of machines off at once could
/// fetch none back for seconds, and the platform refused what was beyond its rate.
#[test]
fn no_more_machines_are_ordered_than_the_platform_takes() {
    let orders_per_s = 10;
    let mut world = World::with_slow_keeper(44, 30, 30, f64::from(orders_per_s));
    world.run_ms(3_000);
    let off = |w: &World| {
        w.moves
            .iter()
            .filter(|(_, _, pool)| pool == "spare")
            .count()
    };
    assert!(off(&world) > 5, "{:?}", world.moves);
    for id in 0..80 {
        world.submit(1, "quick", id, job(vec![step(32)]));
        world.run_ms(50);
    }
    for (at_ms, ..) in &world.moves {
        let window = *at_ms..*at_ms + 1_000;
        let ordered = world.moves.iter().filter(|(at, ..)| window.contains(at));
        assert!(
            ordered.count() <= orders_per_s as usize,
            "{:?}",
            world.moves
        );
    }
    let began_ms = world.now_ms - 80 * 50;
    let needless = world.moves.iter().filter(|(at_ms, machine, pool)| {
        *at_ms > began_ms + 1_000 && pool == "spare" && machine.starts_with("m-1")
    });
    assert_eq!(needless.count(), 0, "{:?}", world.moves);
}
