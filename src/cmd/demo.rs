//! `demo`: the whole system in one process, with a wave and a lost upstream.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use clap::Args as ClapArgs;
use eyre::{WrapErr, bail, eyre};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::sync::Notify;

use super::Exit;
use super::client::Conn;
use crate::account::{
    Account, Experiment, Mix, Outcome, Plan, ServiceShare, TeamShare, fetch_runs,
};
use crate::entry::{Driver, DriverSettings, Listeners, NodeSettings, Stopper};
use crate::http::OperatorKeys;
use crate::link::PeerKey;
use crate::model::{EntryName, Pool, ZoneName};
use crate::storage::Disk;
use crate::upstream::{Faults, Host, HostSettings, RunTimes, Spec, unix_ms};

/// What `--help` says.
pub const HELP: &str = "\
Run the grants office's deployment in one process and watch it work: entry
instances in three availability zones, 50 stand-in upstreams, real requests over
loopback, a row put in force, a rack's maintenance wave, a lost upstream, and the
account of every request at the end.

It needs no settings, keeps its data in a temporary folder that is removed, and
ends by itself in under a minute. The stand-ins' run times are a tenth or less of
the declared ones. The exit code is 0 if nothing was lost, doubled or mixed up.

Example:

    rosemarygauge demo";

/// Arguments of `demo`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// Requests a second.
    #[arg(long, default_value_t = 150.0)]
    rate: f64,
}

const ZONES: [&str; 3] = ["amman-a", "amman-b", "amman-c"];
const TOKEN: &str = "token-of-the-demo";
const POOLS: &str = include_str!("../../examples/grants/pools.json");
const TABLE: &str = include_str!("../../examples/grants/table.csv");
const INSTANCES: &str = include_str!("../../examples/grants/instances.csv");
/// Services with their class, share of the load and real run time.
const SERVICES: [(&str, &str, u32, u64); 5] = [
    ("eligibility-checks", "urgent", 6, 20),
    ("scoring", "urgent", 4, 40),
    ("budget-review", "urgent", 2, 60),
    ("document-archiving", "patient", 2, 200),
    ("audit", "patient", 1, 400),
];
/// How long requests are sent.
const LOAD: Duration = Duration::from_secs(24);
/// Longest wait for any one step; more means that something is broken.
const STEP: Duration = Duration::from_secs(30);

/// Runs the demonstration.
///
/// # Errors
/// A port, thread or file could not be had, or a step did not come about.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let clock = Instant::now();
    let say = |text: &str| println!("{:>5.1} s  {text}", clock.elapsed().as_secs_f64());
    let folder = tempfile::tempdir().wrap_err("no temporary folder")?;

    let entries = Entries::start(&folder)?;
    let conn = &entries.conn;
    wait("a leader", || {
        let status = ask(conn, "/status")?;
        Ok(!status["log"]["leader"].is_null() && status["log"]["fresh"] == true)
    })?;
    say("3 entry instances in 3 availability zones have chosen a leader");

    let pools: Vec<Pool> = serde_json::from_str(POOLS)?;
    for pool in &pools {
        let body = json!({ "PutPool": { "pool": pool } });
        change(conn, "/fleet", &[], body.to_string().as_bytes())?;
    }
    let upstreams = Upstreams::start(folder.path(), &entries)?;
    let all = INSTANCES.lines().count() - 1;
    wait("the upstreams", || {
        let status = ask(conn, "/status")?;
        Ok(status["instances"] == all && status["upstreams"] == all)
    })?;
    say(&format!(
        "{} pools are in place, {all} upstreams announced themselves",
        pools.len()
    ));

    let force = change(conn, "/table", &[], TABLE.as_bytes())?;
    say(&format!(
        "the table of weights and limits is in force on {} entry instances, {} ms after its acceptance",
        force["in_force"].as_array().map_or(0, Vec::len),
        force["after_ms"]
    ));
    show_wrong_row(conn, &say)?;

    let load = start_load(args.rate, entries.callers.clone());
    say(&format!("{} requests a second begin", args.rate));
    let wave = wave_spec();
    change(conn, "/fleet", &[], wave.to_string().as_bytes())?;
    say(
        "a maintenance wave begins: every instance of rack amman-a-r1 is rebooted, within all budgets",
    );
    thread::sleep(Duration::from_secs(3));
    let lost = "amman-b-r1-1";
    upstreams.kill(lost)?;
    say(&format!("upstream {lost} is lost without a word"));
    wait("the loss to be noticed", || {
        Ok(ask(conn, &format!("/explain/instance/{lost}"))?["failed"] == true)
    })?;
    say(&format!("{lost} counts as failed; its pool:"));
    println!("         {}", budget_of(conn, "eligibility-checks")?);
    upstreams.revive(lost)?;
    say(&format!("{lost} comes back as a new incarnation"));
    wait("the wave's end", || {
        Ok(ask(conn, "/waves")?["waves"][0]["state"] == "done")
    })?;
    let waves = ask(conn, "/waves")?;
    say(&format!(
        "the wave is done: {} instances came back",
        waves["waves"][0]["done"]
    ));

    let outcome = load
        .join()
        .map_err(|_| eyre!("the load ended by a fault of its own"))??;
    say("the load has ended; the account, checked against what the upstreams ran:");
    let runs = fetch_runs(std::slice::from_ref(&upstreams.control))?;
    let account = Account::draw(&outcome.ledger, Some(&runs));
    print!("{account}");
    show_latency(&outcome);
    entries.stop()?;
    say("all entry instances stopped as planned");
    Ok(if account.is_clean() {
        Exit::Done
    } else {
        Exit::Faults
    })
}

