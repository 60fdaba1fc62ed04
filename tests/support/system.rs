use std::collections::BTreeMap;
use std::fs::Permissions;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Output;

use rosemarygauge::proxy::{Hub, Link, LinkFaults};
use serde_json::{Value, json};
use tempfile::TempDir;

use super::process::command;
use super::{Process, Upstreams, agent, free_address, until};

const TOKEN: &str = "token-of-the-tests";

/// The entry instances of some availability zones as real processes; every link
/// from one to another passes through a proxy.
pub struct System {
    pub entries: Vec<Entry>,
    /// By the numbers of sender and receiver.
    links: BTreeMap<(usize, usize), Link>,
    pub hub: Hub,
    folder: TempDir,
}

/// One entry instance.
pub struct Entry {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub upstreams: SocketAddr,
    pub operators: SocketAddr,
    peers: SocketAddr,
    settings: PathBuf,
    pub process: Option<Process>,
}

impl System {
    /// Starts `per_zone` entry instances in each of the zones z1, z2 and z3; the
    /// first of each zone votes. Returns when a leader is known to all.
    pub fn start(per_zone: usize) -> Self {
        let mut system = Self::prepare(per_zone);
        for i in 0..system.entries.len() {
            system.restart(i);
        }
        until(10_000, "every entry instance knows a leader", || {
            (0..system.entries.len()).all(|i| !system.status(i)["log"]["leader"].is_null())
        });
        system
    }

    fn prepare(per_zone: usize) -> Self {
        let hub = Hub::start().unwrap();
        let folder = tempfile::tempdir().unwrap();
        write_private(
            &folder.path().join("peer.key"),
            &"0123456789abcdef".repeat(2),
        );
        let tokens = json!({ "tester": TOKEN }).to_string();
        write_private(&folder.path().join("operators.json"), &tokens);
        let entries: Vec<_> = (1..=3)
            .flat_map(|zone| (0..per_zone).map(move |n| (zone, n)))
            .map(|(zone, n)| {
                let name = format!("z{zone}-{}", (b'a' + n as u8) as char);
                Entry {
                    zone: format!("z{zone}"),
                    callers: free_address(),
                    upstreams: free_address(),
                    operators: free_address(),
                    peers: free_address(),
                    settings: folder.path().join(format!("{name}.json")),
                    name,
                    process: None,
                }
            })
            .collect();
        let mut links = BTreeMap::new();
        for from in 0..entries.len() {
            for to in (0..entries.len()).filter(|to| *to != from) {
                let link = hub.link(free_address(), entries[to].peers).unwrap();
                links.insert((from, to), link);
            }
        }
        let system = Self {
            entries,
            links,
            hub,
            folder,
        };
        for i in 0..system.entries.len() {
            system.write_settings(i);
        }
        system
    }

    fn write_settings(&self, i: usize) {
        let me = &self.entries[i];
        let member = |(n, entry): (usize, &Entry)| {
            let peers = self.links.get(&(i, n)).map_or(me.peers, Link::address);
            let voter = entry.name.ends_with('a');
            json!({ "entry": entry.name, "zone": entry.zone, "peers": peers, "voter": voter })
        };
        let members: Vec<_> = self.entries.iter().enumerate().map(member).collect();
        let mut settings = json!({
            "entry": me.name, "zone": me.zone,
            "callers": me.callers, "upstreams": me.upstreams,
            "operators": me.operators, "peers": me.peers,
            "members": members,
            "peer_key_file": "peer.key", "operator_keys_file": "operators.json",
        });
        if me.name.ends_with('a') {
            settings["data_folder"] = json!(format!("data-{}", me.name));
        }
        std::fs::write(&me.settings, settings.to_string()).unwrap();
    }

    /// Starts an entry instance, again if it ran before.
    pub fn restart(&mut self, i: usize) {
        let entry = &mut self.entries[i];
        entry.process = None;
        let settings = entry.settings.to_str().unwrap();
        entry.process = Some(Process::start(&["serve", "--settings", settings]));
    }

    pub fn kill(&mut self, i: usize) {
        self.process(i).kill();
    }

    /// Deletes the data folder of an entry instance that does not run.
    pub fn lose_disk(&mut self, i: usize) {
        let name = format!("data-{}", self.entries[i].name);
        std::fs::remove_dir_all(self.folder.path().join(name)).unwrap();
    }

