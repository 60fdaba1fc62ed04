//! A small site: control and entry instances as separate processes on loopback addresses, with
//! the commands of `deploy/system.toml` and settings as `DEPLOY.md` shows them.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::worker::{Advisor, Cloud, Gangs, HEARTBEAT_MS, MAX_HOLD_MS, Machine};

const PROGRAM: &str = "target/release/rosemarygauge";
const LINK_PORT: u16 = 7_060;
const CONTROL_PORT: u16 = 8_623;
const FRONT_PORT: u16 = 8_624;
const READY_PORT: u16 = 8_622;
const METRICS_PORT: u16 = 9_464;
const MARK_PORT: u16 = 7_099;
const HOST: &str = "pule25.example";
pub const PREFIX: &str = "/puxa400/";

pub struct Site {
    pub record: Arc<Record>,
    folder: PathBuf,
    net: [u8; 2],
    /// Marks the block of addresses as taken.
    _mark: TcpListener,
    /// Control instances, then entry instances; `None` while a process does not run.
    children: Vec<Option<Child>>,
    controls: usize,
    pub cloud: Arc<Cloud>,
    cloud_address: SocketAddr,
    pub machines: Vec<Arc<Machine>>,
    gangs: Arc<Gangs>,
    /// The service that the queue's advice comes from, if it has any, and its address.
    advisor: Option<(Arc<Advisor>, SocketAddr)>,
}

