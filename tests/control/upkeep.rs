//! Maintenance waves beside work.

use rosemarygauge::control::{Answer, Call};

use crate::world::{World, job, lasting, step};

const EAST: [&str; 6] = ["m-1000", "m-1001", "m-1002", "m-1003", "m-1004", "m-1005"];

fn completed(world: &mut World) -> bool {
    let id = world.call(2, Call::LookAtWave { wave: 1 });
    world.run_ms(300);
    world.answers.get(&id) == Some(&Answer::Wave { completed: true })
}

#[test]
fn a_wave_is_done_in_time_and_within_its_limit() {
    let mut world = World::new(51, 8, 4);
    world.submit(1, "quick", 1, lasting(4));
    world.run_ms(2_000);
    world.start_wave(1, &EAST, 2);
    for id in 0..180 {
        world.submit(1, "quick", 100 + id, job(vec![step(4)]));
        world.run_ms(100);
    }
    assert!(completed(&mut world), "{:?}", world.upkeeps);
    assert_eq!(world.upkeeps.len(), 6);
    assert!(world.down_most <= 2, "{}", world.down_most);
}

/// A lasting step of three tasks may miss one. All its machines are due: its tasks go
/// one after the other, each only when the one before is at work again.
#[test]
fn a_wave_keeps_the_disruption_budget_of_lasting_steps() {
    let mut world = World::new(52, 5, 2);
    world.submit(1, "quick", 1, lasting(3));
    world.run_ms(2_000);
    world.start_wave(1, &EAST[..5], 5);
    let mut least = usize::MAX;
    for _ in 0..2_000 {
        world.run_ms(10);
        let at_work = world.workers.values().flat_map(|w| w.going.values());
        least = least.min(at_work.filter(|g| !g.stopping).count());
    }
    assert!(completed(&mut world), "{:?}", world.upkeeps);
    assert!(least >= 2, "{least} of 3 at work");
}

/// The leader dies right after it ordered upkeeps. The next one does not know their
/// answers: if it took those machines for up, it would take down more than allowed.
#[test]
fn a_new_leader_takes_down_no_more_than_the_wave_allows() {
    for seed in 530..540 {
        let mut world = World::new(seed, 8, 2);
        world.start_wave(1, &EAST, 2);
        let wait_ms = (seed - 530) * 7;
        world.until(5_000, |w| !w.upkeeps.is_empty());
        world.run_ms(wait_ms);
        let leader = world.leader().unwrap();
        world.kill(&leader);
        world.run_ms(2_500);
        world.restart(&leader);
        world.run_ms(18_000);
        assert!(
            world.down_most <= 2,
            "seed {seed}: {} down",
            world.down_most
        );
        assert!(completed(&mut world), "seed {seed}: {:?}", world.upkeeps);
    }
}

/// A machine of the wave is lost for good before its upkeep. The keeper's list does not
/// name it any more: the wave is done without it, and its operator is told so.
#[test]
fn a_machine_that_is_gone_for_good_does_not_hold_up_its_wave() {
    let mut world = World::new(54, 6, 2);
    world.workers.remove(&crate::world::address(1_003)).unwrap();
    world.start_wave(1, &EAST, 2);
    world.run_ms(24_000);
    assert_eq!(world.upkeeps.len(), 5, "{:?}", world.upkeeps);
    assert!(completed(&mut world));
}

/// A machine came after the keeper's list was read, and is away for a second as its wave
/// begins: the old list does not name it. Taken for gone, its wave would be said to be
/// done without its upkeep.
#[test]
fn a_machine_that_came_after_the_list_is_not_taken_for_gone() {
    let mut world = World::new(55, 6, 2);
    world.come_later(1_050, "east", 1_500);
    world.start_wave(1, &["m-1050"], 1);
    world.run_ms(15_000);
    assert!(completed(&mut world));
    assert!(world.upkeeps.iter().any(|(_, machine)| machine == "m-1050"));
}

/// A leader is cut off from everyone right after it ordered upkeeps, which the cut holds
/// up. Its successor orders the same machines; then the cut heals, and what the kernel of
/// the old leader still held arrives with the lower token. Where the keeper does not
/// check tokens it carries that out: two leaders take turns on one machine. So a leader
/// throws its open orders away when it steps down, which is before another can lead.
#[test]
fn orders_of_a_leader_that_stepped_down_never_arrive() {
    for seed in 560..600 {
        let mut world = World::new(seed, 8, 2);
        world.start_wave(1, &EAST, 6);
        assert!(world.until(2_000, |w| w.machine_orders() > 0));
        let leader = world.leader().unwrap();
        world.isolate(&leader);
        world.cut_keeper(&leader);
        let others = world.until(6_000, |w| !w.upkeeps.is_empty());
        world.cut.clear();
        world.run_ms(4_000);
        assert!(others, "seed {seed}: nobody ordered upkeeps");
        assert_eq!(world.upkeeps.len(), 6, "seed {seed}");
    }
}

/// Users of a lasting job miss one of its tasks for as long as the wave lasts, beside a free
/// pool. Two of its pool's three machines are emptied at once: what is stopped on them finds
/// no memory on the third, the rest of the step may not be stopped while that is away, and
/// the pool counts the machines that are emptied as its own and asks for no other.
#[test]
fn what_a_wave_stops_gets_a_place_when_its_pool_has_none_left() {
    let mut world = World::new(57, 3, 6);
    let mut spec = lasting(6);
    spec.steps[0].per_worker_max = None;
    spec.steps[0].demand.memory_mb = 30_000;
    world.submit(1, "quick", 1, spec);
    world.run_ms(2_000);
    let going = |world: &World| world.workers.values().map(|w| w.going.len()).sum::<usize>();
    assert_eq!(going(&world), 6, "two on each machine");
    world.start_wave(1, &EAST[..2], 2);
    let mut away_ms = 0;
    let mut longest_ms = 0;
    for _ in 0..400 {
        world.run_ms(50);
        away_ms = if going(&world) < 6 { away_ms + 50 } else { 0 };
        longest_ms = longest_ms.max(away_ms);
    }
    assert!(
        longest_ms < AWAY_MAX_MS,
        "a task was away for {longest_ms} ms"
    );
    assert!(completed(&mut world), "{:?}", world.upkeeps);
}

/// A lasting task that can have a place runs again within this time.
const AWAY_MAX_MS: u64 = 6_000;
