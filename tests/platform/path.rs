//! End-to-end tests with separate processes on loopback: an entry instance, a control instance
//! and stand-in workers.

use std::ffi::OsStr;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::Command;

use serde_json::{Value, json};

use crate::deployment::{
    CONTROL_PORT, Deployment, FRONT_PORT, LINK_PORT, METRICS_PORT, Process, STEP_TIMEOUT,
    configuration, entry_settings, get, job, post, post_within, settings, until,
};
use crate::own_loopback::OwnLoopback;
use crate::stand_in::StandIn;

#[test]
fn a_job_submitted_at_an_entry_instance_is_run_by_workers() {
    let mut deployment = Deployment::start();
    let id = "00000000000000a1";
    let url = deployment.job_url(id);
    assert_eq!(post(&url, &job()).map(|a| a.0), Some(200));
    assert_eq!(post(&url, &job()).map(|a| a.0), Some(200));
    let mut seq = 1;
    until("the job's completion", || {
        seq += 1;
        deployment.report(seq);
        get(&url).filter(|(_, body)| body.contains("completed"))
    });
    let mut started: Vec<String> = deployment
        .workers
        .iter()
        .flat_map(StandIn::started)
        .collect();
    started.sort();
    let before = started.len();
    started.dedup();
    assert_eq!(
        (started.len(), before),
        (8, 8),
        "every task once: {started:?}"
    );

    let unknown = get(&deployment.job_url("00000000000000a2")).unwrap();
    assert_eq!(unknown.0, 410);
    let elsewhere = get(&format!("{}/b/", deployment.entry_url)).unwrap();
    assert_eq!(elsewhere.0, 404);
    let pending = get(&format!("{}/a/", deployment.entry_url)).unwrap();
    assert_eq!((pending.0, pending.1.trim()), (200, "{\"pending\":0}"));
    let wrong = post(
        &deployment.job_url("00000000000000a3"),
        &json!({"phases": []}),
    )
    .unwrap();
    assert_eq!(wrong.0, 400);

    let accepted = until("the log line of the acceptance", || {
        deployment.control.logged("job: accepted").pop()
    });
    assert_eq!(accepted["job"], id);
    assert!(deployment.control.logged("task: a run ended").len() >= 8);
    assert!(deployment.entry.terminate().success());
    assert!(deployment.control.terminate().success());
    until("the log line of the stop", || {
        deployment.control.logged("serve: stopped").pop()
    });
}

#[test]
fn a_configuration_is_read_back_and_an_invalid_one_is_refused() {
    let deployment = Deployment::start();
    let read = get(&format!("{}/Config.Read", deployment.control_url)).unwrap();
    assert_eq!((read.0, read.1), (200, configuration().to_string()));
    let mut wrong = configuration();
    wrong["version"] = json!(2);
    wrong["routes"][0]["service"] = json!("nowhere");
    let refused = post(
        &format!("{}/Config.Replace", deployment.control_url),
        &wrong,
    )
    .unwrap();
    assert_eq!(refused.0, 400);
    assert!(refused.1.contains("nowhere"), "{}", refused.1);
}

/// Guards against the loss of an acknowledged job when the control instance is killed and
/// restarted.
#[test]
fn an_acknowledged_job_outlives_a_kill() {
    let mut deployment = Deployment::start();
    let url = deployment.job_url("00000000000000b1");
    assert_eq!(post(&url, &job()).map(|a| a.0), Some(200));
    deployment.control.signal("-KILL");
    deployment.control.end();
    let file = deployment.folder.path().join("control.json");
    let mut control_conf: Value = serde_json::from_slice(&std::fs::read(file).unwrap()).unwrap();
    control_conf["bootstrap"] = json!(false);
    deployment.control = Process::start("control", deployment.folder.path(), &control_conf);
    let mut seq = 1;
    until("the job's completion after a kill", || {
        seq += 1;
        deployment.report(seq);
        get(&url).filter(|(_, body)| body.contains("completed"))
    });
}

