//! A caller receives the whole answer to its own request and never another's.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use serde_json::json;
use support::{System, Upstreams, assert_clean};

fn system() -> (System, Upstreams) {
    let system = System::start(1);
    system.put_pool(1);
    let entries = system.announce_to("z1");
    let args = [
        "--count",
        "4",
        "--spread",
        "90",
        "--pad-bytes",
        "5000",
        "--entries",
        &entries,
    ];
    let up = Upstreams::start(&args);
    system.await_upstreams(4);
    (system, up)
}

// Run times spread from 2 to 38 ms, a fifth of the callers go away after 10 ms,
// and the deadline of all is 30 ms: answers come out of order, late, and to
// callers that are gone, over connections that are used again. A late answer
// read by the next request on its connection would be another caller's.
#[test]
fn late_and_abandoned_answers_reach_nobody_else() {
    let (system, up) = system();
    let report = system.load(
        &[&up.control],
        &[
            "--service",
            "check",
            "--rate",
            "400",
            "--duration-ms",
            "2500",
            "--deadline-ms",
            "30",
            "--cancel",
            "20",
            "--not-idempotent",
            "30",
        ],
    );
    assert_clean(&report);
}

// Half of the upstreams end their answers half way, one by closing before the
// announced length, one without the last chunk. The caller must get a whole
// answer from elsewhere, or `unknown`; passed on, the half would count as an
// answer that is not whole.
#[test]
fn answers_cut_short_are_never_passed_on_as_whole() {
    let (system, up) = system();
    up.set_faults(&["w1"], json!({ "cut_short": "length" }));
    up.set_faults(&["w2"], json!({ "cut_short": "chunked" }));
    let args = [
        "--service",
        "check",
        "--rate",
        "150",
        "--duration-ms",
        "2000",
    ];
    let report = system.load(
        &[&up.control],
        &[&args[..], &["--not-idempotent", "50"]].concat(),
    );
    assert_clean(&report);
    assert!(
        report["account"]["unknown"].as_u64() > Some(0),
        "{report:#}"
    );
}
