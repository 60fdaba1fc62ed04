//! Crowds at the listeners of an entry instance.

use std::net::SocketAddr;

use serde_json::json;

use crate::body::{self, MAX_JOB_BYTES, announced, chunked};
use crate::clients::{Crowd, exchange, request};
use crate::deployment::{Deployment, FRONT_PORT, METRICS_PORT, READY_PORT, get, job, post, until};
use crate::take_turn;
use crate::watch::Watch;

const MEMORY_MB: usize = 64;
const MAX_FDS: usize = 1_024;
const CLIENTS: usize = 100;
/// Clients whose request costs the process many times its size, or many reads.
const FEW_CLIENTS: usize = 12;
/// Clients whose unread data exceeds the memory although each sends little.
const OPEN_REQUESTS: usize = 500;
/// More clients than an instance has places for.
const MANY_CLIENTS: usize = 1_200;

/// Starts a deployment whose entry instance has these limits.
fn start() -> (Deployment, SocketAddr) {
    let deployment = Deployment::start_with(|_, entry| {
        entry["limits"] = json!({"memory_mb": MEMORY_MB, "max_fds": MAX_FDS});
    });
    let front = deployment.entry_url.strip_prefix("http://").unwrap();
    let front = front.parse().unwrap();
    (deployment, front)
}

/// Watches what the entry instance holds.
fn watch(deployment: &Deployment, front: SocketAddr) -> Watch {
    let ports = [FRONT_PORT, READY_PORT, METRICS_PORT];
    let listeners = ports.map(|port| (front.ip(), port).into());
    Watch::start(deployment.entry.pid(), &listeners)
}

/// Checks that an ordinary job is accepted.
fn assert_serves(deployment: &Deployment) {
    let url = deployment.job_url("00000000000000f1");
    until("an accepted job", || {
        post(&url, &job()).filter(|(status, _)| *status == 200)
    });
}

/// Lets a crowd come to a listener of an entry instance, and checks what the instance holds and
/// that it serves.
fn assert_bears(port: u16, crowd: impl FnOnce(SocketAddr) -> Crowd) {
    let _turn = take_turn();
    let (mut deployment, front) = start();
    let watch = watch(&deployment, front);
    let crowd = crowd((front.ip(), port).into());
    assert!(crowd.len() > 0);
    assert_serves(&deployment);
    for (port, path) in [(READY_PORT, "/readyz"), (METRICS_PORT, "/metrics")] {
        let url = format!("http://{}:{port}{path}", front.ip());
        until(path, || get(&url).filter(|(status, _)| *status == 200));
    }
    assert!(deployment.entry.is_running());
    watch.assert_within(MEMORY_MB, MAX_FDS);
    drop(crowd);
}

fn post_job(rest: &[u8]) -> Vec<u8> {
    request("POST", "/a/00000000000000b1", rest)
}

/// Guards against bodies that each stay within the limit and together exceed the memory.
#[test]
fn many_large_bodies_that_stop_short() {
    let request = post_job(&announced(&body::job_text(MAX_JOB_BYTES)));
    assert_bears(FRONT_PORT, |to| {
        Crowd::stopping_short(CLIENTS, to, &request)
    });
}

/// Guards against the same with whole bodies.
#[test]
fn many_large_bodies_sent_whole() {
    let request = post_job(&announced(&body::job_text(MAX_JOB_BYTES)));
    assert_bears(FRONT_PORT, |to| Crowd::sending(CLIENTS, to, &request));
}

/// Guards against the same with bodies that arrive piece by piece.
#[test]
fn many_large_bodies_piece_by_piece() {
    let request = post_job(&announced(&body::job_text(MAX_JOB_BYTES)));
    assert_bears(FRONT_PORT, |to| {
        Crowd::open(CLIENTS, to, |_, stream| {
            let sent = &request[..request.len() - 1];
            sent.chunks(16 << 10).try_for_each(|piece| {
                std::io::Write::write_all(stream, piece)?;
                std::thread::yield_now();
                Ok(())
            })
        })
    });
}

/// Guards against the same with bodies whose length is not announced.
#[test]
fn many_bodies_in_large_chunks_that_stop_short() {
    let request = post_job(&chunked(&body::job_text(MAX_JOB_BYTES), 32 << 10));
    assert_bears(FRONT_PORT, |to| {
        Crowd::stopping_short(CLIENTS, to, &request)
    });
}

/// Guards against a cost for each chunk that is many times its size.
#[test]
fn bodies_in_chunks_of_one_byte_that_stop_short() {
    let request = post_job(&chunked(&body::job_text(MAX_JOB_BYTES), 1));
    assert_bears(FRONT_PORT, |to| {
        Crowd::stopping_short(FEW_CLIENTS, to, &request)
    });
}

