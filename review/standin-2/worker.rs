//! Stand-in workers and the stand-in for the platform's machines, as the pages describe them.
//!
//! What a subtask does is in its `spec`: `work=MS` ends `done` after that time, `lasts` is at
//! work half a second after its start and runs until it is stopped; `cpu=N` is its demand;
//! `gang=N` is one of N that work only together.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use crate::http::{self, Request};
use crate::json::Json;
use crate::record::Record;

pub const MAX_HOLD_MS: u64 = 10_000;
pub const HEARTBEAT_MS: u64 = 1_500;
pub const MAINTENANCE_MS: u64 = 2_000;
const STOP_MS: u64 = 100;
const STARTUP_MS: u64 = 500;
const GANG_TIMEOUT_MS: u64 = 3_000;

/// The gangs of all workers: who is present, and which have broken up.
#[derive(Default)]
pub struct Gangs {
    /// Members that are present, and when the last one came, by step and run.
    present: Mutex<BTreeMap<(String, u64), (BTreeSet<String>, Option<u64>)>>,
    broken: Mutex<BTreeSet<(String, u64)>>,
}

fn gang_of(task: &str, attempt: u64) -> (String, u64) {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    (step.to_owned(), attempt)
}

impl Gangs {
    fn join(&self, task: &str, attempt: u64, size: u64, now_ms: u64) {
        let mut present = self.present.lock().unwrap();
        let (members, whole_ms) = present.entry(gang_of(task, attempt)).or_default();
        members.insert(task.to_owned());
        if members.len() as u64 >= size {
            whole_ms.get_or_insert(now_ms);
        }
    }

    fn whole_ms(&self, task: &str, attempt: u64) -> Option<u64> {
        let present = self.present.lock().unwrap();
        present.get(&gang_of(task, attempt)).and_then(|(_, whole_ms)| *whole_ms)
    }

    fn break_up(&self, task: &str, attempt: u64) {
        self.broken.lock().unwrap().insert(gang_of(task, attempt));
    }

    fn is_broken(&self, task: &str, attempt: u64) -> bool {
        self.broken.lock().unwrap().contains(&gang_of(task, attempt))
    }
}

struct Run {
    attempt: u64,
    cpu: u64,
    since_ms: u64,
    /// How long it works; `None` if it lasts.
    work_ms: Option<u64>,
    gang: Option<u64>,
    stopped_ms: Option<u64>,
}

impl Run {
    /// When it ends `done`.
    fn ends_ms(&self, task: &str, gangs: &Gangs) -> Option<u64> {
        let began_ms = match self.gang {
            Some(_) => gangs.whole_ms(task, self.attempt)?,
            None => self.since_ms,
        };
        Some(began_ms + self.work_ms?)
    }

    fn lasts_at_work(&self, now_ms: u64) -> bool {
        let is_up = now_ms >= self.since_ms + STARTUP_MS;
        self.work_ms.is_none() && self.stopped_ms.is_none() && is_up
    }
}

/// One boot of a worker.
pub struct Life {
    pub id: String,
    born_ms: u64,
    fence: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    highest: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    pub draining: bool,
    pub drain_acked_ms: Option<u64>,
}

pub struct Machine {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub kind: String,
    pub rack: String,
    pub cpu: u64,
    pub address: SocketAddr,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    lives: Mutex<u64>,
    seq: Mutex<u64>,
    target: Mutex<Option<SocketAddr>>,
    /// Whether it answers 503 to every start, and does nothing.
    pub unhealthy: AtomicBool,
    controls: Vec<SocketAddr>,
    record: Arc<Record>,
    gangs: Arc<Gangs>,
    /// The advisor whose tickets a start must carry, if there is one.
    advisor: Option<Arc<Advisor>>,
    /// Starts that a worker carried out: time, task, worker.
    pub starts: Mutex<Vec<(u64, String, String)>>,
}