    /// The number of the entry instance that leads now, by what the running ones
    /// say, if they agree.
    pub fn leader(&mut self) -> Option<usize> {
        let mut leaders = Vec::new();
        for i in 0..self.entries.len() {
            let process = self.entries[i].process.as_mut();
            if process.is_some_and(Process::is_running) {
                leaders.push(self.status(i)["log"]["leader"].clone());
            }
        }
        let first = leaders.first()?.as_str()?;
        let agree = leaders.iter().all(|leader| leader == first);
        self.entries
            .iter()
            .position(|entry| agree && entry.name == first)
    }

    /// Waits for a leader that all running entry instances agree on.
    pub fn await_leader(&mut self) -> usize {
        let mut leader = None;
        until(10_000, "all agree on a leader", || {
            leader = self.leader();
            leader.is_some()
        });
        leader.unwrap()
    }

    /// A file with the operator's token.
    pub fn token_file(&self) -> PathBuf {
        let path = self.folder.path().join("token");
        write_private(&path, TOKEN);
        path
    }

    /// Waits until every entry instance tells the balancer that it is ready. A
    /// leader may be agreed on a moment before one of them has the state again.
    pub fn await_ready(&self) {
        until(10_000, "every entry instance is ready", || {
            (0..self.entries.len()).all(|i| self.status(i)["health"] == "ready")
        });
    }

    pub fn process(&mut self, i: usize) -> &mut Process {
        self.entries[i].process.as_mut().unwrap()
    }

    /// Sets the faults of all links between a set of entry instances and the rest.
    pub fn cut_off(&self, cut: &[usize], faults: &LinkFaults) {
        for ((from, to), link) in &self.links {
            if cut.contains(from) != cut.contains(to) {
                link.set(faults.clone());
            }
        }
    }

    pub fn link(&self, from: usize, to: usize) -> &Link {
        &self.links[&(from, to)]
    }

    pub fn status(&self, i: usize) -> Value {
        self.get(i, "status")
    }

    pub fn get(&self, i: usize, path: &str) -> Value {
        let url = format!("http://{}/{path}", self.entries[i].operators);
        let reply = agent(2_000)
            .get(url)
            .header("authorization", format!("Bearer {TOKEN}"))
            .call();
        reply.map_or(Value::Null, |mut reply| {
            reply.body_mut().read_json().unwrap_or(Value::Null)
        })
    }

    /// Sends a change; status and body of the answer.
    pub fn put(&self, i: usize, path: &str, change: &str, body: &Value) -> (u16, String) {
        let url = format!("http://{}/{path}", self.entries[i].operators);
        let mut reply = agent(8_000)
            .post(url)
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("rg-change-id", change)
            .send_json(body)
            .unwrap();
        let text = reply.body_mut().read_to_string().unwrap();
        (reply.status().as_u16(), text)
    }

    /// Puts a sheet in force; status and body of the answer, none if there was no
    /// answer.
    pub fn put_table(&self, i: usize, change: &str, sheet: &str) -> Option<(u16, String)> {
        let url = format!("http://{}/table", self.entries[i].operators);
        let mut reply = agent(8_000)
            .post(url)
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("rg-change-id", change)
            .header("rg-confirm-jump", "true")
            .send(sheet)
            .ok()?;
        let text = reply.body_mut().read_to_string().ok()?;
        Some((reply.status().as_u16(), text))
    }

    /// The rows in force, as a sheet; empty if there is no answer.
    pub fn table(&self, i: usize) -> String {
        let url = format!("http://{}/table", self.entries[i].operators);
        let reply = agent(2_000)
            .get(url)
            .header("authorization", format!("Bearer {TOKEN}"))
            .call();
        reply
            .and_then(|mut reply| reply.body_mut().read_to_string())
            .unwrap_or_default()
    }

    /// Creates a pool with one urgent service.
    pub fn put_pool_for(&self, pool: &str, service: &str, min_available: u32) {
        let demand = json!({ "cores": 1, "memory_mib": 64, "accelerators": 0, "run_ms": 100 });
        let service = json!({ "name": service, "class": "urgent", "demand": demand });
        let budget = json!({ "min_available": min_available, "survive": "none" });
        let pool = json!({ "name": pool, "budget": budget, "services": [service] });
        self.change_fleet(json!({ "PutPool": { "pool": pool } }));
    }

    /// Changes pools, instances or waves through the first entry instance.
    pub fn change_fleet(&self, command: Value) {
        let change = command.to_string();
        let id = &change[..change.len().min(120)];
        let (status, text) = self.put(0, "fleet", id, &command);
        assert_eq!(status, 200, "{text}");
    }