/// Guards against jobs that are many times larger decoded than sent.
#[test]
fn whole_jobs_of_empty_steps() {
    let request = post_job(&announced(&body::empty_steps(MAX_JOB_BYTES)));
    assert_bears(FRONT_PORT, |to| Crowd::sending(FEW_CLIENTS, to, &request));
}

/// Guards against jobs that are held after their callers have left, while no answer comes.
#[test]
fn jobs_whose_callers_leave_before_the_answer() {
    let _turn = take_turn();
    let (mut deployment, front) = start();
    let watch = watch(&deployment, front);
    let request = post_job(&announced(&body::largest_job()));
    deployment.control.signal("-STOP");
    drop(Crowd::sending(CLIENTS, front, &request));
    deployment.control.signal("-CONT");
    assert_serves(&deployment);
    assert!(deployment.entry.is_running());
    watch.assert_within(MEMORY_MB, MAX_FDS);
}

/// Guards against bytes that pile up unread behind a request that is being served.
#[test]
fn bytes_that_follow_an_open_request() {
    let _turn = take_turn();
    let (mut deployment, front) = start();
    let watch = watch(&deployment, front);
    let ask = request("GET", "/a/00000000000000b1", b"\r\n");
    let rest = vec![b'x'; 2 << 20];
    deployment.control.signal("-STOP");
    let crowd = Crowd::open(OPEN_REQUESTS, front, |_, stream| {
        stream.set_nonblocking(true)?;
        std::io::Write::write_all(stream, &ask)?;
        std::io::Write::write_all(stream, &rest)
    });
    deployment.control.signal("-CONT");
    assert_serves(&deployment);
    assert!(deployment.entry.is_running());
    watch.assert_within(MEMORY_MB, MAX_FDS);
    drop(crowd);
}

/// Guards against a body far over the limit that is read for long or whose refusal is lost.
#[test]
fn a_body_far_over_the_limit_is_refused_and_its_sender_hears_it() {
    let _turn = take_turn();
    let (deployment, front) = start();
    let sent = vec![b'x'; 3 * MAX_JOB_BYTES];
    let mut announced = b"content-length: 17179869184\r\n\r\n".to_vec();
    announced.extend_from_slice(&sent);
    for rest in [announced, chunked(&sent, 32 << 10)] {
        let answer = exchange(front, &post_job(&rest)).unwrap();
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    }
    assert_serves(&deployment);
}

/// Guards against bodies far over the limit, announced or not, from many clients.
#[test]
fn many_bodies_far_over_the_limit() {
    let mut announced = b"content-length: 17179869184\r\n\r\n".to_vec();
    let sent = vec![b'x'; 8 * MAX_JOB_BYTES];
    announced.extend_from_slice(&sent);
    let announced = post_job(&announced);
    let chunked = post_job(&chunked(&sent, 32 << 10));
    assert_bears(FRONT_PORT, |to| {
        Crowd::open(CLIENTS, to, |n, stream| {
            let request = if n % 2 == 0 { &announced } else { &chunked };
            std::io::Write::write_all(stream, request)
        })
    });
}

/// Guards against clients that take all connections and send no whole request.
#[test]
fn more_clients_than_connections() {
    let ask = request("GET", "/a/00000000000000b1", b"x-filler: ");
    assert_bears(FRONT_PORT, |to| Crowd::sending(MANY_CLIENTS, to, &ask));
}

/// Guards against a listener for health checks that takes what callers' listeners refuse.
#[test]
fn large_bodies_at_the_health_listener() {
    let request = request(
        "POST",
        "/readyz",
        &announced(&body::job_text(MAX_JOB_BYTES)),
    );
    assert_bears(READY_PORT, |to| {
        Crowd::stopping_short(CLIENTS, to, &request)
    });
}

/// Guards against clients that keep the load balancer's health checks out.
#[test]
fn more_clients_than_connections_at_the_health_listener() {
    let ask = request("GET", "/readyz", b"x-filler: ");
    assert_bears(READY_PORT, |to| Crowd::sending(MANY_CLIENTS, to, &ask));
}

/// Guards against a listener for metrics that takes what callers' listeners refuse.
#[test]
fn large_bodies_at_the_metrics_listener() {
    let request = request(
        "POST",
        "/metrics",
        &announced(&body::job_text(MAX_JOB_BYTES)),
    );
    assert_bears(METRICS_PORT, |to| {
        Crowd::stopping_short(CLIENTS, to, &request)
    });
}

/// Guards against clients that keep the collector of metrics out.
#[test]
fn more_clients_than_connections_at_the_metrics_listener() {
    let ask = request("GET", "/metrics", b"x-filler: ");
    assert_bears(METRICS_PORT, |to| Crowd::sending(MANY_CLIENTS, to, &ask));
}
