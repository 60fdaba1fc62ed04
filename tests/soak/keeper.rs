//! A stand-in for the keeper of the machines: lists them, moves them between pools and
//! takes them down for upkeep, and checks the waves' limits.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::StatusCode;
use rosemarygauge::http::{Handler, HttpServer, Incoming, Limits, Reply, json};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::fleet::Fleet;
use crate::operator::STANDBY;

/// How long a machine is away for either.
const AWAY: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
struct Wave {
    machines: BTreeSet<String>,
    down_max: usize,
    down: BTreeSet<String>,
    begun: BTreeSet<String>,
}

#[derive(Debug, Default)]
struct State {
    waves: BTreeMap<u64, Wave>,
    /// The highest fencing token and its holder, by machine.
    fences: BTreeMap<String, (u64, String)>,
    /// Pools of machines that are off.
    off: BTreeMap<String, String>,
    away: BTreeSet<String>,
}

pub struct Keeper {
    fleet: Arc<Fleet>,
    state: Mutex<State>,
}

impl Keeper {
    /// Must be called within the runtime. Returns where it listens.
    pub fn start(fleet: &Arc<Fleet>) -> (Arc<Self>, SocketAddr) {
        let keeper = Arc::new(Self {
            fleet: Arc::clone(fleet),
            state: Mutex::default(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = HttpServer::new("keeper", listener, Limits::default(), handler(&keeper));
        let (stop, stopped) = watch::channel(false);
        // It goes on until the test ends.
        std::mem::forget(stop);
        tokio::spawn(server.run(stopped));
        (keeper, address)
    }

    /// A wave is about to be asked for.
    pub fn expect_wave(&self, number: u64, machines: &[String], down_max: usize) {
        let wave = Wave {
            machines: machines.iter().cloned().collect(),
            down_max,
            ..Wave::default()
        };
        self.state().waves.insert(number, wave);
    }

    /// A wave was said to be completed.
    pub fn wave_completed(&self, number: u64) {
        let missing: Vec<String> = match self.state().waves.get(&number) {
            Some(wave) => wave.machines.difference(&wave.begun).cloned().collect(),
            None => Vec::new(),
        };
        if !missing.is_empty() {
            let line = format!("wave {number} is completed without {missing:?}");
            self.fleet.ledger.broken(line);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn place_of(&self, machine: &str) -> Option<usize> {
        let place = machine.strip_prefix("m-")?.parse::<usize>().ok()?;
        (place < self.fleet.len()).then_some(place)
    }

    /// Whether the order's token holds for the machine.
    fn is_fenced(&self, machine: &str, token: u64, holder: &str) -> bool {
        let mut state = self.state();
        let known = state.fences.entry(machine.to_owned()).or_default();
        if token < known.0 {
            return true;
        }
        if token == known.0 && !known.1.is_empty() && known.1 != holder {
            let line = format!(
                "{machine}: {} and {holder} share the token {token}",
                known.1
            );
            self.fleet.ledger.broken(line);
        }
        *known = (token, holder.to_owned());
        false
    }

    fn begin_away(self: &Arc<Self>, place: usize, pool: String, wave: Option<u64>, by: &str) {
        let machine = format!("m-{place}");
        self.fleet.end(place, Some(by));
        let off = pool == STANDBY;
        let mut state = self.state();
        state.away.insert(machine.clone());
        match off {
            true => state.off.insert(machine.clone(), pool.clone()),
            false => state.off.remove(&machine),
        };
        drop(state);
        let keeper = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(AWAY).await;
            let mut state = keeper.state();
            state.away.remove(&machine);
            if let Some(wave) = wave.and_then(|wave| state.waves.get_mut(&wave)) {
                wave.down.remove(&machine);
            }
            drop(state);
            if !off {
                keeper.fleet.begin(place, &pool);
            }
        });
    }

    /// Status and reason.
    fn order(self: &Arc<Self>, path: &str, body: &Value) -> (u16, &'static str) {
        let machine = body["machine"].as_str().unwrap_or("").to_owned();
        let Some(place) = self.place_of(&machine) else {
            return (400, "machine");
        };
        let rows = self.fleet.rows();
        let pool = rows[place]
            .1
            .clone()
            .or_else(|| self.state().off.get(&machine).cloned());
        match path {
            "/machine-move" => {
                let to = body["pool"].as_str().unwrap_or("").to_owned();
                if pool.as_deref() == Some(&to) {
                    return (200, "");
                }
                if pool.is_none() || self.state().away.contains(&machine) {
                    return (409, "busy");
                }
                self.begin_away(place, to, None, "a move");
                (200, "")
            }
            _ => {
                let number = body["wave"].as_u64().unwrap_or(0);
                let mut state = self.state();
                let away = state.away.contains(&machine);
                let Some(wave) = state.waves.get_mut(&number) else {
                    return (409, "wave");
                };
                if !wave.machines.contains(&machine) {
                    return (409, "wave");
                }
                if wave.begun.contains(&machine) {
                    return (200, "");
                }
                let Some(pool) = pool.filter(|_| !away) else {
                    return (409, "busy");
                };
                wave.begun.insert(machine.clone());
                wave.down.insert(machine.clone());
                let over = wave.down.len() > wave.down_max;
                let line = format!("wave {number}: {:?} are down at once", wave.down);
                drop(state);
                if over {
                    self.fleet.ledger.broken(line);
                }
                self.begin_away(place, pool, Some(number), "an upkeep");
                (200, "")
            }
        }
    }

    fn list(&self) -> Value {
        let rows = self.fleet.rows();
        let state = self.state();
        let machines: Vec<Value> = rows
            .into_iter()
            .map(|(machine, pool, id)| {
                let pool = pool.or_else(|| state.off.get(&machine).cloned());
                let phase = match (state.away.contains(&machine), &pool) {
                    (true, _) => "moving",
                    (false, Some(_)) => "up",
                    (false, None) => "down",
                };
                json!({
                    "machine": machine, "pool": pool.unwrap_or_default(), "state": phase,
                    "zone": "a", "labels": ["a", "r"], "id": id,
                    "capacity": {"cpu": 8_000, "mem_mb": 64_000, "gpu": 0},
                })
            })
            .collect();
        json!({"machines": machines, "next_token": null})
    }
}

fn handler(keeper: &Arc<Keeper>) -> Handler {
    rosemarygauge::http::handler(Arc::clone(keeper), |keeper, incoming| async move {
        answer(&keeper, &incoming)
    })
}

fn answer(keeper: &Arc<Keeper>, incoming: &Incoming) -> Reply {
    let path = incoming.head.uri.path();
    if path == "/machines" {
        return json(StatusCode::OK, &keeper.list());
    }
    let body: Value = serde_json::from_slice(&incoming.body).unwrap_or_default();
    let token = incoming
        .header("fencing-token")
        .and_then(|t| t.parse().ok());
    let holder = incoming.header("lease-holder").unwrap_or("");
    let machine = body["machine"].as_str().unwrap_or("");
    let (status, reason) = match keeper.is_fenced(machine, token.unwrap_or(0), holder) {
        true => (409, "fence"),
        false => keeper.order(path, &body),
    };
    let status = StatusCode::from_u16(status).unwrap();
    json(status, &json!({ "reason": reason }))
}
