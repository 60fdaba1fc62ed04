//! Stand-in workers: leases by clocks of their own, fencing tokens, ends that stay
//! listed until they are acknowledged, and reports to whichever control instance takes
//! them. Each is behind a link of the proxy, which is where its faults come from.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::StatusCode;
use rosemarygauge::http::{Handler, HttpServer, Incoming, Limits, Reply, json};
use rosemarygauge::proxy::{Hub, Link};
use serde_json::{Value, json};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::http::{Outcome, once, request};
use crate::ledger::{Ledger, STARTUP_MS};
use crate::site::zone_name;

/// How long a stop takes.
const STOP_MS: u64 = 60;
/// How often workers report.
pub const REPORT_MS: u64 = 500;
/// How often their clocks are looked at.
const TICK: Duration = Duration::from_millis(5);
const CPU_MILLI: u64 = 8_000;

struct Going {
    attempt: u32,
    since_ms: u64,
    ends_ms: u64,
    lasting: bool,
    stopping: bool,
    cpu_milli: u64,
}

struct End {
    number: u64,
    task: String,
    attempt: u32,
    how: &'static str,
}

/// One incarnation on a machine.
struct Life {
    name: String,
    pool: String,
    born_ms: u64,
    fence: u64,
    lease_end_ms: u64,
    acknowledged: u64,
    next_end: u64,
    seq: u64,
    going: BTreeMap<String, Going>,
    ended: Vec<End>,
    highest: BTreeMap<String, u32>,
}

/// What is wrong with the tasks on a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sickness {
    #[default]
    None,
    FailsAll,
    StandsStill,
}

struct Machine {
    name: String,
    zone: String,
    rack: String,
    address: SocketAddr,
    life: Option<Life>,
    lives: u64,
    sickness: Sickness,
    /// Orders before this may have been held up.
    doubtful_until_ms: u64,
    wake: Arc<Notify>,
}

/// All machines with their workers.
pub struct Fleet {
    pub ledger: Arc<Ledger>,
    machines: Mutex<Vec<Machine>>,
    links: Vec<Link>,
    controls: Vec<SocketAddr>,
}

