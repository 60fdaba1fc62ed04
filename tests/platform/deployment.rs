//! A control instance, an entry instance and stand-in workers as separate processes on loopback.
// Each test program uses a part of it.
#![allow(dead_code)]

use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::own_loopback::OwnLoopback;
use crate::stand_in::StandIn;

/// Timeout of each step, longer than any takes on a busy machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(60);

pub struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    pub fn start(role: &str, folder: &Path, settings: &Value) -> Self {
        Self::start_with(role, folder, settings, &[])
    }

    pub fn start_with(role: &str, folder: &Path, settings: &Value, args: &[&OsStr]) -> Self {
        let file = folder.join(format!("{role}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_rosemarygauge"))
            .args(["platform", role])
            .args(args)
            .env("ROSEMARYGAUGE_CONFIG", &file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let stdout = BufReader::new(child.stdout.take().unwrap());
        let kept = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in stdout.lines().map_while(Result::ok) {
                kept.lock().unwrap().push(line);
            }
        });
        Self { child, lines }
    }

    pub fn logged(&self, message: &str) -> Vec<Value> {
        let lines = self.lines.lock().unwrap();
        let parsed = lines.iter().map(|line| {
            serde_json::from_str::<Value>(line).unwrap_or_else(|_| panic!("no JSON: {line}"))
        });
        parsed.filter(|line| line["message"] == message).collect()
    }

    /// Returns all that it has written so far.
    pub fn output(&self) -> String {
        self.lines.lock().unwrap().join("\n")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status().unwrap();
        assert!(sent.success());
    }

    pub fn terminate(&mut self) -> std::process::ExitStatus {
        self.signal("-TERM");
        self.end()
    }

    pub fn end(&mut self) -> std::process::ExitStatus {
        let end = Instant::now() + STEP_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(Instant::now() < end, "the process did not stop");
            std::thread::yield_now();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(Duration::from_secs(5)))
        .build()
        .into()
}

pub fn post(url: &str, body: &Value) -> Option<(u16, String)> {
    post_within(url, body, "3000")
}

pub fn post_within(url: &str, body: &Value, deadline_ms: &str) -> Option<(u16, String)> {
    let sent = agent()
        .post(url)
        .header("host", "h.example")
        .header("content-type", "application/json")
        .header("deadline-ms", deadline_ms)
        .send(body.to_string());
    let mut answer = sent.ok()?;
    Some((
        answer.status().as_u16(),
        answer.body_mut().read_to_string().ok()?,
    ))
}

pub fn get(url: &str) -> Option<(u16, String)> {
    let mut answer = agent().get(url).header("host", "h.example").call().ok()?;
    Some((
        answer.status().as_u16(),
        answer.body_mut().read_to_string().ok()?,
    ))
}

/// Waits until `cond` returns a value.
pub fn until<T>(what: &str, mut cond: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + STEP_TIMEOUT;
    loop {
        if let Some(found) = cond() {
            return found;
        }
        assert!(Instant::now() < end, "timed out waiting for {what}");
        std::thread::yield_now();
    }
}

pub const LINK_PORT: u16 = 7_000;
pub const CONTROL_PORT: u16 = LINK_PORT + 1;
pub const FRONT_PORT: u16 = 7_003;
pub const READY_PORT: u16 = 7_004;
/// Port of the metrics endpoint, as in the deploy file.
pub const METRICS_PORT: u16 = 9_464;

/// Returns the settings of a control instance.
pub fn settings(ip: &str, port: u16) -> Value {
    json!({
        "node": "core-a-1",
        "ip": ip,
        "port_range": [port, port + 9],
        "seeds": [format!("{ip}:{}", port + 1)],
        "bootstrap": true,
        "data_dir": null,
        "listen": {"control": format!("{ip}:{}", port + 1)},
        "limits": {"memory_mb": 256},
        "fault_tolerance": {"machines": 1, "zones": 1},
        "heartbeat_ms": 500,
        "bounds": {
            "max_hold_ms": 10000, "stop_timeout_ms": 400, "status_s": 120,
            "maintenance_s": 2, "grace_s": 6, "early_ms": 250, "notice_ms": 4500,
        },
        "cloud": null,
        "advice": null,
        "a_field_of_tomorrow": {"x": 1},
    })
}

