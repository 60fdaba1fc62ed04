//! Open connections go silent for good while new ones work: calls go on.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use support::{System, Upstreams, assert_clean, read_report, until};

const MIX: &[&str] = &[
    "--service",
    "check",
    "--not-idempotent",
    "30",
    "--rate",
    "100",
];

// All connections between the entry instances and one of two upstreams go silent.
// What was on them ends as lost: run again if it may be, else `unknown`. The
// upstream is sound, so new connections must reach it, and the pool must not be
// left with one upstream.
#[test]
fn silent_connections_to_an_upstream_are_replaced() {
    let system = System::start(1);
    system.put_pool(1);
    let (one, _passing) = system.proxied_upstream("one", &[]);
    let (two, link) = system.proxied_upstream("two", &[]);
    system.await_upstreams(2);
    let args = [MIX, &["--duration-ms", "12000"]].concat();
    let load = system.load_process(&[&one.control, &two.control], &args);
    until(5_000, "both run requests", || {
        one.runs().len() > 20 && two.runs().len() > 20
    });
    let opened = link.opened();
    link.silence_open();
    let runs = two.runs().len();
    let silent = std::time::Instant::now();
    until(10_500, "new connections carry requests to it", || {
        link.opened() > opened && two.runs().len() > runs + 20
    });
    println!(
        "requests reach it again after {} ms",
        silent.elapsed().as_millis()
    );
    assert_clean(&read_report(&load.wait_with_output().unwrap()));
}

// All links between the entry instances go silent at once. The leader hears no
// answers and the others no leader; each must find out by itself that its links
// are dead and open new ones, and claims must go on.
#[test]
fn silent_links_between_entries_are_replaced() {
    let mut system = System::start(1);
    system.put_pool(1);
    let up = Upstreams::start(&["--count", "4", "--entries", &system.announce_to("z1")]);
    system.await_upstreams(4);
    let args = [MIX, &["--duration-ms", "6000"]].concat();
    let load = system.load_process(&[&up.control], &args);
    until(5_000, "it is under load", || up.runs().len() > 50);
    for (from, to) in [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)] {
        system.link(from, to).silence_open();
    }
    let fresh = |status: serde_json::Value| {
        let peers = status["peers"].as_object().unwrap().clone();
        peers
            .values()
            .all(|peer| peer["heard"] == true && peer["silent_ms"].as_u64() < Some(500))
    };
    until(5_000, "all hear each other again", || {
        (0..3).all(|i| system.link(i, (i + 1) % 3).opened() > 1 && fresh(system.status(i)))
    });
    system.await_leader();
    assert_clean(&read_report(&load.wait_with_output().unwrap()));
}

// The callers' connections go silent, as behind a balancer that lost track of
// them. A caller gives up and sends its key again on a new connection: it must
// get the answer of the first, and nothing may run twice.
#[test]
fn callers_with_silent_connections_get_their_answers_on_new_ones() {
    let system = System::start(1);
    system.put_pool(1);
    let up = Upstreams::start(&["--count", "4", "--entries", &system.announce_to("z1")]);
    system.await_upstreams(4);
    let link = system
        .hub
        .link(support::free_address(), system.entries[0].callers)
        .unwrap();
    let address = link.address().to_string();
    let mut load = support::command(&["load", "--json", "--entry", &address]);
    load.args(["--upstream-control", &up.control]).args(MIX);
    load.args([
        "--duration-ms",
        "6000",
        "--deadline-ms",
        "500",
        "--resend",
        "5",
    ]);
    let load = load.stdout(std::process::Stdio::piped()).spawn().unwrap();
    until(5_000, "it is under load", || up.runs().len() > 50);
    link.silence_open();
    let report = read_report(&load.wait_with_output().unwrap());
    assert_clean(&report);
    assert!(
        report["account"]["cut_off"].as_u64() > Some(0),
        "{report:#}"
    );
}
