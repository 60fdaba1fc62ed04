//! The whole path as separate processes: three entry instances in three
//! availability zones, stand-in upstreams that announce themselves, and `load`.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use support::{System, Upstreams, assert_clean};

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
    assert_clean(&report);
    assert!(report["account"]["done"].as_u64() > Some(300), "{report:#}");
    assert_eq!(report["account"]["cut_off"], 0, "{report:#}");
}
