//! When a caller is told `not-run`, the work did not run; and one that may run
//! once runs at most once, whatever happens to the connection it went out on.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use rosemarygauge::proxy::{Accept, LinkFaults};
use serde_json::Value;
use support::{System, assert_clean};

const LOAD: &[&str] = &[
    "--service",
    "check",
    "--not-idempotent",
    "50",
    "--rate",
    "150",
    "--duration-ms",
    "1500",
];

/// The account of a load on two upstreams of which one is behind a faulty link.
fn account(faults: LinkFaults) -> Value {
    let system = System::start(1);
    system.put_pool(1);
    let (sound, _passing) = system.proxied_upstream("sound", &[]);
    let (faulty, link) = system.proxied_upstream("faulty", &[]);
    system.await_upstreams(2);
    link.set(faults);
    let report = system.load(&[&sound.control, &faulty.control], LOAD);
    assert_clean(&report);
    report["account"].clone()
}

// The port is closed, so that no byte can have gone out: even what may run once
// is tried elsewhere and nobody is told `unknown`.
#[test]
fn refused_connections_are_tried_elsewhere() {
    let account = account(LinkFaults::refuse());
    assert_eq!(
        (&account["unknown"], &account["cut_off"]),
        (&0.into(), &0.into())
    );
}

// The connection opens and is reset at once: bytes may or may not have gone out.
// What may run once must end as `unknown` and not be tried again, though here it
// never ran.
#[test]
fn a_reset_before_the_bytes_is_not_taken_for_a_refusal() {
    let account = account(LinkFaults {
        accept: Accept::Reset,
        ..LinkFaults::default()
    });
    assert_eq!(account["cut_off"], 0);
}

// The upstream has read part of the request when the connection is reset.
#[test]
fn a_reset_among_the_bytes_of_the_request() {
    let account = account(LinkFaults {
        reset_after_forward_bytes: Some(100),
        ..LinkFaults::default()
    });
    assert_eq!(account["cut_off"], 0);
}

// The upstream has run the request and its answer is lost, in its head or in its
// body: `not-run` would be a lie, a second try a doubled run, and the half a
// wrong answer.
#[test]
fn a_reset_among_the_bytes_of_the_answer() {
    for bytes in [10, 120] {
        let account = account(LinkFaults {
            reset_after_backward_bytes: Some(bytes),
            ..LinkFaults::default()
        });
        assert!(account["unknown"].as_u64() > Some(0), "{account:#}");
    }
}
