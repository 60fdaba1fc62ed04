//! A zone that is cut off goes on serving what it can, and comes back without a
//! lost or doubled request.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use rosemarygauge::proxy::LinkFaults;
use serde_json::Value;
use support::{System, Upstreams, assert_clean, controls, read_report, until};

const MIX: &[&str] = &[
    "--service",
    "check",
    "--not-idempotent",
    "40",
    "--rate",
    "90",
];

/// One entry instance and two upstreams in each zone.
fn start() -> (System, Vec<Upstreams>) {
    let system = System::start(1);
    system.put_pool(1);
    let ups = system.upstreams_in_all_zones(&[]);
    (system, ups)
}

/// Of the requests sent to one entry instance, how many were done.
fn at(system: &System, entry: usize, ups: &[Upstreams], more: &[&str]) -> Value {
    let address = system.entries[entry].callers.to_string();
    let mut load = support::command(&["load", "--json", "--entry", &address]);
    for control in controls(ups) {
        load.args(["--upstream-control", control]);
    }
    load.args([
        "--service",
        "check",
        "--rate",
        "60",
        "--duration-ms",
        "1500",
    ]);
    let report = read_report(&load.args(more).output().unwrap());
    assert_clean_but_refused(&report);
    report["account"].clone()
}

fn assert_clean_but_refused(report: &Value) {
    for violation in [
        "lost",
        "doubled",
        "mixed_up",
        "not_run_but_ran",
        "no_come_back",
    ] {
        assert_eq!(report["account"][violation], 0, "{violation}: {report:#}");
    }
}

// Zone z3 is cut off from the others under load, which goes to all zones. Its
// entry instance must go on with what may run twice, on its own upstreams; what
// may run once it must refuse with when to come back, as it can claim no key; the
// other zones must go on with everything. Then the cut heals.
#[test]
fn one_zone_is_cut_off_and_comes_back() {
    let (mut system, ups) = start();
    let load = system.load_process(&controls(&ups), &[MIX, &["--duration-ms", "9000"]].concat());
    until(5_000, "it is under load", || ups[2].runs().len() > 20);
    system.cut_off(&[2], &LinkFaults::cut());
    until(5_000, "z3 knows that it is cut off", || {
        system.status(2)["health"] == "cut-off"
    });
    let cut = at(&system, 2, &ups, &[]);
    assert_eq!(cut["done"], cut["sent"], "{cut:#}");
    let once = at(&system, 2, &ups, &["--not-idempotent", "100"]);
    assert_eq!(
        once["not_run_by_reason"]["no-quorum"], once["sent"],
        "{once:#}"
    );
    let rest = at(&system, 0, &ups, &["--not-idempotent", "100"]);
    assert_eq!(rest["done"], rest["sent"], "{rest:#}");
    system.cut_off(&[2], &LinkFaults::default());
    until(5_000, "z3 is back", || {
        system.status(2)["health"] == "ready"
    });
    let back = at(&system, 2, &ups, &["--not-idempotent", "100"]);
    assert_eq!(back["done"], back["sent"], "{back:#}");
    system.await_leader();
    assert_clean(&read_report(&load.wait_with_output().unwrap()));
}

// All zones are cut off from each other: no quorum anywhere. Each must go on with
// what may run twice and refuse the rest; after the cut all must be as before.
#[test]
fn all_zones_are_cut_off_from_each_other() {
    let (mut system, ups) = start();
    for zone in [0, 1, 2] {
        system.cut_off(&[zone], &LinkFaults::cut());
        system.cut_off(&[zone, (zone + 1) % 3], &LinkFaults::cut());
    }
    for i in 0..3 {
        until(5_000, "it knows that it is cut off", || {
            system.status(i)["health"] == "cut-off"
        });
        let alone = at(&system, i, &ups, &[]);
        assert_eq!(alone["done"], alone["sent"], "{alone:#}");
    }
    system.cut_off(&[0, 1, 2], &LinkFaults::default());
    for zone in 0..3 {
        system.cut_off(&[zone], &LinkFaults::default());
    }
    system.await_leader();
    system.await_ready();
    let back = at(&system, 1, &ups, &["--not-idempotent", "100"]);
    assert_eq!(back["done"], back["sent"], "{back:#}");
}

