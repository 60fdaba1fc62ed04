//! `demo`: the whole system in one process, with a wave and a lost upstream.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use clap::Args as ClapArgs;
use eyre::{WrapErr, bail, eyre};
use serde_json::{Value, json};

use super::Exit;
use super::client::Conn;
use super::trial::{Entries, Upstreams, ask, change, wait};
use crate::account::{
    Account, Experiment, Mix, Outcome, Plan, ServiceShare, TeamShare, fetch_runs,
};
use crate::model::Pool;
use crate::unix_time::unix_ms;
use crate::upstream::RunTimes;

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

/// Runs the demonstration.
///
/// # Errors
/// A port, thread or file could not be had, or a step did not come about.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let clock = Instant::now();
    let say = |text: &str| println!("{:>5.1} s  {text}", clock.elapsed().as_secs_f64());
    let folder = tempfile::tempdir().wrap_err("no temporary folder")?;

    let entries = Entries::start(&folder, &ZONES, 1)?;
    let conn = &entries.conn;
    wait("a leader", || {
        let status = ask(conn, "/status")?;
        Ok(!status["log"]["leader"].is_null() && status["log"]["fresh"] == true)
    })?;
    say("3 entry instances in 3 availability zones have chosen a leader");

    let pools: Vec<Pool> = serde_json::from_str(POOLS)?;
    for pool in &pools {
        let body = json!({ "PutPool": { "pool": pool } });
        change(conn, "/fleet", body.to_string().as_bytes())?;
    }
    let upstreams = Upstreams::start(&folder, &entries, INSTANCES, run_times())?;
    let all = INSTANCES.lines().count() - 1;
    wait("the upstreams", || {
        let status = ask(conn, "/status")?;
        Ok(status["instances"] == all && status["upstreams"] == all)
    })?;
    say(&format!(
        "{} pools are in place, {all} upstreams announced themselves",
        pools.len()
    ));

    let force = change(conn, "/table", TABLE.as_bytes())?;
    say(&format!(
        "the table of weights and limits is in force on {} entry instances, {} ms after its acceptance",
        force["in_force"].as_array().map_or(0, Vec::len),
        force["after_ms"]
    ));
    show_wrong_row(conn, &say)?;

    let load = start_load(args.rate, entries.callers.clone());
    say(&format!("{} requests a second begin", args.rate));
    let wave = wave_spec();
    change(conn, "/fleet", wave.to_string().as_bytes())?;
    say(
        "a maintenance wave begins: every instance of rack amman-a-r1 is rebooted, within all budgets",
    );
    thread::sleep(Duration::from_secs(3));
    let lost = "amman-b-r1-1";
    upstreams.set_dead(lost, true)?;
    say(&format!("upstream {lost} is lost without a word"));
    wait("the loss to be noticed", || {
        Ok(ask(conn, &format!("/explain/instance/{lost}"))?["failed"] == true)
    })?;
    say(&format!("{lost} counts as failed; its pool:"));
    println!("         {}", budget_of(conn, "eligibility-checks")?);
    upstreams.set_dead(lost, false)?;
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

fn run_times() -> RunTimes {
    let means = SERVICES
        .iter()
        .map(|(name, _, _, run_ms)| ((*name).to_owned(), *run_ms));
    RunTimes::new(means.collect(), 20, 30, 1)
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
            keys_are_new: true,
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