/// The three entry instances.
struct Entries {
    callers: Vec<String>,
    announce: BTreeMap<String, String>,
    conn: Conn,
    drivers: Vec<Driver>,
}

impl Entries {
    fn start(folder: &TempDir) -> eyre::Result<Self> {
        let token_file = folder.path().join("token");
        std::fs::write(&token_file, TOKEN)?;
        let mut listeners = Vec::new();
        for _ in ZONES {
            listeners.push(Listeners {
                callers: free()?,
                upstreams: free()?,
                operators: free()?,
                peers: free()?,
            });
        }
        let address = |listener: &TcpListener| -> eyre::Result<String> {
            Ok(listener.local_addr()?.to_string())
        };
        let mut entries = Self {
            callers: Vec::new(),
            announce: BTreeMap::new(),
            conn: Conn::new(Vec::new(), token_file.clone()),
            drivers: Vec::new(),
        };
        let mut operators = Vec::new();
        let mut peers = BTreeMap::new();
        for (zone, own) in ZONES.iter().zip(&listeners) {
            entries.callers.push(address(&own.callers)?);
            operators.push(address(&own.operators)?);
            let upstreams = address(&own.upstreams)?;
            entries.announce.insert((*zone).into(), upstreams);
            peers.insert(entry_of(zone), own.peers.local_addr()?);
        }
        entries.conn = Conn::new(operators, token_file);
        for (zone, own) in ZONES.iter().zip(listeners) {
            let driver = start_entry(zone, own, peers.clone(), folder.path())?;
            entries.drivers.push(driver);
        }
        Ok(entries)
    }

    fn stop(self) -> eyre::Result<()> {
        let stoppers: Vec<Stopper> = self.drivers.iter().map(Driver::stopper).collect();
        stoppers.iter().for_each(Stopper::stop);
        for driver in self.drivers {
            driver.join()?;
        }
        Ok(())
    }
}

fn start_entry(
    zone: &str,
    listeners: Listeners,
    mut peers: BTreeMap<EntryName, SocketAddr>,
    folder: &Path,
) -> eyre::Result<Driver> {
    let me = entry_of(zone);
    let voters: Vec<EntryName> = peers.keys().cloned().collect();
    peers.remove(&me);
    let node = NodeSettings {
        me: me.clone(),
        incarnation: unix_ms(),
        zone: ZoneName::from(zone),
        members: ZONES
            .iter()
            .map(|zone| (entry_of(zone), ZoneName::from(*zone)))
            .collect(),
        voters,
        seed: rand::random(),
        ..NodeSettings::default()
    };
    let keys = BTreeMap::from([("demo".to_owned(), TOKEN.to_owned())]);
    let driver = Driver::start(DriverSettings {
        node,
        listeners,
        peers,
        key: PeerKey::from(rand_key().to_vec()),
        keys: OperatorKeys::from(keys),
        disk: Some(Disk::open(&folder.join(me.as_str()))?),
    })?;
    Ok(driver)
}

/// All entry instances of the demonstration share the process and its key.
fn rand_key() -> [u8; 32] {
    static KEY: std::sync::OnceLock<[u8; 32]> = std::sync::OnceLock::new();
    *KEY.get_or_init(rand::random)
}

fn entry_of(zone: &str) -> EntryName {
    EntryName::from(format!("{zone}-1"))
}

fn free() -> eyre::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").wrap_err("no free port on loopback")
}

/// The stand-in upstreams.
struct Upstreams {
    control: String,
}

impl Upstreams {
    fn start(folder: &Path, entries: &Entries) -> eyre::Result<Self> {
        let file = folder.join("instances.csv");
        std::fs::write(&file, INSTANCES)?;
        let instances = Spec::read_all(&file)?.into_iter().map(|spec| {
            let announce = entries.announce.get(spec.zone.as_str());
            (spec, announce.cloned().into_iter().collect())
        });
        let run_times = SERVICES
            .iter()
            .map(|(name, _, _, run_ms)| ((*name).to_owned(), *run_ms))
            .collect();
        let settings = HostSettings {
            instances: instances.collect(),
            run_times: RunTimes::new(run_times, 20, 30, 1),
            faults: Faults::default(),
            incarnation: unix_ms(),
            reboot_ms: 1_500,
            pad_bytes: 0,
        };
        let (tx, rx) = std::sync::mpsc::channel();
        thread::Builder::new()
            .name("upstreams".into())
            .spawn(move || -> eyre::Result<()> {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()?;
                let leave = Arc::new(Notify::new());
                let ready = move |_: &Host, control: SocketAddr| {
                    // The demonstration has ended if nobody takes it.
                    let _ = tx.send(control.to_string());
                };
                runtime.block_on(Host::run(settings, leave, ready))?;
                Ok(())
            })?;
        let control = rx
            .recv_timeout(STEP)
            .wrap_err("the stand-in upstreams did not start")?;
        Ok(Self { control })
    }

