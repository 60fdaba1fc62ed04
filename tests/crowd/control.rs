//! Crowds at the listeners of a control instance.

use std::net::SocketAddr;

use rustix::net::sockopt::set_socket_recv_buffer_size;
use serde_json::json;

use crate::body::{self, MAX_CONTROL_BYTES, MAX_DOCUMENT_BYTES, announced, chunked};
use crate::clients::{Crowd, exchange, request};
use crate::deployment::{CONTROL_PORT, Deployment, METRICS_PORT, agent, get, job, post, until};
use crate::take_turn;
use crate::watch::Watch;

const MEMORY_MB: usize = 128;
const MAX_FDS: usize = 1_024;
const CLIENTS: usize = 40;
/// Clients whose request costs the process many times its size, or many reads.
const FEW_CLIENTS: usize = 16;
/// More clients than an instance has places for.
const MANY_CLIENTS: usize = 1_200;

fn start() -> (Deployment, SocketAddr) {
    let deployment = Deployment::start_with(|control, _| {
        control["limits"] = json!({"memory_mb": MEMORY_MB, "max_fds": MAX_FDS});
    });
    let address = deployment.control_url.strip_prefix("http://").unwrap();
    let address = address.parse().unwrap();
    (deployment, address)
}

/// Watches what the control instance holds.
fn watch(deployment: &Deployment, address: SocketAddr) -> Watch {
    let ports = [CONTROL_PORT, METRICS_PORT];
    let listeners = ports.map(|port| (address.ip(), port).into());
    Watch::start(deployment.control.pid(), &listeners)
}

/// Checks that the instance takes a worker's report, a caller's job, and a look at its metrics.
fn assert_serves(deployment: &Deployment, address: SocketAddr) {
    deployment.report(9);
    let url = deployment.job_url("00000000000000f1");
    until("an accepted job", || {
        post(&url, &job()).filter(|(status, _)| *status == 200)
    });
    let url = format!("http://{}:{METRICS_PORT}/metrics", address.ip());
    until("metrics", || get(&url).filter(|(status, _)| *status == 200));
}

fn assert_bears(port: u16, crowd: impl FnOnce(SocketAddr) -> Crowd) {
    let _turn = take_turn();
    let (mut deployment, address) = start();
    let watch = watch(&deployment, address);
    let crowd = crowd((address.ip(), port).into());
    assert!(crowd.len() > 0);
    assert_serves(&deployment, address);
    assert!(deployment.control.is_running());
    watch.assert_within(MEMORY_MB, MAX_FDS);
    drop(crowd);
}

fn post_report(rest: &[u8]) -> Vec<u8> {
    request("POST", "/Instances.Heartbeat/i-x", rest)
}

/// Guards against bodies that each stay within the limit and together exceed the memory.
#[test]
fn many_large_bodies_that_stop_short() {
    let request = post_report(&announced(&body::padded_report(MAX_CONTROL_BYTES)));
    assert_bears(CONTROL_PORT, |to| {
        Crowd::stopping_short(CLIENTS, to, &request)
    });
}

/// Guards against the same with bodies whose length is not announced.
#[test]
fn many_bodies_in_large_chunks_that_stop_short() {
    let request = post_report(&chunked(&body::padded_report(MAX_CONTROL_BYTES), 32 << 10));
    assert_bears(CONTROL_PORT, |to| {
        Crowd::stopping_short(CLIENTS, to, &request)
    });
}

/// Guards against a cost for each chunk that is many times its size.
#[test]
fn bodies_in_chunks_of_one_byte_that_stop_short() {
    let request = post_report(&chunked(&body::padded_report(1 << 20), 1));
    assert_bears(CONTROL_PORT, |to| {
        Crowd::stopping_short(FEW_CLIENTS, to, &request)
    });
}

/// Guards against reports that are many times larger decoded than sent.
#[test]
fn whole_reports_of_many_labels() {
    let request = post_report(&announced(&body::many_labels(MAX_CONTROL_BYTES)));
    assert_bears(CONTROL_PORT, |to| Crowd::sending(FEW_CLIENTS, to, &request));
}

/// Guards against configurations that are held in several forms at once.
#[test]
fn many_whole_configurations() {
    let configurations: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let body = body::padded_configuration(2 + n as u64, MAX_CONTROL_BYTES);
            request("POST", "/Config.Replace", &announced(&body))
        })
        .collect();
    assert_bears(CONTROL_PORT, |to| {
        Crowd::open(CLIENTS, to, |n, stream| {
            std::io::Write::write_all(stream, &configurations[n])
        })
    });
}

/// Guards against answers that are held for clients that do not read them.
#[test]
fn answers_that_nobody_reads() {
    assert_bears(CONTROL_PORT, |to| {
        let body = body::padded_configuration(2, MAX_DOCUMENT_BYTES);
        let url = format!("http://{to}/Config.Replace");
        until("a large configuration", || {
            let sent = agent().post(&url).send(&body[..]).ok()?;
            (sent.status() == 200).then_some(())
        });
        let ask = request("GET", "/Config.Read", b"\r\n").repeat(8);
        Crowd::open(CLIENTS, to, |_, stream| {
            set_socket_recv_buffer_size(&*stream, 4 << 10)?;
            std::io::Write::write_all(stream, &ask)
        })
    });
}

/// Guards against valid jobs of the largest size that pass the entry instances at once.
#[test]
fn whole_jobs_of_the_largest_size() {
    let _turn = take_turn();
    let (mut deployment, address) = start();
    let watch = watch(&deployment, address);
    let front = deployment.entry_url.strip_prefix("http://").unwrap();
    let sent = announced(&body::largest_job());
    let requests: Vec<_> = (0..CLIENTS)
        .map(|n| request("POST", &format!("/a/{n:016x}"), &sent))
        .collect();
    let crowd = Crowd::open(CLIENTS, front.parse().unwrap(), |n, stream| {
        std::io::Write::write_all(stream, &requests[n])
    });
    assert_serves(&deployment, address);
    assert!(deployment.control.is_running());
    watch.assert_within(MEMORY_MB, MAX_FDS);
    drop(crowd);
}

/// Guards against a body far over the limit that is read for long or whose refusal is lost.
#[test]
fn a_body_far_over_the_limit_is_refused_and_its_sender_hears_it() {
    let _turn = take_turn();
    let (deployment, address) = start();
    let sent = vec![b'x'; 2 * MAX_CONTROL_BYTES];
    let mut announced = b"content-length: 17179869184\r\n\r\n".to_vec();
    announced.extend_from_slice(&sent);
    for rest in [announced, chunked(&sent, 32 << 10)] {
        let answer = exchange(address, &post_report(&rest)).unwrap();
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    }
    assert_serves(&deployment, address);
}

/// Guards against clients that take all connections and send no whole request.
#[test]
fn more_clients_than_connections() {
    let ask = request("GET", "/Config.Read", b"x-filler: ");
    assert_bears(CONTROL_PORT, |to| Crowd::sending(MANY_CLIENTS, to, &ask));
}

/// Guards against a listener for metrics that takes what callers' listeners refuse.
#[test]
fn large_bodies_at_the_metrics_listener() {
    let body = announced(&body::job_text(1 << 20));
    let request = request("POST", "/metrics", &body);
    assert_bears(METRICS_PORT, |to| {
        Crowd::stopping_short(4 * CLIENTS, to, &request)
    });
}
