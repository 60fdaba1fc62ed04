//! A whole deployment in this process, for the demonstration and measurements:
//! entry instances, stand-in upstreams, and an operator's connection to them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use eyre::{WrapErr, bail};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::sync::Notify;

use super::client::{Conn, change_id};
use crate::entry::{Driver, DriverSettings, Listeners, NodeSettings, Stopper};
use crate::http::OperatorKeys;
use crate::link::PeerKey;
use crate::model::{EntryName, ZoneName};
use crate::storage::Disk;
use crate::unix_time::unix_ms;
use crate::upstream::{Faults, Host, HostSettings, RunTimes, Spec};

const TOKEN: &str = "token-of-the-trial";
/// Longest wait for any one step; more means that something is broken.
const STEP: Duration = Duration::from_secs(30);

/// Entry instances, the first of each zone with a vote.
pub struct Entries {
    /// Callers' addresses.
    pub callers: Vec<String>,
    /// Upstreams' addresses by zone.
    pub announce: BTreeMap<String, Vec<String>>,
    /// An operator's connection to all of them.
    pub conn: Conn,
    drivers: Vec<Driver>,
}

/// One entry instance that is about to start.
struct Planned {
    name: EntryName,
    zone: ZoneName,
    votes: bool,
    listeners: Listeners,
}

impl Entries {
    /// Starts `per_zone` entry instances in each zone, with data below `folder`.
    ///
    /// # Errors
    /// A port, thread or file could not be had.
    pub fn start(folder: &TempDir, zones: &[&str], per_zone: usize) -> eyre::Result<Self> {
        let token_file = folder.path().join("token");
        std::fs::write(&token_file, TOKEN)?;
        let mut planned = Vec::new();
        for zone in zones {
            for number in 1..=per_zone {
                planned.push(plan(zone, number)?);
            }
        }
        let mut entries = Self {
            callers: Vec::new(),
            announce: BTreeMap::new(),
            conn: Conn::new(Vec::new(), token_file.clone()),
            drivers: Vec::new(),
        };
        let mut operators = Vec::new();
        let mut peers = BTreeMap::new();
        for one in &planned {
            let own = &one.listeners;
            entries.callers.push(own.callers.local_addr()?.to_string());
            operators.push(own.operators.local_addr()?.to_string());
            let announce = entries.announce.entry(one.zone.to_string()).or_default();
            announce.push(own.upstreams.local_addr()?.to_string());
            peers.insert(one.name.clone(), own.peers.local_addr()?);
        }
        entries.conn = Conn::new(operators, token_file);
        let named = |one: &Planned| (one.name.clone(), one.zone.clone());
        let members: BTreeMap<EntryName, ZoneName> = planned.iter().map(named).collect();
        let voters: Vec<EntryName> = planned
            .iter()
            .filter(|one| one.votes)
            .map(|one| one.name.clone())
            .collect();
        for one in planned {
            let node = NodeSettings {
                me: one.name.clone(),
                incarnation: unix_ms(),
                zone: one.zone.clone(),
                members: members.clone(),
                voters: voters.clone(),
                seed: rand::random(),
                ..NodeSettings::default()
            };
            let driver = start_entry(node, one, peers.clone(), folder.path())?;
            entries.drivers.push(driver);
        }
        Ok(entries)
    }

    /// Stops all of them as planned.
    ///
    /// # Errors
    /// One ended by a fault of its own.
    pub fn stop(self) -> eyre::Result<()> {
        let stoppers: Vec<Stopper> = self.drivers.iter().map(Driver::stopper).collect();
        stoppers.iter().for_each(Stopper::stop);
        for driver in self.drivers {
            driver.join()?;
        }
        Ok(())
    }
}

fn plan(zone: &str, number: usize) -> eyre::Result<Planned> {
    Ok(Planned {
        name: EntryName::from(format!("{zone}-{number}")),
        zone: ZoneName::from(zone),
        votes: number == 1,
        listeners: Listeners {
            callers: free()?,
            upstreams: free()?,
            operators: free()?,
            peers: free()?,
        },
    })
}

fn start_entry(
    node: NodeSettings,
    planned: Planned,
    mut peers: BTreeMap<EntryName, SocketAddr>,
    folder: &Path,
) -> eyre::Result<Driver> {
    peers.remove(&node.me);
    let disk = if planned.votes {
        Some(Disk::open(&folder.join(node.me.as_str()))?)
    } else {
        None
    };
    let keys = BTreeMap::from([("trial".to_owned(), TOKEN.to_owned())]);
    let driver = Driver::start(DriverSettings {
        node,
        listeners: planned.listeners,
        peers,
        key: PeerKey::from(shared_key().to_vec()),
        keys: OperatorKeys::from(keys),
        disk,
    })?;
    Ok(driver)
}

/// All entry instances share the process and its key.
fn shared_key() -> [u8; 32] {
    static KEY: std::sync::OnceLock<[u8; 32]> = std::sync::OnceLock::new();
    *KEY.get_or_init(rand::random)
}

fn free() -> eyre::Result<TcpListener> {
    TcpListener::bind("127.0.0.1:0").wrap_err("no free port on loopback")
}

/// Stand-in upstreams.
pub struct Upstreams {
    /// Their control address.
    pub control: String,
}

impl Upstreams {
    /// Starts the instances of a CSV text, with real run times by service.
    ///
    /// # Errors
    /// A port, thread or file could not be had, or a line is wrong.
    pub fn start(
        folder: &TempDir,
        entries: &Entries,
        instances: &str,
        run_times: RunTimes,
    ) -> eyre::Result<Self> {
        let file = folder.path().join("instances.csv");
        std::fs::write(&file, instances)?;
        let instances = Spec::read_all(&file)?.into_iter().map(|spec| {
            let announce = entries.announce.get(spec.zone.as_str());
            (spec, announce.cloned().unwrap_or_default())
        });
        let settings = HostSettings {
            instances: instances.collect(),
            run_times,
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
                    // The trial has ended if nobody takes it.
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

    /// Kills an instance, or lets it come back as a new incarnation.
    ///
    /// # Errors
    /// The stand-ins cannot be reached.
    pub fn set_dead(&self, instance: &str, dead: bool) -> eyre::Result<()> {
        let body = json!({ "instances": [instance], "faults": { "dead": dead } });
        ureq::post(format!("http://{}/faults", self.control)).send_json(body)?;
        Ok(())
    }
}

/// Asks an entry instance for something in JSON.
///
/// # Errors
/// None answered.
pub fn ask(conn: &Conn, path: &str) -> eyre::Result<Value> {
    conn.get(path)?.value()
}

/// Sends a change under a new id; a refusal is an error.
///
/// # Errors
/// No entry instance answered, or the change was refused.
pub fn change(conn: &Conn, path: &str, body: &[u8]) -> eyre::Result<Value> {
    let answer = conn.send(path, &[], &change_id(None), body)?;
    if answer.accepted {
        answer.value()
    } else {
        bail!("{path}: {}", answer.text.trim_end())
    }
}

/// Waits for a condition; a question that cannot be answered yet counts as not
/// met.
///
/// # Errors
/// It did not come about in 30 s.
pub fn wait(what: &str, mut met: impl FnMut() -> eyre::Result<bool>) -> eyre::Result<()> {
    let end = Instant::now() + STEP;
    while Instant::now() < end {
        if met().unwrap_or(false) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    bail!("{what}: did not come within {} s", STEP.as_secs())
}