/// Returns the settings of an entry instance at an address.
pub fn entry_settings(at: &OwnLoopback, last: u8) -> Value {
    let front = at.address(last, FRONT_PORT);
    let mut entry_conf = settings(&front.ip().to_string(), LINK_PORT);
    entry_conf["listen"] = json!({ "front": front, "ready": at.address(last, READY_PORT) });
    entry_conf
}

pub struct Deployment {
    pub control: Process,
    pub entry: Process,
    pub control_url: String,
    pub entry_url: String,
    pub ready_url: String,
    pub workers: Vec<StandIn>,
    pub folder: tempfile::TempDir,
    _addresses: OwnLoopback,
}

impl Deployment {
    /// Starts a control instance that is its own quorum, an entry instance and two workers, and
    /// applies a configuration. Both instances have their own loopback addresses.
    pub fn start() -> Self {
        Self::start_with(|_, _| {})
    }

    /// Starts the same after `adjust` has changed the settings of the control and the entry
    /// instance.
    pub fn start_with(adjust: impl FnOnce(&mut Value, &mut Value)) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let at = OwnLoopback::take();
        let control = at.address(1, CONTROL_PORT);
        let mut control_conf = settings(&control.ip().to_string(), LINK_PORT);
        control_conf["data_dir"] = json!(folder.path().join("data"));
        control_conf["fault_tolerance"] = json!({"machines": 0});
        let mut entry_conf = entry_settings(&at, 2);
        entry_conf["seeds"] = control_conf["seeds"].clone();
        adjust(&mut control_conf, &mut entry_conf);
        let deployment = Self {
            control: Process::start("control", folder.path(), &control_conf),
            entry: Process::start("entry", folder.path(), &entry_conf),
            control_url: format!("http://{control}"),
            entry_url: format!("http://{}", at.address(2, FRONT_PORT)),
            ready_url: format!("http://{}/readyz", at.address(2, READY_PORT)),
            workers: (0..2).map(|n| StandIn::start(&format!("i-{n}"))).collect(),
            folder,
            _addresses: at,
        };
        until("a configuration in force", || {
            let url = format!("{}/Config.Replace", deployment.control_url);
            post(&url, &configuration()).filter(|(status, _)| *status == 200)
        });
        deployment.report(1);
        until("the entry instance's readiness", || {
            get(&deployment.ready_url).filter(|(status, _)| *status == 200)
        });
        deployment
    }

    pub fn report(&self, seq: u64) {
        for worker in &self.workers {
            let url = format!("{}/Instances.Heartbeat/{}", self.control_url, worker.name);
            until("an accepted report", || {
                post(&url, &worker.report(seq)).filter(|(status, _)| *status == 200)
            });
        }
    }

    pub fn job_url(&self, id: &str) -> String {
        format!("{}/a/{id}", self.entry_url)
    }
}

pub fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": [{"name": "q", "host": "h.example", "path_prefix": "/a/", "kind": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 600, "priority": 0, "service": "pool-a",
            "max_attempts": 3, "slack_factor": 1.6}],
        "services": [{"name": "pool-a", "health_path": "/healthz", "standby": false}],
        "limits": {},
    })
}

pub fn job() -> Value {
    json!({"spec": "x", "phases": [
        {"count": 6, "cpu": 1000, "mem_mb": 100, "estimate_ms": 120},
        {"count": 2, "cpu": 1000, "mem_mb": 100, "estimate_ms": 120, "depends_on": [0]},
    ]})
}
