//! A patient job that was accepted finishes exactly once.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use support::{System, Upstreams, assert_clean, controls, read_report, until};

const JOBS: &[&str] = &[
    "--service",
    "archive:patient:1",
    "--not-idempotent",
    "0",
    "--rate",
    "20",
    "--duration-ms",
    "3000",
    "--resend",
    "8",
    "--settle-ms",
    "60000",
];

fn start() -> (System, Upstreams) {
    let system = System::start(1);
    system.put_pool(1);
    let args = [
        "--count",
        "4",
        "--run-ms",
        "archive=300",
        "--entries",
        &system.announce_to("z1"),
    ];
    let up = Upstreams::start(&args);
    system.await_upstreams(4);
    (system, up)
}

// Two of four workers die with jobs on them and come back. Their jobs must be
// run again, under new fencing numbers, and each must finish.
#[test]
fn jobs_of_a_lost_worker_are_run_again() {
    let (system, up) = start();
    let load = system.load_process(&[&up.control], JOBS);
    until(10_000, "jobs run", || up.instance("w1")["running"] != 0);
    up.set_faults(&["w1", "w2"], json!({ "dead": true }));
    until(20_000, "the others finish jobs", || up.runs().len() > 30);
    up.set_faults(&["w1", "w2"], json!({}));
    let report = read_report(&load.wait_with_output().unwrap());
    assert_clean(&report);
    assert_eq!(
        report["account"]["accepted"], report["account"]["done"],
        "{report:#}"
    );
}

// The entry instance that leads is killed while jobs are accepted, given out and
// finished. Each accepted job was synced by a quorum before its caller was told,
// so that it must finish although its entry instance is gone for good.
#[test]
fn jobs_outlive_the_entry_that_took_them() {
    let mut system = System::start(1);
    system.put_pool(1);
    let ups = system.upstreams_in_all_zones(&["--run-ms", "archive=300"]);
    let load = system.load_process(&controls(&ups), JOBS);
    let runs = || ups.iter().map(|up| up.runs().len()).sum::<usize>();
    until(10_000, "jobs run", || runs() > 10);
    let leader = system.await_leader();
    system.kill(leader);
    let report = read_report(&load.wait_with_output().unwrap());
    assert_clean(&report);
    assert_eq!(
        report["account"]["accepted"], report["account"]["done"],
        "{report:#}"
    );
}

// All workers freeze for longer than their lease with jobs on them, and go on
// with them when they thaw. Meanwhile the jobs count as lost and may start again
// under new numbers: what the old attempts bring is void.
#[test]
fn a_worker_that_outlives_its_lease_finishes_nothing_twice() {
    let (system, up) = start();
    up.set_faults(&[], json!({ "orphans": true }));
    let load = system.load_process(&[&up.control], JOBS);
    until(10_000, "jobs run", || up.instance("w1")["running"] != 0);
    up.process.freeze();
    let frozen = Instant::now();
    until(10_000, "the leases ran out", || {
        frozen.elapsed() > Duration::from_secs(5)
    });
    up.process.thaw();
    let report = read_report(&load.wait_with_output().unwrap());
    assert_clean(&report);
    assert_eq!(
        report["account"]["accepted"], report["account"]["done"],
        "{report:#}"
    );
}