impl Machine {
    pub fn start(
        name: &str,
        (service, kind, rack): (&str, &str, &str),
        cpu: u64,
        listener: TcpListener,
        controls: Vec<SocketAddr>,
        (gangs, advisor): (Arc<Gangs>, Option<Arc<Advisor>>),
        record: Arc<Record>,
    ) -> Arc<Self> {
        let machine = Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: "hall-a".to_owned(),
            kind: kind.to_owned(),
            rack: rack.to_owned(),
            cpu,
            address: listener.local_addr().expect("a bound listener"),
            life: Mutex::new(None),
            changed: Condvar::new(),
            lives: Mutex::new(0),
            seq: Mutex::new(0),
            target: Mutex::new(None),
            unhealthy: AtomicBool::new(false),
            controls,
            record,
            gangs,
            advisor,
            starts: Mutex::new(Vec::new()),
        });
        machine.boot();
        let served = Arc::clone(&machine);
        http::serve(listener, Arc::new(move |request| served.answer(request)));
        let reporting = Arc::clone(&machine);
        std::thread::spawn(move || {
            loop {
                reporting.report();
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        let ticking = Arc::clone(&machine);
        std::thread::spawn(move || {
            loop {
                ticking.tick();
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        machine
    }

    pub fn life(&self) -> MutexGuard<'_, Option<Life>> {
        self.life.lock().unwrap()
    }

    /// A new boot comes up, with a new id.
    pub fn boot(&self) {
        let mut lives = self.lives.lock().unwrap();
        *lives += 1;
        let id = format!("i-{}-{}", self.name, *lives);
        self.record.line(&format!("worker {id} of machine {} boots", self.name));
        *self.seq.lock().unwrap() = 0;
        *self.life() = Some(Life {
            id,
            born_ms: self.record.now_ms(),
            fence: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            highest: BTreeMap::new(),
            finished: Vec::new(),
            next_end: 1,
            draining: false,
            drain_acked_ms: None,
        });
    }

    /// The boot ends, with all that runs on it. Returns its lasting subtasks that were at work.
    pub fn end(&self) -> Vec<String> {
        let now_ms = self.record.now_ms();
        let ended = self.life().take();
        self.changed.notify_all();
        let Some(life) = ended else {
            return Vec::new();
        };
        for (task, run) in life.runs.iter().filter(|(_, run)| run.gang.is_some()) {
            self.gangs.break_up(task, run.attempt);
        }
        let lasting = life.runs.iter().filter(|(_, run)| run.lasts_at_work(now_ms));
        let lasting: Vec<String> = lasting.map(|(task, _)| task.clone()).collect();
        self.record.line(&format!(
            "worker {} ends; subtasks at work that end with it: {lasting:?}",
            life.id
        ));
        lasting
    }

    /// Lasting subtasks that are at work.
    pub fn lasting_at_work(&self) -> Vec<String> {
        let now_ms = self.record.now_ms();
        let life = self.life();
        let runs = life.iter().flat_map(|life| &life.runs);
        let at_work = runs.filter(|(_, run)| run.lasts_at_work(now_ms));
        at_work.map(|(task, _)| task.clone()).collect()
    }

    /// The processor demand of what runs, of which jobs.
    pub fn used(&self) -> Vec<(String, u64)> {
        let life = self.life();
        let runs = life.iter().flat_map(|life| &life.runs);
        runs.map(|(task, run)| (task.clone(), run.cpu)).collect()
    }

    pub fn running(&self) -> usize {
        self.life().as_ref().map_or(0, |life| life.runs.len())
    }

    pub fn id(&self) -> Option<String> {
        self.life().as_ref().map(|life| life.id.clone())
    }

    /// Where it sends its reports.
    pub fn report_target(&self) -> Option<SocketAddr> {
        *self.target.lock().unwrap()
    }

    /// The next status report, as bytes of a request.
    pub fn next_report(&self, host: SocketAddr) -> Option<(String, bool, u64)> {
        let life = self.life();
        let life = life.as_ref()?;
        let mut seq = self.seq.lock().unwrap();
        *seq += 1;
        let state = if life.draining { "draining" } else { "ready" };
        let remaining = if life.draining { ",\"remaining_ms\":2000" } else { "" };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\
             \"gpu\":0}},\"labels\":[\"{}\",\"{}\"],\"machine\":\"{}\",\"clock_ms\":{},\"seq\":{}{remaining}}}",
            self.service,
            self.address,
            self.zone,
            self.cpu,
            self.kind,
            self.rack,
            self.name,
            self.record.now_ms() - life.born_ms,
            *seq
        );
        let path = format!("/Instances.Heartbeat/{}", life.id);
        let bytes = http::request("POST", &host.to_string(), &path, &body);
        Some((bytes, life.draining, *seq))
    }

    /// Sends a status report, to the next daemon if one does not answer within a second.
    pub fn report(&self) {
        let first = self.report_target();
        let others = self.controls.iter().copied().filter(|c| Some(*c) != first);
        for to in first.into_iter().chain(others) {
            let Some((bytes, draining, seq)) = self.next_report(to) else {
                return;
            };
            let Some((200, body)) = http::send(to, &bytes, 1_000) else {
                *self.target.lock().unwrap() = None;
                continue;
            };
            let named = Json::parse(&body);
            let named = named.as_ref().and_then(|b| b.text("heartbeat_addr"));
            let next = named.and_then(|text| text.parse().ok()).unwrap_or(to);
            *self.target.lock().unwrap() = Some(next);
            let now_ms = self.record.now_ms();
            if let Some(life) = self.life().as_mut()
                && draining
                && life.draining
                && life.drain_acked_ms.is_none()
            {
                life.drain_acked_ms = Some(now_ms);
                self.record.line(&format!(
                    "worker {}: report {seq} (draining) is acknowledged by {to}",
                    life.id
                ));
            }
            return;
        }
    }

    fn tick(&self) {
        let now_ms = self.record.now_ms();
        let mut life = self.life();
        let Some(life) = life.as_mut() else {
            return;
        };
        let lapsed = now_ms - life.born_ms >= life.lease_end_ms;
        let mut ended = Vec::new();
        for (task, run) in &life.runs {
            let how = if lapsed {
                "lapsed"
            } else if run.stopped_ms.is_some_and(|at| now_ms >= at + STOP_MS) {
                "stopped"
            } else if run.stopped_ms.is_some() {
                continue;
            } else if run.ends_ms(task, &self.gangs).is_some_and(|at| now_ms >= at) {
                "done"
            } else if run.gang.is_some() && self.gangs.is_broken(task, run.attempt) {
                "broken"
            } else if run.gang.is_some()
                && self.gangs.whole_ms(task, run.attempt).is_none()
                && now_ms >= run.since_ms + GANG_TIMEOUT_MS
            {
                "alone"
            } else {
                continue;
            };
            ended.push((task.clone(), run.attempt, how));
        }
        for (task, attempt, how) in ended {
            let run = life.runs.remove(&task);
            if how != "done" && run.is_some_and(|run| run.gang.is_some()) {
                self.gangs.break_up(&task, attempt);
            }
            let number = life.next_end;
            life.next_end += 1;
            self.record.line(&format!("worker {}: {task} run {attempt} ends {how}", life.id));
            life.finished.push((number, task, attempt, how));
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        self.tick();
        let wanted = request.header("expect-instance").unwrap_or("").to_owned();
        let body = Json::parse(&request.body)?;
        let now_ms = self.record.now_ms();
        let mut guard = self.life();
        let life = guard.as_mut()?;
        let clock_ms = now_ms - life.born_ms;
        let done = format!("{{\"clock_ms\":{clock_ms}}}");
        if !wanted.is_empty() && wanted != life.id {
            return Some((421, done));
        }
        let rejected =
            |reason: &str| Some((409, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}")));
        let unhealthy = self.unhealthy.load(Ordering::SeqCst);
        if request.path == "/run-start" && unhealthy {
            let task = body.text("task").unwrap_or("");
            self.record.line(&format!("worker {}: start of {task} is answered 503", life.id));
            return Some((503, done));
        }
        let fence = body.number("fencing_token").unwrap_or(0);
        if fence < life.fence {
            return rejected("fence");
        }
        life.fence = fence;
        let deadline_ms = body.number("deadline_ms");
        if let Some(end_ms) = deadline_ms {
            life.lease_end_ms = life.lease_end_ms.max(end_ms.min(clock_ms + MAX_HOLD_MS));
        }
        let task = body.text("task").unwrap_or("").to_owned();
        let attempt = body.number("attempt").unwrap_or(0);
        match request.path.as_str() {
            "/run-start" => {
                if life.runs.get(&task).is_some_and(|run| run.attempt == attempt) {
                    return Some((200, done));
                }
                if deadline_ms.is_none_or(|end_ms| end_ms <= clock_ms) {
                    return rejected("late");
                }
                let highest = life.highest.get(&task).copied().unwrap_or(0);
                if attempt <= highest || life.runs.contains_key(&task) {
                    return rejected("old");
                }
                if let Some(advisor) = &self.advisor
                    && !advisor.is_valid(body.text("ticket"), &task, &life.id, now_ms)
                {
                    self.record.line(&format!("worker {}: {task} has no valid ticket", life.id));
                    return rejected("ticket");
                }
                let spec = body.text("spec").unwrap_or("");
                let word = |name: &str| {
                    let found = spec.split(' ').find_map(|word| word.strip_prefix(name));
                    found.and_then(|value| value.parse::<u64>().ok())
                };
                let cpu = word("cpu=").unwrap_or(0);
                let used: u64 = life.runs.values().map(|run| run.cpu).sum();
                if used + cpu > self.cpu {
                    return rejected("room");
                }
                life.highest.insert(task.clone(), attempt);
                let run = Run {
                    attempt,
                    cpu,
                    since_ms: now_ms,
                    work_ms: word("work="),
                    gang: word("gang="),
                    stopped_ms: None,
                };
                if let Some(size) = run.gang {
                    self.gangs.join(&task, attempt, size, now_ms);
                }
                life.runs.insert(task.clone(), run);
                self.record.line(&format!("worker {}: {task} run {attempt} starts", life.id));
                self.starts
                    .lock()
                    .unwrap()
                    .push((now_ms, task, life.id.clone()));
                Some((200, done))
            }
            "/run-stop" => {
                let highest = life.highest.entry(task.clone()).or_insert(0);
                *highest = (*highest).max(attempt);
                if let Some(run) = life.runs.get_mut(&task)
                    && run.attempt <= attempt
                {
                    run.stopped_ms.get_or_insert(now_ms);
                    self.record.line(&format!("worker {}: {task} is told to stop", life.id));
                }
                Some((200, done))
            }
            "/hold" => {
                let id = life.id.clone();
                let ack = body.number("ack_seq").unwrap_or(0);
                life.finished.retain(|(number, ..)| *number > ack);
                let wait_ms = body.number("wait_ms").unwrap_or(0).min(2_000);
                let until_ms = now_ms + wait_ms;
                loop {
                    let life = guard.as_ref().filter(|life| life.id == id)?;
                    let now_ms = self.record.now_ms();
                    if !life.finished.is_empty() || now_ms >= until_ms {
                        return Some((200, listing(life, &self.gangs, now_ms)));
                    }
                    let left = Duration::from_millis(until_ms - now_ms);
                    guard = self.changed.wait_timeout(guard, left).unwrap().0;
                }
            }
            "/pace" => Some((200, done)),
            _ => Some((404, done)),
        }
    }
}

fn listing(life: &Life, gangs: &Gangs, now_ms: u64) -> String {
    let running = life.runs.iter().map(|(task, run)| {
        let percent = match (run.work_ms, run.ends_ms(task, gangs)) {
            (None, _) => (now_ms - run.since_ms) * 100 / STARTUP_MS,
            (Some(_), None) => 0,
            (Some(work_ms), Some(end_ms)) => {
                100 - end_ms.saturating_sub(now_ms).min(work_ms) * 100 / work_ms.max(1)
            }
        };
        format!("[\"{task}\",{},\"\",{},{}]", run.attempt, percent.min(100), run.cpu)
    });
    let running: Vec<String> = running.collect();
    let finished = life.finished.iter().take(500);
    let finished: Vec<String> = finished
        .map(|(number, task, attempt, how)| format!("[{number},\"{task}\",{attempt},\"{how}\",\"\"]"))
        .collect();
    format!(
        "{{\"clock_ms\":{},\"running\":[{}],\"finished\":[{}]}}",
        now_ms - life.born_ms,
        running.join(","),
        finished.join(",")
    )
}

/// The stand-in for the service that says which workers may run a step. It allows all.
///
/// It handles one call at a time, in turn, as the pages say for each calling machine: only the
/// leader asks.
pub struct Advisor {
    pub decision_ms: u64,
    pub per_worker_ms: u64,
    pub validity_ms: u64,
    /// Numbers of the next call to come and of the call that is handled.
    turns: Mutex<(u64, u64)>,
    turned: Condvar,
    /// Step, worker and time of issue of each ticket.
    tickets: Mutex<BTreeMap<String, (String, String, u64)>>,
    record: Arc<Record>,
}

/// Calls that may wait.
const WAITING_MAX: u64 = 32;

impl Advisor {
    pub fn start(
        listener: TcpListener,
        (decision_ms, per_worker_ms, validity_ms): (u64, u64, u64),
        record: Arc<Record>,
    ) -> Arc<Self> {
        let advisor = Arc::new(Self {
            decision_ms,
            per_worker_ms,
            validity_ms,
            turns: Mutex::default(),
            turned: Condvar::new(),
            tickets: Mutex::default(),
            record,
        });
        let served = Arc::clone(&advisor);
        http::serve(listener, Arc::new(move |request| served.answer(request)));
        advisor
    }

    fn answer(&self, request: &Request) -> Option<(u16, String)> {
        let body = Json::parse(&request.body)?;
        let step = body.text("step")?.to_owned();
        let Some(Json::List(workers)) = body.get("workers") else {
            return Some((400, "{}".to_owned()));
        };
        let mut turns = self.turns.lock().unwrap();
        let own = turns.0;
        let waiting = own - turns.1;
        if waiting >= WAITING_MAX {
            return Some((429, "{}".to_owned()));
        }
        turns.0 += 1;
        self.record.line(&format!(
            "advisor: asked about {step} on {} workers, {waiting} calls before it",
            workers.len()
        ));
        while turns.1 != own {
            turns = self.turned.wait(turns).unwrap();
        }
        drop(turns);
        let takes_ms = self.decision_ms + self.per_worker_ms * workers.len() as u64;
        std::thread::sleep(Duration::from_millis(takes_ms));
        let now_ms = self.record.now_ms();
        let mut tickets = self.tickets.lock().unwrap();
        let mut rows = Vec::new();
        for worker in workers {
            if let Json::Text(worker) = worker {
                let ticket = format!("{:08x}", tickets.len() + 1);
                rows.push(format!("[\"{worker}\",\"{ticket}\"]"));
                tickets.insert(ticket, (step.clone(), worker.clone(), now_ms));
            }
        }
        drop(tickets);
        self.turns.lock().unwrap().1 += 1;
        self.turned.notify_all();
        self.record.line(&format!("advisor: allows {step} on {} workers", rows.len()));
        let allowed = rows.join(",");
        let validity_ms = self.validity_ms;
        Some((200, format!("{{\"allowed\":[{allowed}],\"validity_ms\":{validity_ms}}}")))
    }

    fn is_valid(&self, ticket: Option<&str>, task: &str, worker: &str, now_ms: u64) -> bool {
        let tickets = self.tickets.lock().unwrap();
        let found = ticket.and_then(|ticket| tickets.get(ticket));
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        found.is_some_and(|(for_step, for_worker, issued_ms)| {
            for_step == step && for_worker == worker && now_ms <= issued_ms + self.validity_ms
        })
    }
}

/// The stand-in for the platform's list of machines and its orders.
pub struct Cloud {
    pub machines: Mutex<Vec<Arc<Machine>>>,
    /// Whether it takes calls, does nothing and does not answer.
    pub silent: AtomicBool,
    done: Mutex<Vec<(u64, String)>>,
    fences: Mutex<BTreeMap<String, u64>>,
    pub down: Mutex<Vec<String>>,
    /// Upkeeps that began: time, machine, machines that were down for theirs, lasting subtasks
    /// that ended with it.
    pub upkeeps: Mutex<Vec<(u64, String, Vec<String>, Vec<String>)>>,
    record: Arc<Record>,
}

impl Cloud {
    pub fn start(listener: TcpListener, record: Arc<Record>) -> Arc<Self> {
        let cloud = Arc::new(Self {
            machines: Mutex::default(),
            silent: AtomicBool::new(false),
            done: Mutex::default(),
            fences: Mutex::default(),
            down: Mutex::default(),
            upkeeps: Mutex::default(),
            record,
        });
        let served = Arc::clone(&cloud);
        http::serve(listener, Arc::new(move |request| served.answer(request)));
        cloud
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Option<(u16, String)> {
        if self.silent.load(Ordering::SeqCst) {
            self.record.line(&format!("platform: {} {} gets no answer", request.path, request.body));
            std::thread::sleep(Duration::from_secs(10));
            return None;
        }
        if request.method == "GET" && request.path.starts_with("/machines") {
            let machines = self.machines.lock().unwrap().clone();
            let down = self.down.lock().unwrap().clone();
            let rows: Vec<String> = machines
                .iter()
                .map(|machine| {
                    let state = match (down.contains(&machine.name), machine.id()) {
                        (true, _) => "upkeep",
                        (false, Some(_)) => "up",
                        (false, None) => "down",
                    };
                    format!(
                        "{{\"machine\":\"{}\",\"pool\":\"{}\",\"state\":\"{state}\",\"zone\":\"{}\",\
                         \"labels\":[\"{}\",\"{}\"],\"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}},\
                         \"id\":\"{}\"}}",
                        machine.name,
                        machine.service,
                        machine.zone,
                        machine.kind,
                        machine.rack,
                        machine.cpu,
                        machine.id().unwrap_or_default()
                    )
                })
                .collect();
            let body = format!("{{\"machines\":[{}],\"next_token\":\"\"}}", rows.join(","));
            return Some((200, body));
        }
        let body = Json::parse(&request.body)?;
        let name = body.text("machine")?.to_owned();
        let token: u64 = request.header("fencing-token")?.parse().ok()?;
        let holder = request.header("lease-holder").unwrap_or("").to_owned();
        let rejected = |reason: &str| Some((409, format!("{{\"reason\":\"{reason}\"}}")));
        let mut fences = self.fences.lock().unwrap();
        let known = fences.entry(name.clone()).or_insert(0);
        if token < *known {
            return rejected("fence");
        }
        *known = token;
        drop(fences);
        let machines = self.machines.lock().unwrap().clone();
        let Some(machine) = machines.iter().find(|m| m.name == name).cloned() else {
            return Some((400, "{}".to_owned()));
        };
        if request.path != "/machine-upkeep" {
            return rejected("busy");
        }
        let wave = body.number("wave")?;
        let mut done = self.done.lock().unwrap();
        if done.contains(&(wave, name.clone())) {
            return Some((200, "{}".to_owned()));
        }
        if machine.id().is_none() {
            return rejected("busy");
        }
        done.push((wave, name.clone()));
        let mut down = self.down.lock().unwrap();
        let others = down.clone();
        down.push(name.clone());
        drop(down);
        self.record.line(&format!(
            "platform: the upkeep of {name} (wave {wave}) begins, ordered by {holder} with fence \
             {token}; down for theirs: {others:?}"
        ));
        let lasting = machine.end();
        let begun_ms = self.record.now_ms();
        self.upkeeps.lock().unwrap().push((begun_ms, name.clone(), others, lasting));
        let cloud = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(MAINTENANCE_MS));
            cloud.down.lock().unwrap().retain(|other| *other != name);
            cloud.record.line(&format!("platform: the upkeep of {name} is over"));
            machine.boot();
            machine.report();
        });
        Some((200, "{}".to_owned()))
    }
}