/// Guards against a planned stop that breaks connections, which callers cannot distinguish from
/// a crash. A call without a leader is still open when the grace period ends; it is answered
/// that the outcome is unknown.
#[test]
fn a_planned_stop_answers_the_calls_that_nobody_answered() {
    let folder = tempfile::tempdir().unwrap();
    let at = OwnLoopback::take();
    let mut entry_conf = entry_settings(&at, 1);
    entry_conf["bounds"]["grace_s"] = json!(1);
    let mut entry = Process::start("entry", folder.path(), &entry_conf);
    until("the log line of the start", || {
        entry.logged("serve: an entry instance is up").pop()
    });
    let front = at.address(1, FRONT_PORT);
    let metrics = at.address(1, METRICS_PORT);
    let url = format!("http://{front}/a/00000000000000c1");
    let caller = std::thread::spawn(move || post_within(&url, &job(), "60000"));
    until("the call in the metrics", || {
        let (_, text) = get(&format!("http://{metrics}/metrics"))?;
        text.contains("rosemarygauge_calls_open 1").then_some(())
    });
    assert!(entry.terminate().success());
    let answer = caller.join().unwrap();
    assert_eq!(answer.map(|a| a.0), Some(504));
}

#[test]
fn invalid_settings_end_the_process_with_a_line_for_each_fault() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("wrong.json");
    std::fs::write(&file, "{\"node\": 7}").unwrap();
    let out = Command::new(env!("CARGO_BIN_EXE_rosemarygauge"))
        .args(["platform", "control"])
        .env("ROSEMARYGAUGE_CONFIG", &file)
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(2));
    let text = String::from_utf8(out.stderr).unwrap();
    for field in ["ip", "port_range", "seeds", "node", "heartbeat_ms"] {
        assert!(text.contains(field), "{field}: {text}");
    }
}

/// Guards against an error text for a listener address in use that names neither the address nor
/// the setting and repeats the cause.
#[test]
fn an_address_in_use_is_reported_once_with_its_setting_and_a_remedy() {
    let folder = tempfile::tempdir().unwrap();
    let at = OwnLoopback::take();
    let control: SocketAddr = at.address(1, CONTROL_PORT);
    let _taken = TcpListener::bind(control).unwrap();
    let mut control_conf = settings(&control.ip().to_string(), LINK_PORT);
    control_conf["data_dir"] = json!(folder.path().join("data"));
    let file = folder.path().join("taken.json");
    std::fs::write(&file, control_conf.to_string()).unwrap();
    let out = Command::new(env!("CARGO_BIN_EXE_rosemarygauge"))
        .args(["platform", "control"])
        .env("ROSEMARYGAUGE_CONFIG", &file)
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(2));
    let text = String::from_utf8(out.stderr).unwrap();
    for part in ["listen.control", &control.to_string(), "or end"] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert_eq!(text.matches("in use").count(), 1, "{text}");
}

/// Guards against a SIGHUP or SIGTERM during the start that ends the process without a log line,
/// so that a planned stop looks like a crash. On a slow disk, opening the data folder takes a
/// second or more. Here the start blocks on a policy that is read from a pipe.
#[test]
fn signals_during_the_start_are_handled_after_it() {
    let folder = tempfile::tempdir().unwrap();
    let at = OwnLoopback::take();
    let mut control_conf = settings(&at.address(1, CONTROL_PORT).ip().to_string(), LINK_PORT);
    control_conf["data_dir"] = json!(folder.path().join("data"));
    control_conf["fault_tolerance"] = json!({"machines": 0});
    let pipe = folder.path().join("policy");
    let made = Command::new("mkfifo").arg(&pipe).status().unwrap();
    assert!(made.success());
    let args = [OsStr::new("--policy"), pipe.as_os_str()];
    let mut control = Process::start_with("control", folder.path(), &control_conf, &args);

    // Opening the pipe for writing blocks until the process has opened it for reading.
    let (opened, open) = std::sync::mpsc::channel();
    std::thread::spawn(move || opened.send(std::fs::File::create(pipe)));
    let mut policy = open.recv_timeout(STEP_TIMEOUT).unwrap().unwrap();
    control.signal("-HUP");
    control.signal("-TERM");
    // Writing fails if the signals have ended the process.
    let _ = policy.write_all(b"{}");
    drop(policy);

    let status = control.end();
    assert!(status.success(), "{status}: {:?}", control.output());
    until("the log line of the stop", || {
        let ended = control.logged("serve: stopped");
        (!ended.is_empty()).then_some(())
    });
    assert_eq!(
        control.logged("serve: the settings are read again").len(),
        1
    );
}
