//! The whole path as separate processes: three entry instances in three
//! availability zones, stand-in upstreams that announce themselves, and `load`.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use support::{System, Upstreams};

const MIX: &[&str] = &[
    "--service",
    "check",
    "--not-idempotent",
    "20",
    "--rate",
    "200",
];

#[test]
fn every_request_is_answered_once_and_whole() {
    let system = System::start(1);
    system.put_pool(1);
    let up = Upstreams::start(&["--count", "4", "--entries", &system.announce_to("z1")]);
    system.await_upstreams(4);
    let report = system.load(&[&up.control], &[MIX, &["--duration-ms", "2000"]].concat());
    let account = &report["account"];
    assert!(account["done"].as_u64().unwrap() > 300, "{report:#}");
    for violation in [
        "lost",
        "doubled",
        "mixed_up",
        "not_whole",
        "not_run_but_ran",
        "done_without_run",
        "cut_off",
        "malformed",
    ] {
        assert_eq!(account[violation], 0, "{violation}: {report:#}");
    }
}