/// A block of loopback addresses at which all ports that are needed are free.
fn free_block(instances: usize) -> ([u8; 2], TcpListener) {
    let first = std::process::id();
    for n in 0..10_000u32 {
        let net = first.wrapping_add(n) % (40 * 256);
        let net = [100 + (net / 256) as u8, (net % 256) as u8];
        let mark = Ipv4Addr::new(127, net[0], net[1], 254);
        let Ok(mark) = TcpListener::bind((mark, MARK_PORT)) else {
            continue;
        };
        let ports = [LINK_PORT, CONTROL_PORT, FRONT_PORT, READY_PORT, METRICS_PORT];
        let is_free = (1..=instances as u8).all(|last| {
            let ip = Ipv4Addr::new(127, net[0], net[1], last);
            ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return (net, mark);
        }
    }
    panic!("no block of loopback addresses is free");
}

impl Site {
    pub fn start(record: Arc<Record>, controls: usize, entries: usize) -> Self {
        Self::start_with_advice(record, controls, entries, None)
    }

    /// A site all of whose processes start at once. The queue may have advice: the time of a decision, that for each worker, and how
    /// long a ticket is valid, in milliseconds.
    pub fn start_with_advice(
        record: Arc<Record>,
        controls: usize,
        entries: usize,
        advice: Option<(u64, u64, u64)>,
    ) -> Self {
        let mut site = Self::new(record, controls, entries, advice);
        for at in 0..controls + entries {
            site.spawn(at);
        }
        site
    }

    /// A site of which no process runs yet.
    pub fn new(
        record: Arc<Record>,
        controls: usize,
        entries: usize,
        advice: Option<(u64, u64, u64)>,
    ) -> Self {
        let (net, mark) = free_block(controls + entries);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let cloud_address = listener.local_addr().expect("a bound listener");
        let cloud = Cloud::start(listener, Arc::clone(&record));
        let advisor = advice.map(|times| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().expect("a bound listener");
            (Advisor::start(listener, times, Arc::clone(&record)), address)
        });
        let site = Self {
            record,
            folder,
            net,
            _mark: mark,
            children: (0..controls + entries).map(|_| None).collect(),
            controls,
            cloud,
            cloud_address,
            machines: Vec::new(),
            gangs: Arc::default(),
            advisor,
        };
        for at in 0..controls + entries {
            site.write_settings(at, true, cloud_address);
        }
        site
    }

    fn address(&self, at: usize, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], at as u8 + 1);
        (ip, port).into()
    }

    pub fn control(&self, at: usize) -> SocketAddr {
        self.address(at, CONTROL_PORT)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.controls).map(|at| self.control(at)).collect()
    }

    fn front(&self) -> SocketAddr {
        self.address(self.controls, FRONT_PORT)
    }

    fn is_control(&self, at: usize) -> bool {
        at < self.controls
    }

    fn settings_file(&self, at: usize) -> PathBuf {
        self.folder.join(format!("settings-{at}.json"))
    }

    fn write_settings(&self, at: usize, first_start: bool, cloud: SocketAddr) {
        let control = self.is_control(at);
        let role = if control { "control" } else { "entry" };
        let class = if control { "core" } else { "edge" };
        let zone = ["hall-a", "hall-b", "hall-c"][at % 3];
        let seeds: Vec<String> = self.controls().iter().map(|c| format!("\"{c}\"")).collect();
        let advice = self.advisor.as_ref().map_or("null".to_owned(), |(_, a)| format!("\"{a}\""));
        let data_dir = self.folder.join(format!("data-{at}"));
        let (listen, data_dir, cpu, memory) = if control {
            let listen = format!("{{\"control\":\"{}\"}}", self.control(at));
            (listen, format!("\"{}\"", data_dir.display()), 0.39, 256)
        } else {
            let front = self.address(at, FRONT_PORT);
            let ready = self.address(at, READY_PORT);
            let listen = format!("{{\"front\":\"{front}\",\"ready\":\"{ready}\"}}");
            (listen, "null".to_owned(), 0.25, 260)
        };
        let text = format!(
            "{{\"node\":\"{role}-{at}\",\"role\":\"{role}\",\"ip\":\"{}\",\"zone\":\"{zone}\",\
             \"region\":\"amman\",\"port_range\":[{LINK_PORT},{}],\"seeds\":[{}],\
             \"bootstrap\":{first_start},\"counts_as_loss\":{control},\"heartbeat_ms\":{HEARTBEAT_MS},\
             \"control_mode\":\"call\",\"config_mode\":\"highest\",\"advice\":{advice},\
             \"machine_class\":\"{class}\",\"discovery\":\"registration\",\"entry\":\"vip\",\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\
             \"advice\",\"upkeep\",\"sharing\"],\
             \"zones\":{{\"hall-a\":\"amman\",\"hall-b\":\"amman\",\"hall-c\":\"amman\"}},\
             \"data_dir\":{data_dir},\
             \"listen\":{listen},\
             \"limits\":{{\"cpu_share\":{cpu},\"cores\":1,\"memory_mb\":{memory},\"max_fds\":4096}},\
             \"fault_tolerance\":{{\"machines\":1,\"zones\":1,\"region_count\":0}},\
             \"bounds\":{{\"contact_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\
             \"grace_s\":6,\"max_hold_ms\":{MAX_HOLD_MS},\"stop_timeout_ms\":400,\
             \"gang_timeout_ms\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,\"early_ms\":250,\
             \"status_s\":120,\"checkpoint_s\":2,\"restore_ms\":600,\"notice_ms\":4500,\
             \"migrate_s\":1.5,\"maintenance_s\":2,\"lease_ms\":3000,\"fencing_enforced\":true}},\
             \"cloud\":{{\"address\":\"{cloud}\",\"rate_per_s\":64.0,\"duties\":[],\"duty_per_s\":64.0}}}}",
            self.address(at, 0).ip(),
            LINK_PORT + 15,
            seeds.join(","),
        );
        fs::write(self.settings_file(at), text).expect("the settings can be written");
    }

    /// Settings of a process that is started again: the system does not start for the first
    /// time then.
    pub fn write_later_settings(&self, at: usize) {
        self.write_settings(at, false, self.cloud_address);
    }

    /// Starts a process.
    pub fn spawn(&mut self, at: usize) {
        let role = if self.is_control(at) { "control" } else { "entry" };
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{at}")))
            .expect("a log file");
        let child = Command::new(PROGRAM)
            .args(["platform", role])
            .env("ROSEMARYGAUGE_CONFIG", self.settings_file(at))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            could_not_run("the program does not start: build it first");
        };
        self.record.line(&format!("{role}-{at} starts"));
        self.children[at] = Some(child);
    }

    /// SIGKILL.
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.children[at].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("process {at} is killed"));
        }
    }

    /// SIGTERM; the process ends within the grace.
    pub fn terminate(&mut self, at: usize) {
        if let Some(child) = self.children[at].as_ref() {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args(["-TERM", &pid]).status();
            self.record.line(&format!("process {at} gets SIGTERM"));
        }
    }

    /// Waits until a terminated process has ended.
    pub fn wait_end(&mut self, at: usize) {
        if let Some(mut child) = self.children[at].take() {
            let _ = child.wait();
            self.record.line(&format!("process {at} has ended"));
        }
    }

    /// The control instance that leads, as the instance `asked` says on its status page.
    pub fn leader_by(&self, asked: usize) -> Option<usize> {
        let (status, body) = http::call(
            self.address(asked, METRICS_PORT),
            "GET",
            "status",
            "/status",
            "",
            300,
        )?;
        let page = Json::parse(&body).filter(|_| status == 200)?;
        let leader = page.text("leader")?.to_owned();
        (0..self.controls).find(|at| self.address(*at, 0).ip().to_string() == leader)
    }

    /// The leader, as that instance itself says.
    pub fn leader(&self) -> Option<usize> {
        (0..self.controls)
            .filter(|at| self.children[*at].is_some())
            .find(|at| self.leader_by(*at) == Some(*at))
    }

    pub fn add_machine(&mut self, name: &str, kind: &str, rack: &str, cpu: u64) -> Arc<Machine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let controls = self.controls();
        let advisor = self.advisor.as_ref().map(|(advisor, _)| Arc::clone(advisor));
        let shared = (Arc::clone(&self.gangs), advisor);
        let record = Arc::clone(&self.record);
        let place = ("huvo11a", kind, rack);
        let machine = Machine::start(name, place, cpu, listener, controls, shared, record);
        self.cloud.machines.lock().unwrap().push(Arc::clone(&machine));
        self.machines.push(Arc::clone(&machine));
        machine
    }

    /// The first manifest: one queue, one service.
    fn manifest(&self) -> String {
        let advice = self.advisor.as_ref().map_or(String::new(), |(advisor, _)| {
            format!(
                ",\"advice\":{{\"decision_ms\":{},\"per_worker_ms\":{},\"validity_ms\":{}}}",
                advisor.decision_ms, advisor.per_worker_ms, advisor.validity_ms
            )
        });
        let route = format!(
            "{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\
             \"timeout_ms\":3000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"huvo11a\",\
             \"max_attempts\":4,\"slack_factor\":1.6{advice}}}"
        );
        format!(
            "{{\"version\":1,\"routes\":[{route}],\"services\":[{{\"name\":\"huvo11a\",\
             \"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"admission_check\":true,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        )
    }

    /// Whether a control instance acknowledges the first manifest.
    pub fn offer_manifest(&self) -> bool {
        let body = self.manifest();
        self.controls().iter().any(|to| {
            let answer = http::call(*to, "POST", "control", "/Config.Replace", &body, 1_000);
            answer.is_some_and(|(status, _)| status == 200)
        })
    }

    /// Sends the first manifest until it is acknowledged and the entry instance is ready.
    pub fn configure(&self) {
        self.wait("the manifest is acknowledged", 20_000, || self.offer_manifest());
        self.wait("the entry instance is ready", 20_000, || {
            let ready = self.address(self.controls, READY_PORT);
            http::call(ready, "GET", "ready", "/readyz", "", 500).is_some_and(|a| a.0 == 200)
        });
        for at in 0..self.children.len() {
            self.write_later_settings(at);
        }
    }

    /// A call of a consumer, sent again until it has a clear answer.
    pub fn consumer(&self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        for _ in 0..8 {
            let answer = self.attempt(method, id, body);
            if let Some((status, _)) = &answer
                && !matches!(status, 429 | 502 | 503 | 504)
            {
                return answer;
            }
            std::thread::sleep(Duration::from_millis(250));
        }
        None
    }

    /// One attempt of a consumer.
    pub fn attempt(&self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        let answer = http::call(self.front(), method, HOST, &path, body, 3_000);
        let text = answer.as_ref().map_or("no answer".to_owned(), |(status, body)| {
            format!("{status} {}", body.trim_end())
        });
        self.record.line(&format!("consumer: {method} {path} {body} -> {text}"));
        answer
    }

    /// Hands a job in and returns when it was accepted.
    pub fn submit(&self, id: &str, spec: &str, step: &str) -> u64 {
        let body = format!("{{\"spec\":\"{spec}\",\"phases\":[{step}]}}");
        match self.consumer("POST", id, &body) {
            Some((200, _)) => self.record.now_ms(),
            _ => could_not_run("a job was not accepted"),
        }
    }

    /// The answer of the operator's call, sent to one control instance after the other.
    pub fn operator(&self, method: &str, path: &str, body: &str) -> Option<String> {
        for _ in 0..5 {
            for to in self.controls() {
                let answer = http::call(to, method, "control", path, body, 1_000);
                if let Some((200, text)) = answer {
                    self.record.line(&format!("operator: {method} {path} {body} -> 200 {text}"));
                    return Some(text);
                }
            }
        }
        None
    }

    pub fn wait(&self, what: &str, limit_ms: u64, is_so: impl Fn() -> bool) {
        let until_ms = self.record.now_ms() + limit_ms;
        while self.record.now_ms() < until_ms {
            if is_so() {
                self.record.line(&format!("reached: {what}"));
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.record.line(&format!("not reached: {what}"));
        could_not_run(what);
    }

    pub fn sleep_until(&self, at_ms: u64) {
        let left_ms = at_ms.saturating_sub(self.record.now_ms());
        std::thread::sleep(Duration::from_millis(left_ms));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The case could not run. Unwinds, so that the processes are ended.
pub struct CouldNotRun;

pub fn could_not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::panic::resume_unwind(Box::new(CouldNotRun));
}
