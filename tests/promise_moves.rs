//! An instance belongs to one pool, whatever happens while it moves.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use rosemarygauge::proxy::LinkFaults;
use rosemarygauge::upstream::RunRecord;
use serde_json::{Value, json};
use support::{System, Upstreams, assert_clean, read_report, until};

const MIX: &[&str] = &[
    "--service",
    "check:urgent:1",
    "--service",
    "score:urgent:1",
    "--not-idempotent",
    "20",
    "--resend",
    "8",
    "--rate",
    "80",
];

/// Pools `p` and `q`; four instances w1 to w4 of pool `p` in one zone, whose
/// runs take 200 ms, so that a move finds some on its instance.
fn start(per_zone: usize, zone: impl Fn(&mut System) -> String) -> (System, Upstreams) {
    let mut system = System::start(per_zone);
    system.put_pool_for("p", "check", 1);
    system.put_pool_for("q", "score", 0);
    let zone = zone(&mut system);
    let entries = system.announce_to(&zone);
    let args = ["--count", "4", "--default-run-ms", "200", "--zone", &zone];
    let up = Upstreams::start(&[&args[..], &["--entries", &entries]].concat());
    system.await_upstreams(4);
    // Pool `q` is to have an instance before the load.
    start_move(&system, "w4");
    until(10_000, "w4 moves", || pool_of(&system, 0, "w4") == "q");
    (system, up)
}

fn start_move(system: &System, instance: &str) {
    system.change_fleet(json!({ "StartMove": { "instance": instance, "to": "q" } }));
}

fn explain(system: &System, entry: usize, instance: &str) -> Value {
    system.get(entry, &format!("explain/instance/{instance}"))
}

fn pool_of(system: &System, entry: usize, instance: &str) -> Value {
    explain(system, entry, instance)["instance"]["pool"].take()
}

fn runs_on(up: &Upstreams, instance: &str, pool: &str) -> Vec<RunRecord> {
    let mut runs = up.runs();
    runs.retain(|run| run.instance == instance && run.pool == pool);
    runs
}

/// Checks that all runs of the old pool had ended when the first of the new
/// pool started: the instance never ran work of both.
#[track_caller]
fn assert_one_pool_at_a_time(up: &Upstreams, instance: &str) {
    let (old, new) = (runs_on(up, instance, "p"), runs_on(up, instance, "q"));
    let moved_ms = new.iter().map(|run| run.started_ms).min().unwrap();
    assert!(!old.is_empty());
    for run in old {
        let ended_ms = run.ended_ms.unwrap_or(u64::MAX);
        assert!(ended_ms <= moved_ms, "runs beside the new pool: {run:?}");
    }
    for run in new {
        assert!(run.pool_epoch > 1, "{run:?}");
    }
}

fn finished_moves(system: &System, entry: usize, instance: &str) -> usize {
    let decisions = explain(system, entry, instance)["decisions"].to_string();
    decisions.matches("moved from p to q").count()
}

/// Moves w1 while entry instance z1-b, which sent it work, is silent: the move
/// waits and names z1-b, and ends when its permission to dispatch has run out.
/// Then z1-b is back, knowing the old pool only.
fn move_beside_a_silent_entry(silence: impl Fn(&mut System), heal: impl Fn(&mut System)) {
    let (mut system, up) = start(2, |_| "z1".to_owned());
    let leader = system.await_leader();
    let epoch = explain(&system, 0, "w1")["instance"]["epoch"].as_u64();
    let load = system.load_process(&[&up.control], &[MIX, &["--duration-ms", "13000"]].concat());
    until(5_000, "w1 runs requests", || {
        runs_on(&up, "w1", "p").len() > 10
    });
    silence(&mut system);
    start_move(&system, "w1");
    until(5_000, "the move names whom it waits for", || {
        let waits_for = explain(&system, leader, "w1")["waits_for"].to_string();
        assert_eq!(pool_of(&system, leader, "w1"), "p", "{waits_for}");
        waits_for.contains("z1-b")
    });
    until(12_000, "w1 is moved without z1-b", || {
        pool_of(&system, 0, "w1") == "q"
    });
    until(5_000, "it runs requests of the new pool", || {
        runs_on(&up, "w1", "q").len() > 10
    });
    heal(&mut system);
    until(5_000, "z1-b knows of the move", || {
        pool_of(&system, 1, "w1") == "q"
    });
    assert_clean(&read_report(&load.wait_with_output().unwrap()));
    assert_one_pool_at_a_time(&up, "w1");
    assert_eq!(finished_moves(&system, leader, "w1"), 1);
    let now = explain(&system, 0, "w1")["instance"]["epoch"].as_u64();
    assert_eq!(now, epoch.map(|epoch| epoch + 1));
}

// An entry instance of the moving instance's zone freezes with requests on it and
// wakes up after the move. It takes up where it stood: it still knows the old
// pool and has calls for it. By then its last report of the instance is older
// than the lease, and its epoch is void, so that the instance runs none of them.
#[test]
fn an_instance_moves_while_an_entry_is_frozen() {
    move_beside_a_silent_entry(
        |system| system.process(1).freeze(),
        |system| system.process(1).thaw(),
    );
}

// An entry instance is cut off from all others without a word. It goes on serving
// callers, hears the moving instance itself, and takes it for one of the old pool
// all the time: only what the instance says of itself keeps work of the old pool
// away from it.
#[test]
fn an_instance_moves_while_an_entry_is_silently_isolated() {
    move_beside_a_silent_entry(
        |system| system.cut_off(&[1], &LinkFaults::cut()),
        |system| system.cut_off(&[1], &LinkFaults::default()),
    );
}

// The leader is killed while a move waits for slow requests of the old pool. The
// next leader knows nothing of what the first one had seen, and the first one
// acknowledges nothing any more: permissions to dispatch run out while requests
// still run, also some whose entry instance is gone. The move must wait for these too, and finish once.
#[test]
fn a_move_ends_once_although_its_leader_is_killed() {
    let (mut system, up) = start(1, |system| {
        let leader = system.await_leader();
        system.entries[(leader + 1) % 3].zone.clone()
    });
    let leader = system.await_leader();
    let other = (leader + 1) % 3;
    let epoch = explain(&system, other, "w1")["instance"]["epoch"].as_u64();
    let load = system.load_process(
        &[&up.control],
        &[MIX, &["--duration-ms", "17000", "--deadline-ms", "16000"]].concat(),
    );
    up.set_faults(&["w1"], json!({ "slow_percent": 6000, "orphans": true }));
    until(5_000, "w1 runs slow requests", || {
        up.instance("w1")["running"].as_u64() > Some(1)
    });
    start_move(&system, "w1");
    up.set_faults(&["w1"], json!({ "orphans": true }));
    let duty = explain(&system, other, "w1")["instance"]["duty"].to_string();
    assert!(duty.contains("draining"), "{duty}");
    assert_ne!(up.instance("w1")["running"], 0, "too late for this test");
    system.kill(leader);
    until(20_000, "the move ends", || {
        pool_of(&system, other, "w1") == "q"
    });
    until(8_000, "it runs requests of the new pool", || {
        runs_on(&up, "w1", "q").len() > 10
    });
    assert_clean(&read_report(&load.wait_with_output().unwrap()));
    assert_one_pool_at_a_time(&up, "w1");
    assert_eq!(finished_moves(&system, other, "w1"), 1);
    let now = explain(&system, other, "w1")["instance"]["epoch"].as_u64();
    assert_eq!(now, epoch.map(|epoch| epoch + 1));
}
