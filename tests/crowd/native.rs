//! Crowds at the listeners of an instance that runs by its own settings file.

use std::net::SocketAddr;

use crate::body::{announced, chunked, job_text};
use crate::clients::{Crowd, request};
use crate::support::{System, until};
use crate::take_turn;
use crate::watch::Watch;

/// Memory that an instance without a setting of its own keeps within.
const MEMORY_MB: usize = 256;
const MAX_FDS: usize = 4_096;
const CLIENTS: usize = 400;
const FEW_CLIENTS: usize = 48;

/// Lets a crowd come to one of an instance's listeners, and checks what the instance holds and
/// that it answers.
fn assert_bears(listener: impl Fn(&System) -> SocketAddr, crowd: impl FnOnce(SocketAddr) -> Crowd) {
    let _turn = take_turn();
    let mut system = System::start(1);
    let instance = &system.entries[0];
    let listeners = [instance.callers, instance.upstreams, instance.operators];
    let pid = instance.process.as_ref().unwrap().pid();
    let watch = Watch::start(pid, &listeners);
    let crowd = crowd(listener(&system));
    assert!(crowd.len() > 0);
    let health = format!("http://{}/health", listeners[0]);
    let status = format!("http://{}/metrics", listeners[2]);
    for url in [health, status] {
        until(60_000, "an ordinary answer", || {
            let answer = crate::support::agent(5_000).get(&url).call();
            answer.is_ok_and(|answer| answer.status() == 200)
        });
    }
    assert!(system.process(0).is_running());
    watch.assert_within(MEMORY_MB, MAX_FDS);
    drop(crowd);
}

/// Guards against callers' bodies that each stay within the limit and together exceed the
/// memory.
#[test]
fn many_large_bodies_from_callers() {
    let request = request("POST", "/call/scoring", &announced(&job_text(1 << 20)));
    assert_bears(
        |s| s.entries[0].callers,
        |to| Crowd::stopping_short(CLIENTS, to, &request),
    );
}

/// Guards against the same from upstreams, in chunks of one byte.
#[test]
fn bodies_in_chunks_of_one_byte_from_upstreams() {
    let request = request("POST", "/announce", &chunked(&job_text(1 << 20), 1));
    assert_bears(
        |s| s.entries[0].upstreams,
        |to| Crowd::stopping_short(FEW_CLIENTS, to, &request),
    );
}

/// Guards against the same from clients of operators' listener that have no token.
#[test]
fn many_large_bodies_without_a_token() {
    let request = request("POST", "/table", &chunked(&job_text(1 << 20), 32 << 10));
    assert_bears(
        |s| s.entries[0].operators,
        |to| Crowd::stopping_short(CLIENTS, to, &request),
    );
}
