use rosemarygauge::account::fetch_runs;
use rosemarygauge::upstream::RunRecord;
use serde_json::Value;

use super::{Process, agent};

/// A process of stand-in upstreams.
pub struct Upstreams {
    pub process: Process,
    pub control: String,
}

impl Upstreams {
    /// Starts it with the arguments of `upstream`.
    pub fn start(args: &[&str]) -> Self {
        let process = Process::start(&[&["upstream"], args].concat());
        let control = process.ready["control"].as_str().unwrap().to_owned();
        Self { process, control }
    }

    pub fn runs(&self) -> Vec<RunRecord> {
        fetch_runs(std::slice::from_ref(&self.control)).unwrap()
    }

    /// What an instance does now.
    pub fn instance(&self, name: &str) -> Value {
        let url = format!("http://{}/instances", self.control);
        let mut reply = agent(5_000).get(url).call().unwrap();
        let all: Vec<Value> = reply.body_mut().read_json().unwrap();
        all.into_iter().find(|i| i["name"] == name).unwrap()
    }

    pub fn set_faults(&self, instances: &[&str], faults: Value) {
        let body = serde_json::json!({ "instances": instances, "faults": faults });
        self.post("faults", &body);
    }

    pub fn leave(&self, instances: &[&str]) {
        self.post("leave", &serde_json::json!({ "instances": instances }));
    }

    fn post(&self, path: &str, body: &Value) {
        let url = format!("http://{}/{path}", self.control);
        let reply = agent(5_000).post(url).send_json(body).unwrap();
        assert!(reply.status().is_success(), "{path}: {}", reply.status());
    }
}

/// The control addresses of some processes.
pub fn controls(ups: &[Upstreams]) -> Vec<&str> {
    ups.iter().map(|up| up.control.as_str()).collect()
}
