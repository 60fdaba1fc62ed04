//! Every pool stays within its availability budget, also during a wave in which
//! a rack fails.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::collections::BTreeSet;

use serde_json::{Value, json};
use support::{System, Upstreams, assert_clean, controls, read_report, until};

const MIX: &[&str] = &[
    "--service",
    "check:urgent:1",
    "--service",
    "score:urgent:1",
    "--not-idempotent",
    "20",
    "--resend",
    "8",
    "--rate",
    "60",
    "--duration-ms",
    "30000",
];

/// Time in which a wave over six instances, two at a time, must end with a rack
/// that is lost in between.
const WAVE_MS: u64 = 60_000;

/// What was seen of one pool: who was absent by decision, and whether its budget
/// was broken.
#[derive(Default)]
struct Watch {
    absent: BTreeSet<String>,
    broken: bool,
    was_broken: bool,
}

impl Watch {
    /// Takes in the pool's state and checks that nobody left a broken pool, and
    /// that nobody's leaving broke one.
    fn see(&mut self, pool: &Value) {
        let Some(budget_use) = pool["budget_use"].as_str() else {
            return;
        };
        let broken = budget_use.contains("breaks");
        let absent: BTreeSet<String> = pool["instances"]
            .as_array()
            .unwrap()
            .iter()
            .filter(|instance| instance["duty"] != "serving")
            .map(|instance| instance["name"].as_str().unwrap().to_owned())
            .collect();
        if self.broken && broken {
            let new: Vec<_> = absent.difference(&self.absent).collect();
            assert!(new.is_empty(), "{new:?} left a broken pool: {budget_use}");
        }
        if !budget_use.contains("failed") {
            assert!(!broken, "broken by decision: {budget_use}");
        }
        self.was_broken |= broken;
        self.broken = broken;
        self.absent = absent;
    }
}

/// Both pools and the wave, as one entry instance shows them.
struct Watches<'a> {
    system: &'a System,
    pools: [(&'static str, Watch); 2],
}

impl Watches<'_> {
    /// Watches until the wave's state is as wanted.
    #[track_caller]
    fn until(&mut self, what: &str, mut wanted: impl FnMut(&Value) -> bool) {
        until(WAVE_MS, what, || {
            for (name, watch) in &mut self.pools {
                watch.see(&self.system.pool(0, name));
            }
            wanted(&self.system.get(0, "waves")["waves"][0])
        });
    }

    fn broken(&self) -> bool {
        self.pools.iter().all(|(_, watch)| watch.was_broken)
    }
}

fn incarnation(up: &Upstreams, name: &str) -> u64 {
    up.instance(name)["incarnation"].as_u64().unwrap()
}

/// A rack in a zone with instances of both pools; a reboot takes `reboot_ms`.
fn start_rack(system: &System, zone: &str, pool: &str, names: (&str, u32), ms: u32) -> Upstreams {
    let (name, count) = names;
    let (count, reboot_ms) = (count.to_string(), ms.to_string());
    let (entries, rack) = (system.announce_to(zone), format!("r-{zone}"));
    let args = [
        "--name",
        name,
        "--count",
        &count,
        "--zone",
        zone,
        "--rack",
        &rack,
        "--pool",
        pool,
        "--entries",
        &entries,
        "--reboot-ms",
        &reboot_ms,
    ];
    Upstreams::start(&args)
}

// Each of two pools may miss one of three instances. While a wave reboots the
// first of each, the rack with the other two of each dies. Nobody asked the
// budget for that: the wave must pause and say why, also after its first visits
// are over, and take nobody out until the rack is back; then it must go on and
// reboot each instance once. Callers get whole answers or are told.
#[test]
fn a_wave_pauses_while_a_rack_is_lost_and_ends_after_it_is_back() {
    let system = System::start(1);
    system.put_pool_for("p", "check", 2);
    system.put_pool_for("q", "score", 2);
    let first = [
        start_rack(&system, "z1", "p", ("p1", 1), 5_000),
        start_rack(&system, "z1", "q", ("q1", 1), 5_000),
    ];
    let rack = [
        start_rack(&system, "z2", "p", ("p2", 2), 200),
        start_rack(&system, "z2", "q", ("q2", 2), 200),
    ];
    system.await_upstreams(6);
    let before = [incarnation(&first[0], "p1"), incarnation(&first[1], "q1")];
    let before_rack = [incarnation(&rack[0], "p21"), incarnation(&rack[1], "q22")];
    let all = [controls(&first), controls(&rack)].concat();
    let load = system.load_process(&all, MIX);
    let mut watches = Watches {
        system: &system,
        pools: [("p", Watch::default()), ("q", Watch::default())],
    };
    system.change_fleet(json!({ "StartWave": { "spec": {
        "name": "all", "kind": "reboot", "selection": "all",
        "drain_ms": 500, "absence_ms": 5_000, "spread_percent": 50,
        "weights": { "rollout_per_minute": 1, "per_move": 600, "buffer_per_instance_hour": 10 },
    }}}));
    watches.until("the first of each pool are out", |wave| {
        wave["out"] == json!(["p1", "q1"])
    });
    for up in &rack {
        up.set_faults(&[], json!({ "dead": true }));
    }
    watches.until("the wave pauses and says why", |wave| {
        let state = wave["state"].as_str().unwrap_or_default();
        state.starts_with("paused") && state.contains("breaks its need of 2")
    });
    watches.until("the first visits are over, and no others begin", |wave| {
        wave["done"] == 2
    });
    let wave = &system.get(0, "waves")["waves"][0];
    assert!(
        wave["state"].as_str().unwrap().starts_with("paused"),
        "{wave}"
    );
    assert_eq!(wave["out"], json!([]));
    for up in &rack {
        up.set_faults(&[], json!({}));
    }
    watches.until("the wave resumes", |wave| wave["state"] == "running");
    watches.until("the wave ends", |wave| wave["state"] == "done");
    assert!(watches.broken());
    let wave = &system.get(0, "waves")["waves"][0];
    assert_eq!((&wave["done"], &wave["left_out"]), (&json!(6), &json!({})));
    let after = [incarnation(&first[0], "p1"), incarnation(&first[1], "q1")];
    assert_eq!(after, before.map(|number| number + 1));
    // The rack came back as a new incarnation, and was rebooted once after that.
    let after = [incarnation(&rack[0], "p21"), incarnation(&rack[1], "q22")];
    assert_eq!(after, before_rack.map(|number| number + 2));
    assert_clean(&read_report(&load.wait_with_output().unwrap()));
}