impl Fleet {
    /// So many machines in the pools by turns; must be called within the runtime.
    pub fn start(
        ledger: Arc<Ledger>,
        hub: &Hub,
        count: usize,
        zones: usize,
        pools: &[&str],
        controls: Vec<SocketAddr>,
    ) -> Arc<Self> {
        let mut machines = Vec::new();
        let mut links = Vec::new();
        let mut listeners = Vec::new();
        for at in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let link = hub.link(any, listener.local_addr().unwrap()).unwrap();
            machines.push(Machine {
                name: format!("m-{at}"),
                zone: zone_name(at % zones),
                rack: format!("r-{}", at / 4),
                address: link.address(),
                life: None,
                lives: 0,
                sickness: Sickness::None,
                doubtful_until_ms: 0,
                wake: Arc::default(),
            });
            links.push(link);
            listeners.push(listener);
        }
        let fleet = Arc::new(Self {
            ledger,
            machines: Mutex::new(machines),
            links,
            controls,
        });
        for (at, listener) in listeners.into_iter().enumerate() {
            fleet.begin(at, pools[at % pools.len()]);
            let server =
                HttpServer::new("worker", listener, Limits::default(), handler(&fleet, at));
            let (stop, stopped) = watch::channel(false);
            // Workers go on until the test ends.
            std::mem::forget(stop);
            tokio::spawn(server.run(stopped));
            tokio::spawn(report(Arc::clone(&fleet), at));
        }
        tokio::spawn(tick(Arc::clone(&fleet)));
        fleet
    }

    pub fn len(&self) -> usize {
        self.links.len()
    }

    pub fn link(&self, at: usize) -> &Link {
        &self.links[at]
    }

    /// A new incarnation comes up on a machine that has none.
    pub fn begin(&self, at: usize, pool: &str) {
        let now_ms = self.ledger.now_ms();
        let machine = &mut self.machines()[at];
        if machine.life.is_some() {
            return;
        }
        machine.lives += 1;
        machine.life = Some(Life {
            name: format!("i-{at}-{}", machine.lives),
            pool: pool.to_owned(),
            born_ms: now_ms,
            fence: 0,
            lease_end_ms: 0,
            acknowledged: 0,
            next_end: 1,
            seq: 0,
            going: BTreeMap::new(),
            ended: Vec::new(),
            highest: BTreeMap::new(),
        });
    }

    /// The incarnation on a machine is over, with all that runs. Returns its pool.
    pub fn end(&self, at: usize, by_order: Option<&str>) -> Option<String> {
        let mut machines = self.machines();
        let life = machines[at].life.take()?;
        let doubtful = self.ledger.now_ms() < machines[at].doubtful_until_ms;
        drop(machines);
        for (task, going) in &life.going {
            if let Some(by) = by_order
                && going.lasting
                && !doubtful
            {
                self.ledger.taken_away(task, by);
            }
            self.ledger.ended(task, going.attempt, &life.name, false);
        }
        Some(life.pool)
    }

    pub fn set_sick(&self, at: usize, sickness: Sickness) {
        self.machines()[at].sickness = sickness;
    }

    /// Orders to a machine may be held up until some time after now.
    pub fn doubt(&self, at: usize, for_ms: u64) {
        let until_ms = self.ledger.now_ms() + for_ms + 6_000;
        let machine = &mut self.machines()[at];
        machine.doubtful_until_ms = machine.doubtful_until_ms.max(until_ms);
    }

    /// Rows of the keeper's list: machine, pool, incarnation.
    pub fn rows(&self) -> Vec<(String, Option<String>, Option<String>)> {
        let machines = self.machines();
        let row = |m: &Machine| {
            let life = m.life.as_ref();
            (
                m.name.clone(),
                life.map(|l| l.pool.clone()),
                life.map(|l| l.name.clone()),
            )
        };
        machines.iter().map(row).collect()
    }

    fn machines(&self) -> MutexGuard<'_, Vec<Machine>> {
        self.machines.lock().unwrap()
    }

    fn tick(&self) {
        let now_ms = self.ledger.now_ms();
        let mut ended = Vec::new();
        for machine in self.machines().iter_mut() {
            let (sickness, wake) = (machine.sickness, Arc::clone(&machine.wake));
            let Some(life) = &mut machine.life else {
                continue;
            };
            if sickness == Sickness::StandsStill {
                for going in life.going.values_mut() {
                    if !going.stopping {
                        going.ends_ms = going.ends_ms.max(now_ms + 1_000);
                    }
                }
            }
            let lapsed = now_ms - life.born_ms >= life.lease_end_ms;
            let over = |g: &Going| lapsed || now_ms >= g.ends_ms;
            let tasks: Vec<String> = life
                .going
                .iter()
                .filter(|(_, g)| over(g))
                .map(|(task, _)| task.clone())
                .collect();
            for task in tasks {
                let going = life.going.remove(&task).unwrap();
                let how = match (lapsed, going.stopping, sickness) {
                    (true, ..) => "lapsed",
                    (_, true, _) => "stopped",
                    (_, _, Sickness::FailsAll) => "failed",
                    _ => "done",
                };
                ended.push((
                    task.clone(),
                    going.attempt,
                    life.name.clone(),
                    how == "done",
                ));
                life.ended.push(End {
                    number: life.next_end,
                    task,
                    attempt: going.attempt,
                    how,
                });
                life.next_end += 1;
                wake.notify_waiters();
            }
        }
        for (task, attempt, worker, done) in ended {
            self.ledger.ended(&task, attempt, &worker, done);
        }
    }

    /// Carries out an order; none while the machine is down.
    fn order(&self, at: usize, path: &str, wanted: &str, body: &Value) -> Option<(u16, Value)> {
        // Leases that ran out a moment ago end what they held before anything starts.
        self.tick();
        let now_ms = self.ledger.now_ms();
        let mut machines = self.machines();
        let machine = &mut machines[at];
        let (sickness, prompt) = (machine.sickness, now_ms >= machine.doubtful_until_ms);
        let wake = Arc::clone(&machine.wake);
        let life = machine.life.as_mut()?;
        if wanted != life.name {
            return Some((421, json!({})));
        }
        let clock_ms = now_ms - life.born_ms;
        let number = |field: &str| body[field].as_u64();
        let rejected = |reason: &str| Some((409, json!({"clock_ms": clock_ms, "reason": reason})));
        let fence = number("fencing_token").unwrap_or(0);
        if fence < life.fence {
            return rejected("fence");
        }
        life.fence = fence;
        if let Some(end_ms) = number("deadline_ms") {
            life.lease_end_ms = life.lease_end_ms.max(end_ms.min(clock_ms + 10_000));
        }
        let task = body["task"].as_str().unwrap_or("").to_owned();
        let attempt = number("attempt").unwrap_or(0) as u32;
        match path {
            "/run-start" => {
                if life.going.get(&task).is_some_and(|g| g.attempt == attempt) {
                    return Some((200, json!({"clock_ms": clock_ms})));
                }
                if number("deadline_ms").is_none_or(|end_ms| end_ms <= clock_ms) {
                    return rejected("late");
                }
                let highest = life.highest.get(&task).copied().unwrap_or(0);
                if attempt <= highest || life.going.contains_key(&task) {
                    return rejected("old");
                }
                let Some(spec) = self.ledger.step(&task) else {
                    self.ledger
                        .broken(format!("task {task} is of no known job"));
                    return Some((400, json!({})));
                };
                let taken: u64 = life.going.values().map(|g| g.cpu_milli).sum();
                if taken + spec.cpu_milli > CPU_MILLI {
                    return rejected("room");
                }
                life.highest.insert(task.clone(), attempt);
                let ends_ms = match (sickness, spec.lasting) {
                    (Sickness::FailsAll, _) => now_ms + 5,
                    (_, true) => u64::MAX,
                    (_, false) => now_ms + spec.run_ms,
                };
                let going = Going {
                    attempt,
                    since_ms: now_ms,
                    ends_ms,
                    lasting: spec.lasting,
                    stopping: false,
                    cpu_milli: spec.cpu_milli,
                };
                life.going.insert(task.clone(), going);
                let worker = life.name.clone();
                drop(machines);
                self.ledger.started(&task, attempt, &worker, prompt);
                Some((200, json!({"clock_ms": clock_ms})))
            }
            "/run-stop" => {
                let highest = life.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(attempt);
                let mut taken_away = false;
                if let Some(going) = life.going.get_mut(&task)
                    && going.attempt == attempt
                    && !going.stopping
                {
                    going.stopping = true;
                    going.ends_ms = now_ms + STOP_MS;
                    taken_away = going.lasting && sickness == Sickness::None && prompt;
                }
                drop(machines);
                if taken_away {
                    self.ledger.taken_away(&task, "a stop");
                }
                Some((200, json!({"clock_ms": clock_ms})))
            }
            "/pace" => Some((200, json!({"clock_ms": clock_ms}))),
            "/hold" => {
                let acknowledged = number("ack_seq").unwrap_or(0);
                life.acknowledged = life.acknowledged.max(acknowledged);
                let (noted, left): (Vec<End>, Vec<End>) = std::mem::take(&mut life.ended)
                    .into_iter()
                    .partition(|end| end.number <= acknowledged);
                life.ended = left;
                drop(machines);
                for end in noted.iter().filter(|end| end.how == "done") {
                    self.ledger.done_acknowledged(&end.task);
                }
                wake.notify_waiters();
                None
            }
            _ => Some((404, json!({}))),
        }
    }

    /// What a worker lists; none if it is not the incarnation that was asked.
    fn listing(&self, at: usize, wanted: &str, only_ends: bool) -> Option<Value> {
        let now_ms = self.ledger.now_ms();
        let machines = self.machines();
        let machine = &machines[at];
        let life = machine.life.as_ref().filter(|life| life.name == wanted)?;
        if only_ends && life.ended.is_empty() {
            return None;
        }
        let percent = |g: &Going| {
            let passed_ms = now_ms - g.since_ms;
            match (g.lasting, machine.sickness) {
                (true, _) => (passed_ms * 100 / STARTUP_MS).min(100),
                (false, Sickness::StandsStill) => 3,
                (false, _) => (passed_ms * 100 / (g.ends_ms - g.since_ms).max(1)).min(99),
            }
        };
        let running = life.going.iter();
        let running: Vec<Value> = running
            .map(|(task, g)| json!([task, g.attempt, "", percent(g), 900]))
            .collect();
        let ended = life.ended.iter().take(500);
        let finished: Vec<Value> = ended
            .map(|e| json!([e.number, e.task, e.attempt, e.how, ""]))
            .collect();
        let clock_ms = now_ms - life.born_ms;
        Some(json!({"clock_ms": clock_ms, "running": running, "finished": finished}))
    }

    fn report_body(&self, at: usize) -> Option<(String, Value)> {
        let now_ms = self.ledger.now_ms();
        let mut machines = self.machines();
        let machine = &mut machines[at];
        let life = machine.life.as_mut()?;
        life.seq += 1;
        let body = json!({
            "service": life.pool, "address": machine.address.to_string(), "zone": machine.zone,
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": CPU_MILLI, "mem_mb": 64_000, "gpu": 0},
            "labels": ["a", machine.rack], "machine": machine.name, "seq": life.seq,
            "clock_ms": now_ms - life.born_ms,
        });
        Some((life.name.clone(), body))
    }
}

