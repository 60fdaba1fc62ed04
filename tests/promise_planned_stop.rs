//! A planned stop is a graceful shutdown: it cuts off no request in flight.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use support::{System, Upstreams, assert_clean, read_report, throughout, until};

const LOAD: &[&str] = &[
    "--service",
    "check",
    "--not-idempotent",
    "30",
    "--rate",
    "200",
];

// Callers send all the time while each entry instance in turn gets SIGTERM and is
// started again. What it has taken it must answer; what it no longer takes, the
// balancer gives to the next. A connection that ends before its answer counts as
// cut off, and nothing is sent again here, so that it would count as lost too.
#[test]
fn a_rolling_restart_of_all_entries_cuts_off_nothing() {
    let mut system = System::start(1);
    system.put_pool(1);
    let args = ["--count", "4", "--default-run-ms", "50", "--entries"];
    let up = Upstreams::start(&[&args[..], &[&system.announce_to("z1")]].concat());
    system.await_upstreams(4);
    let load = system.load_process(&[&up.control], &[LOAD, &["--duration-ms", "8000"]].concat());
    for i in [2, 1] {
        system.process(i).term();
        assert!(system.process(i).exit(10_000).success());
        system.restart(i);
        system.await_upstreams(4);
    }
    let report = read_report(&load.wait_with_output().unwrap());
    assert_clean(&report);
    assert_eq!(report["account"]["cut_off"], 0, "{report:#}");
}

// Half of the upstreams get SIGTERM under load: they refuse new work, finish what
// runs and exit. Callers must notice nothing: what was refused runs elsewhere.
#[test]
fn upstreams_that_stop_cut_off_nothing() {
    let system = System::start(1);
    system.put_pool(1);
    let entries = system.announce_to("z1");
    let args = [
        "--default-run-ms",
        "50",
        "--entries",
        &entries,
        "--count",
        "2",
        "--name",
    ];
    let _staying = Upstreams::start(&[&args[..], &["stays"]].concat());
    let mut leaving = Upstreams::start(&[&args[..], &["leaves"]].concat());
    system.await_upstreams(4);
    let load = [LOAD, &["--duration-ms", "3000"]].concat();
    let load = system.load_process(&[], &load);
    until(5_000, "it is under load", || {
        leaving.instance("leaves1")["running"] != 0
    });
    leaving.process.term();
    assert!(leaving.process.exit(10_000).success());
    let report = read_report(&load.wait_with_output().unwrap());
    let account = &report["account"];
    assert_eq!(
        (&account["cut_off"], &account["lost"]),
        (&0.into(), &0.into()),
        "{report:#}"
    );
    assert_eq!(account["unknown"], 0, "{report:#}");
    assert_eq!(account["not_run"], 0, "{report:#}");
}

// An upstream says once that it leaves and keeps a request running, so that it
// stays reachable. The entry instances of its zone hear it, the others through
// them. One is cut off from its peers before that, and never hears: its lease on
// the upstream must run out, or it would go on sending work to it.
#[test]
fn a_leaving_upstream_gets_nothing_new_from_any_entry() {
    let system = System::start(1);
    system.put_pool(1);
    let entries = system.announce_to("z1");
    let args = [
        "--count",
        "2",
        "--run-ms",
        "archive=9000",
        "--entries",
        &entries,
    ];
    let up = Upstreams::start(&args);
    system.await_upstreams(2);
    let load = [
        LOAD,
        &["--service", "archive:patient:1", "--duration-ms", "8000"],
    ]
    .concat();
    let mut load = system.load_process(&[&up.control], &load);
    until(5_000, "it is under load", || {
        up.instance("w1")["running"] != 0
    });
    system.cut_off(&[2], &rosemarygauge::proxy::LinkFaults::cut());
    up.leave(&["w1"]);
    let left = Instant::now();
    let last_ms = || up.instance("w1")["last_refused_ms"].as_u64();
    until(8_000, "four seconds have passed", || {
        left.elapsed() > Duration::from_secs(4)
    });
    let before = last_ms();
    throughout(2_000, "nothing new comes", || last_ms() == before);
    load.kill().unwrap();
    load.wait().unwrap();
}

// An upstream goes on serving and announces itself no more, as one whose leaving
// nobody heard. Its lease must run out at every entry instance, also at those
// that hear of it only through peers.
#[test]
fn an_upstream_that_stops_announcing_gets_nothing_new() {
    let system = System::start(1);
    system.put_pool(1);
    let up = Upstreams::start(&["--count", "2", "--entries", &system.announce_to("z1")]);
    system.await_upstreams(2);
    let load = [LOAD, &["--duration-ms", "8000"]].concat();
    let mut load = system.load_process(&[], &load);
    until(5_000, "it is under load", || {
        up.instance("w1")["running"] != 0
    });
    up.set_faults(&["w1"], serde_json::json!({ "mute": true }));
    let muted = Instant::now();
    until(8_000, "four seconds have passed", || {
        muted.elapsed() > Duration::from_secs(4)
    });
    let on = |name: &str| up.runs().iter().filter(|run| run.instance == name).count();
    let (before, others) = (on("w1"), on("w2"));
    until(5_000, "the other one goes on", || on("w2") > others + 50);
    assert_eq!(on("w1"), before);
    load.kill().unwrap();
    load.wait().unwrap();
}