    fn kill(&self, instance: &str) -> eyre::Result<()> {
        self.set_dead(instance, true)
    }

    fn revive(&self, instance: &str) -> eyre::Result<()> {
        self.set_dead(instance, false)
    }

    fn set_dead(&self, instance: &str, dead: bool) -> eyre::Result<()> {
        let body = json!({ "instances": [instance], "faults": { "dead": dead } });
        ureq::post(format!("http://{}/faults", self.control)).send_json(body)?;
        Ok(())
    }
}

fn start_load(rate: f64, entries: Vec<String>) -> JoinHandle<eyre::Result<Outcome>> {
    thread::spawn(move || {
        let services: Result<Vec<ServiceShare>, _> = SERVICES
            .iter()
            .map(|(name, class, share, _)| format!("{name}:{class}:{share}").parse())
            .collect();
        let mix = Mix {
            services: services.map_err(eyre::Report::msg)?,
            teams: vec![team("caseworkers:3:20")?, team("portal:1:50")?],
            not_idempotent_percent: 30,
            twin_percent: 2,
            cancel_percent: 2,
            cancel_after_ms: 10,
            body_bytes: 64,
        };
        let duration_ms = u64::try_from(LOAD.as_millis())?;
        let label = format!("demo-{:x}", unix_ms());
        let experiment = Experiment {
            plan: Plan::new(mix, rate, duration_ms, &label, 1),
            entries,
            deadline_ms: 5_000,
            patient_deadline_ms: 600_000,
            resends: 3,
            threads: 128,
            settle_ms: 30_000,
            poll_ms: 200,
        };
        Ok(experiment.run()?)
    })
}

fn team(text: &str) -> eyre::Result<TeamShare> {
    text.parse().map_err(eyre::Report::msg)
}

fn wave_spec() -> Value {
    json!({ "StartWave": { "spec": {
        "name": "rack-amman-a-r1",
        "kind": "reboot",
        "selection": { "rack": "amman-a-r1" },
        "drain_ms": 1_000,
        "absence_ms": 3_000,
        "spread_percent": 50,
        "weights": { "rollout_per_minute": 10, "per_move": 10, "buffer_per_instance_hour": 10 },
    }}})
}

/// Shows that a slip is caught before it takes effect.
fn show_wrong_row(conn: &Conn, say: &impl Fn(&str)) -> eyre::Result<()> {
    let slip = "kind,name,zone,weight,limit_in_flight,queue_ms,version\n\
                service,scoring,amman-a,33,2400,3000,1\n";
    let answer = conn.send("/table", &[], "demo-slip", slip.as_bytes())?;
    if answer.accepted {
        bail!("a slip from 24 to 2400 was accepted");
    }
    say("a slip in the table (24 typed as 2400) is refused and changes nothing:");
    for error in answer.value()?["errors"].as_array().into_iter().flatten() {
        println!("         {}", error.as_str().unwrap_or("?"));
    }
    Ok(())
}

fn budget_of(conn: &Conn, pool: &str) -> eyre::Result<String> {
    let value = ask(conn, &format!("/explain/pool/{pool}"))?;
    Ok(value["budget_use"].as_str().unwrap_or("?").to_owned())
}

fn show_latency(outcome: &Outcome) {
    println!("class    answer       count    p50 ms    p99 ms    max ms");
    for q in outcome.latency.quantiles() {
        let ms = |us: u64| us as f64 / 1_000.0;
        println!(
            "{:<8} {:<9}{:>9}{:>10.1}{:>10.1}{:>10.1}",
            q.class,
            q.answer,
            q.count,
            ms(q.p50_us),
            ms(q.p99_us),
            ms(q.max_us)
        );
    }
}

fn ask(conn: &Conn, path: &str) -> eyre::Result<Value> {
    conn.get(path)?.value()
}

fn change(conn: &Conn, path: &str, headers: &[(&str, &str)], body: &[u8]) -> eyre::Result<Value> {
    let id = super::client::change_id(None);
    let answer = conn.send(path, headers, &id, body)?;
    if answer.accepted {
        answer.value()
    } else {
        bail!("{path}: {}", answer.text.trim_end())
    }
}

/// Waits for a condition; a question that cannot be answered yet counts as not
/// met.
fn wait(what: &str, mut met: impl FnMut() -> eyre::Result<bool>) -> eyre::Result<()> {
    let end = Instant::now() + STEP;
    while Instant::now() < end {
        if met().unwrap_or(false) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    bail!("{what}: did not come within {} s", STEP.as_secs())
}