fn handler(fleet: &Arc<Fleet>, at: usize) -> Handler {
    rosemarygauge::http::handler(Arc::clone(fleet), move |fleet, incoming| async move {
        answer(&fleet, at, incoming).await
    })
}

async fn answer(fleet: &Fleet, at: usize, incoming: Incoming) -> Reply {
    let reply = |status: u16, body: &Value| json(StatusCode::from_u16(status).unwrap(), body);
    let wanted = incoming.header("expect-instance").unwrap_or("").to_owned();
    let body: Value = serde_json::from_slice(&incoming.body).unwrap_or_default();
    let path = incoming.head.uri.path();
    if let Some((status, body)) = fleet.order(at, path, &wanted, &body) {
        return reply(status, &body);
    }
    let wake = Arc::clone(&fleet.machines()[at].wake);
    let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2_000));
    let ends = async {
        loop {
            let woken = wake.notified();
            if let Some(listing) = fleet.listing(at, &wanted, true) {
                return listing;
            }
            woken.await;
        }
    };
    let listing = timeout(wait, ends).await.ok();
    match listing.or_else(|| fleet.listing(at, &wanted, false)) {
        Some(listing) => reply(200, &listing),
        None => reply(421, &json!({})),
    }
}

async fn tick(fleet: Arc<Fleet>) {
    loop {
        tokio::time::sleep(TICK).await;
        fleet.tick();
    }
}

/// Reports go to the address that the last answer named, else to the next one.
async fn report(fleet: Arc<Fleet>, at: usize) {
    let mut next = at;
    let mut named: Option<SocketAddr> = None;
    loop {
        if let Some((worker, body)) = fleet.report_body(at) {
            let to = named.unwrap_or(fleet.controls[next % fleet.controls.len()]);
            let path = format!("/Instances.Heartbeat/{worker}");
            let report = request("POST", "control", &path, Some(&body));
            named = match once(to, report, 1_000).await {
                Outcome::Answer(200, answer) => {
                    let answer: Value = serde_json::from_slice(&answer).unwrap_or_default();
                    answer["heartbeat_addr"]
                        .as_str()
                        .and_then(|a| a.parse().ok())
                }
                _ => {
                    next += 1;
                    None
                }
            };
        }
        tokio::time::sleep(Duration::from_millis(REPORT_MS)).await;
    }
}
