//! The policy lab as an operator runs it.
#![allow(missing_docs, clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, TestResult};
use quickcheck_macros::quickcheck;
use rosemarygauge::control::{Effect, Order, OrderKind, Place, Policy};
use rosemarygauge::jobs::{JobId, JobSpec, Resources, RunResult, Step, TaskId};
use rosemarygauge::lab::{
    Demand, Emulator, FakeMachine, FaultsSpec, FleetSpec, Keeper, LeaderLoss, Ledger, Play,
    PoolSpec, QueueSpec, RackLoss, RuleBreak, Spread, StandbySpec, StepSpec, TaskTruth, TurnPace,
    WaveSpec, Workload, paired,
};

const NO_MOVES: &str = r#"{"moves": {"enabled": false}, "standby": {"enabled": false}}"#;

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/lab")
}

/// Runs `lab compare` with a workload and a policy, on two seeds unless others are named.
fn compare(workload: &str, policy: &str, more: &[&str]) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let files = ["workload.json", "policy.json"].map(|name| folder.path().join(name));
    std::fs::write(&files[0], workload).unwrap();
    std::fs::write(&files[1], policy).unwrap();
    Command::new(env!("CARGO_BIN_EXE_rosemarygauge"))
        .args(["lab", "compare", "--workload"])
        .arg(&files[0])
        .arg("--policy")
        .arg(&files[1])
        .args(more)
        .output()
        .unwrap()
}

fn told(out: &Output) -> String {
    String::from_utf8([&out.stdout[..], &out.stderr[..]].concat()).unwrap()
}

/// A fleet of two pools, whose demand goes from one to the other every five seconds.
fn small() -> Workload {
    let queue = |pool: &str| QueueSpec {
        name: format!("{pool}-checks"),
        pool: pool.into(),
        jobs_per_s: 2.0,
        steps: vec![
            StepSpec {
                tasks: 6,
                cpu_milli: 2_000,
                memory_mb: 500,
                run_ms: 700,
            };
            2
        ],
        estimate_factor: Spread {
            least: 0.5,
            most: 2.0,
        },
        run_factor: Spread::default(),
        failing_part: 0.01,
        slack_factor: 1.6,
        target_latency_ms: 600,
        attempts_max: 3,
        priority: 0,
    };
    let pool = |name: &str| PoolSpec {
        name: name.into(),
        workers: 5,
    };
    Workload {
        play_s: 20,
        fleet: FleetSpec {
            pools: vec![pool("east"), pool("west")],
            standby: None,
            cpu_milli: 8_000,
            memory_mb: 16_000,
            rack_size: 2,
            move_ms: 1_500,
            upkeep_ms: 2_000,
        },
        queues: vec![queue("east"), queue("west")],
        demand: Demand::Turns {
            turn_ms: 5_000,
            part: 0.95,
            pace: TurnPace::Even,
        },
        faults: FaultsSpec::default(),
    }
}

fn json(workload: &Workload) -> String {
    serde_json::to_string(workload).unwrap()
}