    /// A pool as an entry instance knows it; null if it is not known.
    pub fn pool(&self, i: usize, name: &str) -> Value {
        let pools = self.get(i, "pools")["pools"].take();
        let mut pools = pools.as_array().cloned().unwrap_or_default().into_iter();
        pools.find(|pool| pool["name"] == name).unwrap_or_default()
    }

    /// Creates pool `p` with the urgent service `check` and the patient service
    /// `archive`, and waits until every entry instance carries it.
    pub fn put_pool(&self, min_available: u32) {
        let service = |name: &str, class: &str| {
            let demand = json!({ "cores": 1, "memory_mib": 64, "accelerators": 0, "run_ms": 20 });
            json!({ "name": name, "class": class, "demand": demand })
        };
        let pool = json!({
            "name": "p",
            "budget": { "min_available": min_available, "survive": "none" },
            "services": [service("check", "urgent"), service("archive", "patient")],
        });
        let (status, text) = self.put(
            0,
            "fleet",
            "create-p",
            &json!({ "PutPool": { "pool": pool } }),
        );
        assert_eq!(status, 200, "{text}");
    }

    /// Addresses at which the upstreams of a zone announce themselves.
    pub fn announce_to(&self, zone: &str) -> String {
        let addresses: Vec<_> = self
            .entries
            .iter()
            .filter(|entry| entry.zone == zone)
            .map(|entry| entry.upstreams.to_string())
            .collect();
        format!("{zone}={}", addresses.join(","))
    }

    /// Starts two upstreams in each zone, named after it, and waits for them.
    pub fn upstreams_in_all_zones(&self, args: &[&str]) -> Vec<Upstreams> {
        let start = |zone: &&str| {
            let entries = self.announce_to(zone);
            let fixed = [
                "--count",
                "2",
                "--name",
                zone,
                "--zone",
                zone,
                "--entries",
                &entries,
            ];
            Upstreams::start(&[&fixed, args].concat())
        };
        let started = ["z1", "z2", "z3"].iter().map(start).collect();
        self.await_upstreams(6);
        started
    }

    /// Starts one upstream in zone z1 with a proxy between it and all entry
    /// instances.
    pub fn proxied_upstream(&self, name: &str, args: &[&str]) -> (Upstreams, Link) {
        let listen = free_address();
        let link = self.hub.link(free_address(), listen).unwrap();
        let (listen, advertise) = (listen.to_string(), link.address().to_string());
        let entries = self.announce_to("z1");
        let fixed = [
            "--name",
            name,
            "--listen",
            &listen,
            "--advertise",
            &advertise,
            "--entries",
            &entries,
        ];
        (Upstreams::start(&[&fixed, args].concat()), link)
    }

    /// Waits until every entry instance knows so many upstreams and instances.
    pub fn await_upstreams(&self, count: usize) {
        until(10_000, "every entry instance knows the upstreams", || {
            (0..self.entries.len()).all(|i| {
                let status = self.status(i);
                status["upstreams"] == count && status["instances"] == count
            })
        });
    }

    /// Runs `load` against all entry instances and returns its report.
    pub fn load(&self, controls: &[&str], args: &[&str]) -> Value {
        let output = self.load_process(controls, args).wait_with_output();
        read_report(&output.unwrap())
    }

    /// Starts `load` against all entry instances.
    pub fn load_process(&self, controls: &[&str], args: &[&str]) -> std::process::Child {
        let mut command = command(&["load", "--json"]);
        for entry in &self.entries {
            command.arg("--entry").arg(entry.callers.to_string());
        }
        for control in controls {
            command.args(["--upstream-control", control]);
        }
        command.args(args);
        command
            .stdout(std::process::Stdio::piped())
            .spawn()
            .unwrap()
    }
}

/// Checks that a report's account is clean and that something was done.
#[track_caller]
pub fn assert_clean(report: &Value) {
    let account = &report["account"];
    assert!(account["done"].as_u64() > Some(0), "{report:#}");
    assert_eq!(account["checked"], true);
    for violation in [
        "lost",
        "doubled",
        "mixed_up",
        "not_whole",
        "not_run_but_ran",
        "done_without_run",
        "malformed",
    ] {
        assert_eq!(account[violation], 0, "{violation}: {report:#}");
    }
}

/// Writes a file that only its owner can read, as keys must be.
fn write_private(path: &Path, text: &str) {
    std::fs::write(path, text).unwrap();
    std::fs::set_permissions(path, Permissions::from_mode(0o600)).unwrap();
}

/// The report that `load --json` printed.
pub fn read_report(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout)
        .unwrap_or_else(|e| panic!("load printed no report ({e}): {output:?}"))
}
