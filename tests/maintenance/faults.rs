//! One fault at a time, each with what it must come to.

use rosemarygauge::cmd::measure_waves::{Fate, MachineState, World, fleet};
use rosemarygauge::maintenance::{
    Cause, FleetCommand, FleetRefusal, Selection, WaveKind, WaveState,
};
use rosemarygauge::model::{Absence, DesiredState, FailureDomain, InstanceName, PoolName};

use super::worlds::{MINUTE_MS, audit, kill_rack, wave};

fn world(survive: FailureDomain) -> World {
    let mut world = World::new(fleet(50, 5, survive), 1);
    world.draw(30, |_| (MINUTE_MS, 4 * MINUTE_MS));
    world.audit = audit;
    world.run_until(5_000, |_| false);
    world
}

fn member(world: &World, pool: &str, nth: usize) -> InstanceName {
    let tally = world.fleet.tally(&pool.into()).unwrap();
    tally.members().iter().nth(nth).unwrap().clone()
}

fn duty<'a>(world: &'a World, name: &InstanceName) -> &'a DesiredState {
    &world.fleet.instances()[name].duty
}

fn is_aside(world: &World, name: &InstanceName) -> bool {
    matches!(
        duty(world, name),
        DesiredState::Away {
            absence: Absence::SetAside { .. }
        }
    )
}

fn state(world: &World) -> &WaveState {
    &world.fleet.waves()["roll"].state
}

fn start(world: &mut World, selection: Selection) {
    world
        .apply(&wave("roll", WaveKind::Reboot, selection))
        .unwrap();
}

/// A rack's switch dies while a wave has two instances of each pool out. Four
/// pools fall below their budgets, which no step of ours may do. The wave
/// pauses and names the pool and its numbers; the rack is restarted unasked;
/// the wave goes on by itself and reaches every instance.
#[test]
fn rack_lost_mid_wave() {
    let mut world = world(FailureDomain::Instance);
    start(&mut world, Selection::All);
    world.run_until(10 * MINUTE_MS, |_| false);
    kill_rack(&mut world, &"worker-00040".into());
    assert!(world.run_until(MINUTE_MS, |w| matches!(state(w), WaveState::Paused { .. })));
    let WaveState::Paused { why, .. } = state(&world) else {
        unreachable!()
    };
    assert!(
        why.contains("failed") && why.contains("breaks its need of"),
        "{why}"
    );
    assert!(world.run_until(30 * MINUTE_MS, |w| *state(w) == WaveState::Running));
    assert!(world.run_until(120 * MINUTE_MS, |w| *state(w) == WaveState::Done));
    let wave = &world.fleet.waves()["roll"];
    assert_eq!((wave.done, wave.left_out.len()), (50, 0));
    let notes: Vec<String> = wave.trail.iter().map(|note| note.text.clone()).collect();
    assert!(
        notes.iter().any(|note| note.starts_with("paused: pool")),
        "{notes:?}"
    );
}

/// One rebooted instance never comes back. Its pool would lose that slot of the
/// wave for ever. After eight times its time it is set aside with the reason,
/// and the wave ends without it.
#[test]
fn instance_that_never_returns() {
    let mut world = world(FailureDomain::Instance);
    let lost = member(&world, "pool-02", 0);
    world.machines.get_mut(&lost).unwrap().fate = Fate::Never;
    start(&mut world, Selection::Pool("pool-02".into()));
    assert!(world.run_until(180 * MINUTE_MS, |w| *state(w) == WaveState::Done));
    assert!(is_aside(&world, &lost));
    let why = &world.fleet.waves()["roll"].left_out[&lost];
    assert!(why.starts_with("it did not return within"), "{why}");
    let notes = world.fleet.explain_instance(&lost).unwrap();
    assert!(
        notes.iter().any(|note| note.text.contains("set aside")),
        "{notes:?}"
    );
}