/// An operator's slips in a workload: each is named with what to give instead, and
/// nothing is played.
#[test]
fn what_is_wrong_with_a_workload_is_named() {
    let mut workload = small();
    workload.play_s = 0;
    workload.queues[1].pool = "wset".into();
    workload.queues[0].steps[1].cpu_milli = 9_000;
    workload.fleet.pools[1].name = "East!".into();
    let out = compare(&json(&workload), NO_MOVES, &[]);
    let told_all = told(&out);
    assert_eq!(out.status.code(), Some(1), "{told_all}");
    for line in [
        "play_s is 0; give 1 to 3600",
        "queues[1].pool is \"wset\"; name one of fleet.pools",
        "queues[0].steps[1] asks for more than a machine has; ask for less",
        "fleet.pools[1].name is \"East!\"; give 1 to 40 small letters",
    ] {
        assert!(told_all.contains(line), "{line}: {told_all}");
    }
    let text = json(&small()).replace("\"move_ms\"", "\"move\"");
    let out = compare(&text, NO_MOVES, &[]);
    assert_eq!(out.status.code(), Some(1));
    assert!(
        told(&out).contains("unknown field `move`"),
        "{}",
        told(&out)
    );
    assert!(told(&out).contains("`move_ms`"), "the right one is told");
    let out = compare(&json(&small()), r#"{"moves": {"stay_ms": 900000}}"#, &[]);
    assert_eq!(out.status.code(), Some(1));
    assert!(told(&out).contains("moves.stay_ms is 900000; give 0 to 600000"));
    let out = compare(&json(&small()), NO_MOVES, &["--seeds", "4"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(told(&out).contains("give the first and the last as 1..30"));
}

#[test]
fn the_shipped_workloads_and_policy_are_right() {
    for name in ["turns", "bursts", "growth"] {
        let file = examples().join(format!("{name}.json"));
        assert_eq!(Workload::load(&file).err(), None, "{name}");
    }
    let policy = Policy::load(&examples().join("no-moves.json")).unwrap();
    assert!(!policy.moves.enabled && !policy.standby.enabled);
}

/// Figures that changed from run to run could not be compared with those of another day,
/// and a seed that broke a promise could not be played again.
#[test]
fn the_same_seeds_give_the_same_figures_however_many_play_at_a_time() {
    let mut workload = small();
    workload.play_s = 6;
    workload.faults.crashes_per_hour = 200.0;
    workload.faults.leader = vec![LeaderLoss {
        at_s: 3,
        down_ms: 300,
    }];
    let text = json(&workload);
    let run = |more: &[&str]| {
        let out = compare(&text, NO_MOVES, more);
        assert!(out.status.success(), "{}", told(&out));
        told(&out)
    };
    let first = run(&["--seeds", "1..3", "--json", "--jobs", "1"]);
    assert_eq!(first, run(&["--seeds", "1..3", "--json", "--jobs", "3"]));
    assert_ne!(first, run(&["--seeds", "2..4", "--json"]), "seeds matter");
    serde_json::from_str::<serde_json::Value>(&first).unwrap();
}

/// Where demand goes round the pools, a policy that moves no machine serves less, on every
/// seed alike: the interval of the difference leaves out 0.
#[test]
fn without_moves_less_is_on_time_where_demand_goes_round() {
    let mut workload = Workload::load(&examples().join("turns.json")).unwrap();
    workload.play_s = 40;
    let out = compare(&json(&workload), NO_MOVES, &["--seeds", "1..4", "--json"]);
    assert!(out.status.success(), "{}", told(&out));
    let figures: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    let rows = figures["rows"].as_array().unwrap();
    let row = |name: &str| rows.iter().find(|row| row["measure"] == name).unwrap();
    let on_time = row("on time, share of work");
    assert!(
        on_time["difference"]["to"].as_f64().unwrap() < 0.0,
        "{on_time}"
    );
    assert_eq!(row("moves")["mean_b"].as_f64(), Some(0.0));
    assert!(row("moves")["mean_a"].as_f64().unwrap() > 0.0);
}

/// Under this seed the election takes longer than a call waits for its leader. Given up
/// then, the configuration would be missing, and no job would run in the whole play.
#[test]
fn a_leader_that_comes_late_gets_its_configuration() {
    let mut workload = small();
    workload.play_s = 5;
    workload.demand = Demand::Steady {};
    let outcome = Play::run(&workload, &Policy::default(), 9).unwrap();
    assert_eq!(outcome.get("not done, share of work"), Some(0.0));
}

/// The figures of a play add up: every job is on time, late or not done.
#[test]
fn shares_add_up_and_faults_cost_something() {
    let mut workload = small();
    workload.play_s = 10;
    let calm = Play::run(&workload, &Policy::default(), 7).unwrap();
    workload.faults.racks = vec![RackLoss { at_s: 4, rack: 0 }];
    let hit = Play::run(&workload, &Policy::default(), 7).unwrap();
    for outcome in [&calm, &hit] {
        let shares = ["on time", "late", "not done"]
            .map(|share| outcome.get(&format!("{share}, share of work")).unwrap());
        assert!(
            (shares.iter().sum::<f64>() - 1.0).abs() < 1e-9,
            "{shares:?}"
        );
    }
    assert_eq!(
        calm.get("jobs"),
        hit.get("jobs"),
        "no fault changes what comes"
    );
    assert!(hit.get("runs thrown away") > calm.get("runs thrown away"));
}

/// The leader's process ends where sums are checked. Machines that are emptied for a move
/// count as gone from their pool; the pass then gives up emptying some, so that it finds
/// more machines to give away than its count of the pool, which goes below nothing.
#[test]
fn no_pool_gives_away_more_machines_than_it_counts() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/lab");
    let workload = Workload::load(&folder.join("gives-more-than-it-counts.json")).unwrap();
    let played = Play::run(&workload, &Policy::default(), 1);
    assert_eq!(played.err(), None);
}

fn task(step: u16, index: u16) -> TaskId {
    TaskId {
        job: JobId::from(1),
        occurrence: 0,
        step,
        index,
    }
}

/// One job of two steps with two tasks each, each of which takes a whole machine.
fn job() -> (Arc<JobSpec>, Vec<Vec<TaskTruth>>) {
    let step = |after| Step {
        tasks: 2,
        demand: Resources {
            cpu_milli: 1_000,
            memory_mb: 100,
            accelerators: 0,
        },
        estimate_ms: 100,
        after,
        ..Step::default()
    };
    let spec = JobSpec {
        payload: String::new(),
        steps: vec![step(Vec::new()), step(vec![0])],
        recurrence: None,
    };
    (Arc::new(spec), vec![vec![TaskTruth::even(100, 0); 2]; 2])
}

/// A check that never fails checks nothing: each promise is broken once.
#[test]
fn every_broken_promise_is_seen() {
    let mut ledger = Ledger::default();
    let (first, second) = (task(0, 0), task(1, 0));
    let unknown = RuleBreak::Unknown { task: first };
    assert_eq!(ledger.start(1, first), Err(unknown));
    let (spec, truths) = job();
    ledger.hand_in(JobId::from(1), spec, truths);
    ledger.start(2, first).unwrap();
    let (now_ms, before) = (3, 0);
    let twice = RuleBreak::Twice {
        task: first,
        now_ms,
    };
    assert_eq!(ledger.start(3, first), Err(twice));
    ledger.end(first, RunResult::Done);
    let after = RuleBreak::AfterDone {
        task: first,
        now_ms,
    };
    assert_eq!(ledger.start(3, first), Err(after));
    let order = RuleBreak::Order {
        task: second,
        before,
        now_ms,
    };
    assert_eq!(ledger.start(3, second), Err(order));
    // What the leader may not know of may start again.
    ledger.doubt(first);
    ledger.start(4, first).unwrap();
}

#[test]
fn a_start_without_room_is_seen() {
    let room = Resources {
        cpu_milli: 1_000,
        memory_mb: 1_000,
        accelerators: 0,
    };
    let machine = FakeMachine::off(0, "east".into(), "a".into(), "r1".into(), room);
    let mut emulator = Emulator::new(vec![machine], Keeper::Refuses);
    let report = emulator.machines()[0].report(0).unwrap();
    let place = Place {
        host: "h.example".into(),
        path: "/east/1".into(),
    };
    let (spec, truths) = job();
    emulator.hand_in(1, place, spec, truths);
    let mut start = |index| {
        emulator.carry_out(Effect::Order(Order {
            id: 1,
            address: report.address,
            worker: report.worker.clone(),
            fence: 1,
            timeout_ms: 400,
            kind: OrderKind::Start {
                task: task(0, index),
                attempt: 1,
                payload: String::new(),
                lease_end_ms: 5_000,
                checkpoint: String::new(),
                ticket: None,
            },
        }))
    };
    assert_eq!(start(0), Ok(()));
    let (task, now_ms) = (task(0, 1), 0);
    assert_eq!(start(1), Err(RuleBreak::Capacity { task, now_ms }));
}

/// The interval of differences whose mean and deviation are known: 2 and 1, three pairs.
#[test]
fn the_interval_is_that_of_paired_differences() {
    let interval = paired(&[10.0, 20.0, 30.0], &[11.0, 22.0, 33.0]);
    assert!((interval.mean - 2.0).abs() < 1e-9);
    assert!((interval.to - 2.0 - 4.303 / 3.0_f64.sqrt()).abs() < 1e-9);
    assert!((interval.from + interval.to - 4.0).abs() < 1e-9);
}

/// A small workload of any kind, with every kind of fault.
#[derive(Clone, Debug)]
struct Any(Workload);

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut draw = |least: u64, most: u64| least + u64::arbitrary(g) % (most - least + 1);
        let mut workload = small();
        workload.play_s = draw(1, 4);
        for pool in &mut workload.fleet.pools {
            pool.workers = draw(1, 6) as u16;
        }
        workload.fleet.standby = (draw(0, 1) == 1).then(|| StandbySpec {
            name: "spare".into(),
            machines: draw(0, 4) as u16,
        });
        workload.fleet.move_ms = draw(1, 2_000);
        for queue in &mut workload.queues {
            queue.jobs_per_s = draw(0, 12) as f64;
            queue.failing_part = draw(0, 30) as f64 / 100.0;
            queue.attempts_max = draw(1, 4) as u32;
            queue.priority = draw(0, 1) as u32;
            queue.run_factor = Spread {
                least: 0.3,
                most: 3.0,
            };
            for step in &mut queue.steps {
                step.tasks = draw(1, 8) as u16;
                step.cpu_milli = draw(1, 8_000) as u32;
                step.memory_mb = draw(0, 16_000) as u32;
                step.run_ms = draw(1, 900);
            }
        }
        workload.demand = match draw(0, 3) {
            0 => Demand::Steady {},
            1 => Demand::Turns {
                turn_ms: draw(200, 2_000),
                part: 0.8,
                pace: TurnPace::Uneven,
            },
            2 => Demand::Bursts {
                every_ms: 1_500,
                lasts_ms: draw(1, 1_500),
                factor: 4.0,
            },
            _ => Demand::Growth { factor: 3.0 },
        };
        workload.faults = FaultsSpec {
            crashes_per_hour: draw(0, 2_000) as f64,
            down_ms: draw(1, 4_000),
            racks: vec![RackLoss { at_s: 1, rack: 0 }],
            waves: vec![WaveSpec {
                at_s: 0,
                machines: draw(1, 2) as u16,
                duration_ms: 8_000,
                down_max: 1,
            }],
            leader: vec![LeaderLoss {
                at_s: draw(0, 1),
                down_ms: draw(1, 1_500),
            }],
        };
        Self(workload)
    }
}

/// Whatever a workload is: no task runs twice at once or after it is done, none before the
/// step that it comes after, and no worker has more to do than it has room for.
#[quickcheck]
fn random_workloads_break_no_promise(any: Any, seed: u64, moves: bool) -> TestResult {
    let workload = any.0;
    assert_eq!(workload.faults(), Vec::new());
    let mut policy = Policy::default();
    policy.moves.enabled = moves;
    match Play::run(&workload, &policy, seed) {
        Ok(_) => TestResult::passed(),
        Err(broken) => TestResult::error(format!("seed {seed}: {broken}: {}", json(&workload))),
    }
}
