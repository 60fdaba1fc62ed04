//! A request that may run once runs at most once, and its key is answered alike
//! by every entry instance, whatever is killed, lost or started again.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;

use serde_json::Value;
use support::{System, Upstreams, assert_clean, read_report, until};

const ONCE: &[&str] = &[
    "--service",
    "check",
    "--not-idempotent",
    "100",
    "--rate",
    "80",
    "--label",
    "once",
];

fn start() -> (System, Upstreams) {
    let system = System::start(1);
    system.put_pool(1);
    let up = Upstreams::start(&["--count", "4", "--entries", &system.announce_to("z1")]);
    system.await_upstreams(4);
    (system, up)
}

fn load(system: &System, up: &Upstreams, more: &[&str]) -> Value {
    let args = [ONCE, &["--duration-ms", "2000"], more].concat();
    let report = system.load(&[&up.control], &args);
    assert_clean(&report);
    report
}

/// Starts by key.
fn starts(up: &Upstreams) -> BTreeMap<String, u32> {
    let mut starts = BTreeMap::new();
    for run in up.runs() {
        *starts.entry(run.body_sha256).or_default() += 1;
    }
    starts
}

// Each key is sent twice at the same moment through two entry instances. One of
// them claims it and runs it; the other must wait for that answer, or both run.
#[test]
fn the_same_key_at_two_entries_at_once() {
    let (system, up) = start();
    let report = load(&system, &up, &["--twins", "100"]);
    assert_eq!(
        report["account"]["runs"], report["account"]["sent"],
        "{report:#}"
    );
}

// All entry instances are stopped, one's disk is lost, and all are started again.
// Callers who lost their answers send the same keys once more: each must get the
// stored answer, or `unknown`, and nothing may run a second time.
#[test]
fn keys_outlive_a_restart_of_everything_and_a_lost_disk() {
    let (mut system, up) = start();
    load(&system, &up, &[]);
    let before = starts(&up);
    for i in 0..3 {
        system.kill(i);
    }
    system.lose_disk(1);
    for i in 0..3 {
        system.restart(i);
    }
    system.await_leader();
    system.await_ready();
    system.await_upstreams(4);
    let again = load(&system, &up, &[]);
    assert_eq!(starts(&up), before);
    assert_eq!(
        again["account"]["done"], again["account"]["sent"],
        "{again:#}"
    );
}

// The leader is killed under load. Calls through it break off and are sent again
// under their keys to the others; claims wait for the next leader. A claim that
// only the dead one knew of must not let its request run again.
#[test]
fn calls_are_sent_again_when_the_leader_is_killed() {
    let (mut system, up) = start();
    let args = [ONCE, &["--duration-ms", "4000", "--resend", "8"]].concat();
    let load = system.load_process(&[&up.control], &args);
    until(5_000, "it is under load", || up.runs().len() > 50);
    let leader = system.await_leader();
    system.kill(leader);
    until(10_000, "there is another leader", || {
        system.leader().is_some()
    });
    system.restart(leader);
    let report = read_report(&load.wait_with_output().unwrap());
    assert_clean(&report);
}