/// A rebooted instance answers, takes requests and fails them all. The callers'
/// dispatchers notice; it counts as failed; repair restarts it three times; then
/// it is set aside, or it would take its share of requests each time for ever.
#[test]
fn instance_that_comes_back_sick() {
    let mut world = world(FailureDomain::Instance);
    let sick = member(&world, "pool-02", 0);
    world.machines.get_mut(&sick).unwrap().fate = Fate::Sick;
    start(&mut world, Selection::Pool("pool-02".into()));
    assert!(world.run_until(180 * MINUTE_MS, |w| is_aside(w, &sick)));
    assert_eq!(world.fleet.record(&sick).unwrap().repairs_unix_ms.len(), 3);
    assert_eq!(world.machines[&sick].cut_off, 0, "what ran was cut off");
    assert!(world.run_until(180 * MINUTE_MS, |w| *state(w) == WaveState::Done));
    // Mended by hand and restored, it is a new instance to repair.
    world.machines.get_mut(&sick).unwrap().fate = Fate::Returns;
    let instance = sick.clone();
    world.apply(&FleetCommand::Restore { instance }).unwrap();
    assert!(world.run_until(10 * MINUTE_MS, |w| !w.fleet.is_failed(&sick)));
    world.kill(&sick);
    assert!(world.run_until(MINUTE_MS, |w| w.fleet.is_failed(&sick)));
    assert!(world.run_until(30 * MINUTE_MS, |w| !w.fleet.is_failed(&sick)));
    assert_eq!(*duty(&world, &sick), DesiredState::Serving);
}

/// An instance dies between its drain and its change of pool. The move is
/// undone: it is failed in its old pool, whose budget counts it, and repair
/// brings it back there.
#[test]
fn instance_dies_mid_move() {
    let mut world = world(FailureDomain::Instance);
    let name = member(&world, "pool-01", 0);
    let (instance, to) = (name.clone(), "pool-03".into());
    world
        .apply(&FleetCommand::StartMove { instance, to })
        .unwrap();
    world.run_until(10_000, |_| false);
    world.kill(&name);
    assert!(world.run_until(MINUTE_MS, |w| *duty(w, &name) == DesiredState::Serving));
    assert_eq!(
        world.fleet.instances()[&name].pool,
        PoolName::from("pool-01")
    );
    let used = world.fleet.budget_use(&"pool-01".into()).unwrap();
    assert_eq!(used.absent[&Cause::Failed], 1);
    assert!(world.run_until(30 * MINUTE_MS, |w| !w.fleet.is_failed(&name)));
}

/// An entry instance is cut off before a move starts. It may go on sending the
/// old pool's requests, so the instance may not serve the new one. While the
/// upstream still says that it serves, the move is frozen and names the entry.
/// Once the upstream has drained, its permissions run out and the move ends.
#[test]
fn silent_entry_during_a_move() {
    let mut world = world(FailureDomain::Instance);
    let name = member(&world, "pool-01", 0);
    world.silent.insert("entry-b".into());
    // Its work takes eleven minutes to end.
    world.machines.get_mut(&name).unwrap().drain_ms = 11 * MINUTE_MS;
    let (instance, to) = (name.clone(), "pool-03".into());
    world
        .apply(&FleetCommand::StartMove { instance, to })
        .unwrap();
    let moved = |w: &World| w.fleet.instances()[&name].pool == PoolName::from("pool-03");
    assert!(!world.run_until(10 * MINUTE_MS, moved));
    assert_eq!(world.waits_for(&name).unwrap(), "1 requests run on it");
    assert!(world.run_until(2 * MINUTE_MS, moved));
    assert_eq!(world.fleet.instances()[&name].epoch, 2);

    // A second one has nothing running and says nothing more of its drain: only
    // the acknowledgement is missing, and it stays where it is.
    let name = member(&world, "pool-02", 0);
    let (instance, to) = (name.clone(), "pool-03".into());
    world.machines.get_mut(&name).unwrap().drain_ms = 0;
    world
        .apply(&FleetCommand::StartMove { instance, to })
        .unwrap();
    world.run_until(4_000, |_| false);
    assert_eq!(
        world.waits_for(&name).unwrap(),
        "entry instance entry-b has not acknowledged the drain"
    );
    let moved = |w: &World| w.fleet.instances()[&name].pool == PoolName::from("pool-03");
    assert!(!moved(&world));
    assert!(world.run_until(30_000, moved));
}

/// An instance is repaired, and a second of its pool is lost while the first is
/// just back. Both losses are counted, nothing voluntary starts in between, and
/// both are whole again without an operator.
#[test]
fn second_instance_lost_right_after_a_repair() {
    let mut world = world(FailureDomain::Instance);
    let (first, second) = (member(&world, "pool-04", 11), member(&world, "pool-04", 10));
    start(&mut world, Selection::Pool("pool-04".into()));
    world.kill(&first);
    let repaired = |w: &World| {
        let record = w.fleet.record(&first).unwrap();
        !record.repairs_unix_ms.is_empty() && *duty(w, &first) == DesiredState::Serving
    };
    assert!(world.run_until(30 * MINUTE_MS, repaired));
    world.kill(&second);
    assert!(world.run_until(MINUTE_MS, |w| w.fleet.is_failed(&second)));
    assert!(world.run_until(120 * MINUTE_MS, |w| *state(w) == WaveState::Done));
    assert!(world.fleet.failed().is_empty() && world.fleet.broken().is_empty());
}

