//! A minimal stand-in for a worker of the platform. It serves the requests of a control
//! instance, simulates the runs of tasks by its own clock, and builds its heartbeat reports.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use serde_json::{Value, json};

#[derive(Default)]
struct Runs {
    fence: u64,
    lease_end_ms: u64,
    running_since: BTreeMap<String, (u64, u64)>,
    ended: Vec<(u64, String, u64)>,
    last_number: u64,
    /// Task of every start that was executed.
    started: Vec<String>,
}

#[derive(Clone)]
pub struct StandIn {
    pub name: String,
    pub address: SocketAddr,
    runs: Arc<Mutex<Runs>>,
    start: Instant,
}

/// Duration of a task's run, in milliseconds.
const RUN_MS: u64 = 120;

impl StandIn {
    pub fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Self {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            runs: Arc::default(),
            start: Instant::now(),
        };
        let serving = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                std::thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    /// Returns the task of every start that was executed.
    pub fn started(&self) -> Vec<String> {
        self.runs.lock().unwrap().started.clone()
    }

    pub fn report(&self, seq: u64) -> Value {
        json!({
            "service": "pool-a", "address": self.address.to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 0},
            "labels": ["a", "r1"], "machine": format!("m-{}", self.name), "seq": seq,
            "clock_ms": self.clock_ms(),
        })
    }

    fn clock_ms(&self) -> u64 {
        9_000 + self.start.elapsed().as_millis() as u64
    }

    fn serve(&self, stream: TcpStream) {
        let mut rdr = BufReader::new(stream.try_clone().unwrap());
        let mut wtr = stream;
        while let Some((path, headers, body)) = read_request(&mut rdr) {
            let other = headers
                .get("expect-instance")
                .is_some_and(|id| *id != self.name);
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            let (status, answer) = match other {
                true => (421, json!({})),
                false => self.answer(&path, &body),
            };
            let text = answer.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
                text.len()
            );
            if wtr
                .write_all(head.as_bytes())
                .and_then(|()| wtr.write_all(text.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, path: &str, body: &Value) -> (u16, Value) {
        let clock_ms = self.clock_ms();
        let number = |field: &str| body[field].as_u64().unwrap_or(0);
        let mut runs = self.runs.lock().unwrap();
        if number("fencing_token") < runs.fence {
            return (409, json!({"clock_ms": clock_ms, "reason": "fence"}));
        }
        runs.fence = number("fencing_token");
        runs.lease_end_ms = runs.lease_end_ms.max(number("deadline_ms"));
        let task = body["task"].as_str().unwrap_or("").to_owned();
        match path {
            "/run-start" => {
                if !runs.running_since.contains_key(&task) {
                    runs.started.push(task.clone());
                    runs.running_since
                        .insert(task, (number("attempt"), clock_ms));
                }
                (200, json!({"clock_ms": clock_ms}))
            }
            "/run-stop" | "/pace" => (200, json!({"clock_ms": clock_ms})),
            "/hold" => {
                let acked = number("ack_seq");
                drop(runs);
                // Polls for an ended run. It waits at most 60 ms, because it has no wake-up.
                self.wait_for_end(number("wait_ms").min(60));
                let mut runs = self.runs.lock().unwrap();
                runs.ended.retain(|(n, ..)| *n > acked);
                (200, runs.listing(self.clock_ms()))
            }
            _ => (404, json!({})),
        }
    }

    fn wait_for_end(&self, wait_ms: u64) {
        let until = Instant::now() + std::time::Duration::from_millis(wait_ms);
        while Instant::now() < until {
            let clock_ms = self.clock_ms();
            if self.runs.lock().unwrap().end_due(clock_ms) {
                return;
            }
            std::thread::yield_now();
        }
    }
}

impl Runs {
    /// Ends the runs whose time is over. Returns whether there were any.
    fn end_due(&mut self, clock_ms: u64) -> bool {
        let due: Vec<String> = self
            .running_since
            .iter()
            .filter(|(_, (_, since))| clock_ms >= since + RUN_MS)
            .map(|(task, _)| task.clone())
            .collect();
        for task in &due {
            let (attempt, _) = self.running_since.remove(task).unwrap();
            self.last_number += 1;
            self.ended.push((self.last_number, task.clone(), attempt));
        }
        !due.is_empty()
    }

    fn listing(&self, clock_ms: u64) -> Value {
        let running = self.running_since.iter();
        let running: Vec<Value> = running
            .map(|(task, (attempt, _))| json!([task, attempt, "", 50, 900]))
            .collect();
        let ended = self.ended.iter();
        let finished: Vec<Value> = ended
            .map(|(n, task, attempt)| json!([n, task, attempt, "done", ""]))
            .collect();
        json!({"clock_ms": clock_ms, "running": running, "finished": finished})
    }
}

pub type Headers = BTreeMap<String, String>;

pub fn read_request(rdr: &mut impl BufRead) -> Option<(String, Headers, Vec<u8>)> {
    let mut line = String::new();
    rdr.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let path = line.split(' ').nth(1)?.to_owned();
    let mut headers = Headers::new();
    loop {
        let mut line = String::new();
        rdr.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    rdr.read_exact(&mut body).ok()?;
    Some((path, headers, body))
}
