//! Callers that leave before a paused entry instance has read their requests.

use std::io::{Read, Write};
use std::net::TcpStream;

use serde_json::json;

use crate::deployment::{Deployment, get, job, until};

/// Sends the request that submits a job on a connection of its own.
fn send_job(deployment: &Deployment, id: &str) -> TcpStream {
    let address = deployment.entry_url.strip_prefix("http://").unwrap();
    let mut stream = TcpStream::connect(address).unwrap();
    let body = job().to_string();
    let request = format!(
        "POST /a/{id} HTTP/1.1\r\nhost: h.example\r\ncontent-type: application/json\r\n\
         deadline-ms: 3000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Guards against a job that is accepted although its caller has left: the entry instance was
/// paused with the request unread, and handed it on when it went on. Callers that have waited are
/// served.
#[test]
fn a_job_whose_caller_left_a_paused_instance_is_not_handed_on() {
    let deployment = Deployment::start();
    let (left, stayed) = ("00000000000000d1", "00000000000000d2");
    deployment.entry.signal("-STOP");
    drop(send_job(&deployment, left));
    let mut waits = send_job(&deployment, stayed);
    deployment.entry.signal("-CONT");
    let mut answer = [0; 12];
    waits.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200");
    until("the log line of the caller that left", || {
        let lines = deployment
            .entry
            .logged("call: its caller left before it was sent");
        let path = format!("/a/{left}");
        lines.into_iter().find(|line| line["path"] == path)
    });
    let accepted = deployment.control.logged("job: accepted");
    let accepted: Vec<_> = accepted.iter().map(|line| &line["job"]).collect();
    assert_eq!(accepted, [&json!(stayed)]);
    assert_eq!(get(&deployment.job_url(left)).map(|a| a.0), Some(410));
}