/// A zone is cut off from the leader. Its instances are silent here but serve
/// their own zone's callers. Rebooting them would stop what the cut had left
/// standing; they are left alone until most of the zone is back.
#[test]
fn zone_cut_off_is_not_repaired() {
    let mut world = world(FailureDomain::Instance);
    let zone: Vec<InstanceName> = world
        .fleet
        .instances()
        .values()
        .filter(|i| i.zone.as_str() == "zone-1")
        .map(|i| i.name.clone())
        .collect();
    for name in &zone {
        world.kill(name);
    }
    world.run_until(60 * MINUTE_MS, |_| false);
    assert_eq!(world.fleet.failed().len(), zone.len());
    let repairs = |name: &InstanceName| world.fleet.record(name).unwrap().repairs_unix_ms.len();
    assert_eq!(zone.iter().map(repairs).sum::<usize>(), 0);
}

/// Some instances of a zone are set aside; later a few more are lost. Together
/// they are more than half of the zone, but it is not cut off: what was set aside
/// long ago says nothing of it. The lost ones are repaired, four at a time.
#[test]
fn instances_set_aside_do_not_make_a_zone_look_cut_off() {
    let mut world = world(FailureDomain::Instance);
    let of_zone = world
        .fleet
        .instances()
        .values()
        .filter(|i| i.zone.as_str() == "zone-1");
    let zone: Vec<InstanceName> = of_zone.map(|i| i.name.clone()).collect();
    for name in &zone[..6] {
        let (instance, failed) = (name.clone(), true);
        world
            .apply(&FleetCommand::Health { instance, failed })
            .unwrap();
        let (instance, reason) = (name.clone(), "old".to_owned());
        world
            .apply(&FleetCommand::SetAside { instance, reason })
            .unwrap();
    }
    // Five here and two elsewhere.
    let lost = zone[6..11]
        .iter()
        .cloned()
        .chain(["worker-00000".into(), "worker-00001".into()]);
    let lost: Vec<InstanceName> = lost.collect();
    for name in &lost {
        world.kill(name);
    }
    let absence = Absence::Repair;
    let repair = DesiredState::Away { absence };
    let running = |w: &World| {
        w.fleet
            .instances()
            .values()
            .filter(|i| i.duty == repair)
            .count()
    };
    let mut most = 0;
    for _ in 0..30 * 60 {
        world.step();
        most = most.max(running(&world));
    }
    assert_eq!(most, 4);
    assert!(lost.iter().all(|name| !world.fleet.is_failed(name)));
}

/// A pool loses instances for good and stays below its budget; its wave would
/// stay paused for ever. It borrows from the pool with the most to spare.
#[test]
fn pool_that_repair_cannot_mend_borrows() {
    let mut world = world(FailureDomain::Instance);
    for nth in 0..3 {
        let name = member(&world, "pool-00", nth);
        world.machines.get_mut(&name).unwrap().fate = Fate::Never;
        world.kill(&name);
    }
    start(&mut world, Selection::Pool("pool-00".into()));
    assert!(world.run_until(MINUTE_MS, |w| matches!(state(w), WaveState::Paused { .. })));
    assert!(world.run_until(180 * MINUTE_MS, |w| *state(w) == WaveState::Done));
    assert!(world.fleet.broken().is_empty());
    assert!(!world.fleet.loans().is_empty());
    // Mended by hand and restored, the pool gives back what it borrowed.
    for instance in world.fleet.absent().clone() {
        world.machines.get_mut(&instance).unwrap().state = MachineState::Serving;
        world.apply(&FleetCommand::Restore { instance }).unwrap();
    }
    assert!(world.run_until(30 * MINUTE_MS, |w| w.fleet.loans().is_empty()));
    let members = world.fleet.budget_use(&"pool-00".into()).unwrap().members;
    assert_eq!(members, 8);
}