// A voter loses its disk and is repaired; right after, another one loses its own.
// Nothing that was accepted may be gone: keys answered before both get the same
// answer after, and nothing runs again.
#[test]
fn a_second_disk_is_lost_right_after_a_repair() {
    let (mut system, ups) = start();
    let once = ["--not-idempotent", "100", "--label", "kept"];
    let first = at(&system, 0, &ups, &once);
    assert_eq!(first["done"], first["sent"], "{first:#}");
    for i in [1, 2] {
        system.kill(i);
        system.lose_disk(i);
        system.restart(i);
        system.await_leader();
        let index = system.status(0)["applied_index"].as_u64();
        until(10_000, "it has caught up", || {
            system.status(i)["applied_index"].as_u64() >= index
        });
    }
    system.kill(0);
    until(15_000, "the two repaired ones elect a leader", || {
        system.leader().is_some()
    });
    system.restart(0);
    system.await_leader();
    system.await_upstreams(6);
    let again = at(&system, 2, &ups, &once);
    assert_eq!(again["runs"], first["runs"], "{again:#}");
    assert_eq!(again["done"], again["sent"], "{again:#}");
}

// The leader's zone is cut off for 0.6 s, about as long as an election takes. Claims that
// wait there are proposed again after 0.4 s, and the log holds them twice. Callers
// are answered `done`; sent again, their keys ran again, as the second copy of a
// claim had set its key free.
#[test]
fn a_key_is_kept_when_its_claim_waited_for_the_log() {
    let (mut system, ups) = start();
    let leader = system.await_leader();
    let once = ["--not-idempotent", "100", "--label", "waited"];
    let first = std::thread::scope(|scope| {
        let load = scope.spawn(|| at(&system, leader, &ups, &once));
        until(5_000, "it is under load", || ups[leader].runs().len() > 10);
        system.cut_off(&[leader], &LinkFaults::cut());
        std::thread::sleep(std::time::Duration::from_millis(600));
        system.cut_off(&[leader], &LinkFaults::default());
        load.join().unwrap()
    });
    assert!(first["done"].as_u64() > Some(0), "{first:#}");
    system.await_leader();
    system.await_ready();
    let again = at(&system, (leader + 1) % 3, &ups, &once);
    assert!(
        again["done"].as_u64() >= first["done"].as_u64(),
        "{again:#}"
    );
}

// A caller's booking runs through zone z1 while z3 is cut off, and its answer is
// lost. The caller sends the key again, to z3, which cannot know of it. Told
// `not-run`, the caller would book anew under another key: two crews. It must be
// told `unknown`, with when to ask again.
#[test]
fn a_cut_off_zone_does_not_say_not_run_of_a_key_that_ran_elsewhere() {
    let (system, _ups) = start();
    system.cut_off(&[2], &LinkFaults::cut());
    until(5_000, "z3 knows that it is cut off", || {
        system.status(2)["health"] == "cut-off"
    });
    let call = |i: usize| {
        let reply = support::agent(10_000)
            .post(format!("http://{}/call/check", system.entries[i].callers))
            .header("rg-team", "crews")
            .header("rg-idempotent", "false")
            .header("rg-key", "tunnel-2")
            .send("a booking")
            .unwrap();
        let header = |name: &str| {
            reply
                .headers()
                .get(name)
                .map(|v| v.to_str().unwrap().to_owned())
        };
        (header("rg-outcome").unwrap(), header("retry-after"))
    };
    assert_eq!(call(0).0, "done");
    let (outcome, retry_after) = call(2);
    assert_eq!(outcome, "unknown");
    assert!(retry_after.is_some());
}
