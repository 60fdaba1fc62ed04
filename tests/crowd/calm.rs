//! Single requests of the largest size that a limit allows, on instances with the memory of the
//! smallest real machines: each is served.

use serde_json::json;

use crate::body::{self, MAX_CONTROL_BYTES, MAX_DOCUMENT_BYTES, MAX_JOB_BYTES};
use crate::deployment::{Deployment, agent, get, until};
use crate::take_turn;

fn start() -> Deployment {
    Deployment::start_with(|control, entry| {
        control["limits"] = json!({"memory_mb": 256, "max_fds": 4_096});
        entry["limits"] = json!({"memory_mb": 160, "max_fds": 4_100});
    })
}

fn status_of(url: &str, body: &[u8]) -> u16 {
    let sent = agent().post(url).header("host", "h.example").send(body);
    sent.unwrap().status().as_u16()
}

/// Guards against a limit that refuses the largest valid job.
#[test]
fn the_largest_job_is_accepted() {
    let _turn = take_turn();
    let deployment = start();
    let url = deployment.job_url("00000000000000c1");
    assert_eq!(status_of(&url, &body::largest_job()), 200);
    until("its state", || {
        get(&url).filter(|(status, _)| *status == 200)
    });
}

/// Guards against a limit that refuses a body before it is judged: this one is read whole and
/// refused for its payload.
#[test]
fn a_job_of_the_largest_body_is_judged_by_what_it_holds() {
    let _turn = take_turn();
    let deployment = start();
    let url = deployment.job_url("00000000000000c2");
    assert_eq!(status_of(&url, &body::job_text(MAX_JOB_BYTES)), 400);
    assert_eq!(status_of(&url, &body::empty_steps(MAX_JOB_BYTES)), 400);
}

/// Guards against a limit that refuses the largest report.
#[test]
fn the_largest_report_is_acknowledged() {
    let _turn = take_turn();
    let deployment = start();
    let url = format!("{}/Instances.Heartbeat/i-x", deployment.control_url);
    assert_eq!(
        status_of(&url, &body::padded_report(MAX_CONTROL_BYTES)),
        200
    );
}

/// Guards against a limit that refuses the largest configuration, or the answer that holds it.
#[test]
fn the_largest_configuration_is_acknowledged_and_read_back() {
    let _turn = take_turn();
    let deployment = start();
    let sent = body::padded_configuration(2, MAX_DOCUMENT_BYTES);
    let url = format!("{}/Config.Replace", deployment.control_url);
    assert_eq!(status_of(&url, &sent), 200);
    let url = format!("{}/Config.Read", deployment.control_url);
    let mut answer = agent().get(&url).call().unwrap();
    let body = answer
        .body_mut()
        .with_config()
        .limit(16 << 20)
        .read_to_vec();
    assert_eq!(answer.status().as_u16(), 200);
    assert!(body.unwrap() == sent, "another configuration was read back");
}