/// An operator's order comes twice, and a late one after the instance has gone
/// on: each is refused with what the instance is doing, and changes nothing.
#[test]
fn late_and_repeated_commands_are_void() {
    let mut world = world(FailureDomain::Instance);
    // The log takes what an operator types, proved or not.
    world.audit = |_, _| {};
    let name = member(&world, "pool-01", 0);
    let (instance, to) = (name.clone(), PoolName::from("pool-03"));
    let finish = |epoch| FleetCommand::FinishMove {
        instance: name.clone(),
        epoch,
    };
    let moving = FleetCommand::StartMove { instance, to };
    world.apply(&moving).unwrap();
    assert!(matches!(
        world.apply(&moving),
        Err(FleetRefusal::WrongDuty { .. })
    ));
    assert!(matches!(
        world.apply(&finish(9)),
        Err(FleetRefusal::Epoch { .. })
    ));
    world.apply(&finish(1)).unwrap();
    assert!(matches!(
        world.apply(&finish(1)),
        Err(FleetRefusal::WrongDuty { .. })
    ));
    assert!(matches!(
        world.apply(&moving),
        Err(FleetRefusal::SamePool { .. })
    ));
    let (instance, failed, incarnation) = (name.clone(), true, 4);
    let lost = FleetCommand::Health { instance, failed };
    world.apply(&lost).unwrap();
    let instance = name.clone();
    let repair = FleetCommand::RepairStart {
        instance,
        incarnation,
    };
    world.apply(&repair).unwrap();
    let instance = name.clone();
    let back = FleetCommand::Return {
        instance,
        incarnation,
    };
    assert!(matches!(
        world.apply(&back),
        Err(FleetRefusal::NotRestarted { .. })
    ));
}

/// A loose cable: an instance is silent for ten seconds and heard for ten, for
/// two hours. Undamped, each turn would be two entries in the log and would take
/// its pool's budget up and down. It counts as failed nearly all the time.
#[test]
fn flapping_instance_does_not_flood_the_log() {
    let mut world = world(FailureDomain::Instance);
    let name = member(&world, "pool-00", 0);
    let before = world.counts.accepted;
    for _ in 0..360 {
        world.muted.insert(name.clone());
        world.run_until(10_000, |_| false);
        world.muted.remove(&name);
        world.run_until(10_000, |_| false);
    }
    let accepted = world.counts.accepted - before;
    assert!(accepted < 24, "{accepted} entries");
}

/// An upstream says that it leaves for good, in the middle of a wave. It gets
/// nothing new at once, is counted as absent, and is forgotten when nothing runs
/// on it any more; the wave goes on without it.
#[test]
fn upstream_that_leaves() {
    let mut world = world(FailureDomain::Instance);
    let name = member(&world, "pool-00", 7);
    start(&mut world, Selection::Pool("pool-00".into()));
    world.machines.get_mut(&name).unwrap().state = MachineState::Leaving {
        until_ms: world.now_ms + MINUTE_MS,
    };
    assert!(world.run_until(3_000, |w| w.fleet.is_failed(&name)));
    assert!(!world.run_until(MINUTE_MS / 2, |w| !w.fleet.instances().contains_key(&name)));
    assert!(world.run_until(MINUTE_MS, |w| !w.fleet.instances().contains_key(&name)));
    assert!(world.run_until(60 * MINUTE_MS, |w| *state(w) == WaveState::Done));
    assert_eq!(
        world.fleet.waves()["roll"].left_out[&name],
        "it left for good"
    );
}

/// Work on an instance never ends, so its drain does not. The wave puts it off,
/// lets the others have their turn, and in the end leaves it out and says why;
/// it was never stopped with work on it.
#[test]
fn drain_that_never_ends() {
    let mut world = world(FailureDomain::Instance);
    let name = member(&world, "pool-00", 0);
    world.machines.get_mut(&name).unwrap().drain_ms = u64::MAX / 2;
    start(&mut world, Selection::Pool("pool-00".into()));
    assert!(world.run_until(180 * MINUTE_MS, |w| *state(w) == WaveState::Done));
    let why = &world.fleet.waves()["roll"].left_out[&name];
    assert_eq!(why, "put off 3 times: 1 requests run on it");
    assert_eq!(*duty(&world, &name), DesiredState::Serving);
}

/// The leader's wall clock jumps a day ahead while instances reboot. By the times
/// in the log they are a day late; by its own watch they are not. None is set
/// aside, and what the wave learns of visits stays usable.
#[test]
fn wall_clock_of_the_leader_jumps() {
    let mut world = world(FailureDomain::Instance);
    start(&mut world, Selection::Pool("pool-00".into()));
    world.run_until(3 * MINUTE_MS, |_| false);
    world.clock_error_ms = 24 * 60 * MINUTE_MS;
    assert!(world.run_until(60 * MINUTE_MS, |w| *state(w) == WaveState::Done));
    let wave = &world.fleet.waves()["roll"];
    assert_eq!((wave.done, wave.left_out.len()), (8, 0));
    assert!(wave.visit_ms() < 60 * MINUTE_MS, "{}", wave.visit_ms());
}
