//! What an entry instance adds: time to a call, time until a row is in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{WrapErr, bail, eyre};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use ureq::Agent;

use super::trial::{Entries, Upstreams, ask, change, wait};
use crate::account::{Account, Experiment, Mix, Plan, fetch_runs};
use crate::unix_time::unix_ms;
use crate::upstream::RunTimes;
use crate::upstream_api as api;

const ZONES: [&str; 3] = ["a", "b", "c"];
/// Entry instances in each zone: nine, the most there are today.
const PER_ZONE: usize = 3;
const CALLS: u64 = 2_000;
const ROWS: u64 = 60;
/// Real run time of the service, so short that what is added shows.
const RUN_MS: u64 = 1;

/// Runs the measurement and prints its table.
///
/// # Errors
/// A port, thread or file could not be had, or a step did not come about.
pub fn run() -> eyre::Result<()> {
    let folder = tempfile::tempdir()?;
    let entries = Entries::start(&folder, &ZONES, PER_ZONE)?;
    let conn = &entries.conn;
    wait(
        "a leader",
        || Ok(ask(conn, "/status")?["health"] == "ready"),
    )?;
    let pool = json!({ "PutPool": { "pool": {
        "name": "p",
        "budget": { "min_available": 3, "survive": "none" },
        "services": [{ "name": "check", "class": "urgent",
            "demand": { "cores": 1, "memory_mib": 64, "accelerators": 0, "run_ms": RUN_MS } }],
    }}});
    change(conn, "/fleet", pool.to_string().as_bytes())?;
    let run_times = RunTimes::new(BTreeMap::new(), RUN_MS, 0, 1);
    let upstreams = Upstreams::start(&folder, &entries, &instances(), run_times)?;
    wait("the upstreams", || {
        let status = ask(conn, "/status")?;
        Ok(status["instances"] == 12 && status["upstreams"] == 12)
    })?;

    println!(
        "{} entry instances, 12 stand-ins, one process",
        entries.callers.len()
    );
    println!("{:<52}{:>9}{:>9}{:>9}", "", "p50", "p99", "max");
    let agent = agent();
    show(
        "direct call of a stand-in (us)",
        &direct(&agent, &upstreams)?,
    );
    show(
        "call through an entry instance (us)",
        &through(&agent, &entries, false)?,
    );
    show(
        "the same, runs only once, claimed and stored (us)",
        &through(&agent, &entries, true)?,
    );
    show("row accepted until in force on all (ms)", &rows(&entries)?);
    throughput(&entries, &upstreams)?;
    entries.stop()
}

fn instances() -> String {
    let mut text = String::from("name,zone,rack,pool,cores,memory_mib,slots,connections\n");
    for number in 0..12 {
        let zone = ZONES[number % 3];
        text += &format!("w{number},{zone},{zone}-r1,p,16,65536,8,64\n");
    }
    text
}

fn agent() -> Agent {
    Agent::config_builder()
        .max_redirects(0)
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(Duration::from_secs(5)))
        .build()
        .into()
}

/// What the first stand-in says of itself.
fn first_stand_in(agent: &Agent, upstreams: &Upstreams) -> eyre::Result<Value> {
    let text = agent
        .get(format!("http://{}/instances", upstreams.control))
        .call()?
        .body_mut()
        .read_to_string()?;
    let first = text.lines().next().ok_or_else(|| eyre!("no stand-in"))?;
    let view: Value = serde_json::from_str(first)?;
    Ok(view.get(0).cloned().unwrap_or(view))
}

fn direct(agent: &Agent, upstreams: &Upstreams) -> eyre::Result<Histogram<u64>> {
    // It refuses everything until it was told its pool epoch.
    wait("the stand-in's pool epoch", || {
        Ok(first_stand_in(agent, upstreams)?["pool_epoch"] != 0)
    })?;
    let view = first_stand_in(agent, upstreams)?;
    let address: SocketAddr = view["address"]
        .as_str()
        .ok_or_else(|| eyre!("a stand-in without an address"))?
        .parse()?;
    timed(|number| {
        let reply = agent
            .post(format!("http://{address}/run"))
            .header(api::REQUEST, format!("direct-{number}"))
            .header(api::ATTEMPT, "1")
            .header(api::SERVICE, "check")
            .header(api::POOL, "p")
            .header(api::POOL_EPOCH, view["pool_epoch"].to_string())
            .header(api::INCARNATION, view["incarnation"].to_string())
            .header(api::CLASS, "urgent")
            .header(api::IDEMPOTENT, "true")
            .send(format!("direct {number}").as_bytes())?;
        whole(reply)
    })
}

fn through(agent: &Agent, entries: &Entries, once: bool) -> eyre::Result<Histogram<u64>> {
    let entry = entries.callers.first().ok_or_else(|| eyre!("no entry"))?;
    let run = unix_ms();
    timed(|number| {
        let mut request = agent
            .post(format!("http://{entry}/call/check"))
            .header("rg-idempotent", (!once).to_string());
        if once {
            request = request.header(api::KEY, format!("{run}-{number}"));
        }
        whole(request.send(format!("{once} {number}").as_bytes())?)
    })
}

fn whole(mut reply: http::Response<ureq::Body>) -> eyre::Result<()> {
    let status = reply.status();
    let body = reply.body_mut().read_to_string()?;
    if status != http::StatusCode::OK {
        bail!("answered {status}: {body}");
    }
    Ok(())
}

fn timed(mut call: impl FnMut(u64) -> eyre::Result<()>) -> eyre::Result<Histogram<u64>> {
    let mut times = Histogram::new(3)?;
    for number in 0..CALLS {
        let start = Instant::now();
        call(number)?;
        // The first calls open connections and warm the dispatcher up.
        if number >= CALLS / 10 {
            times.record(u64::try_from(start.elapsed().as_micros())?)?;
        }
    }
    Ok(times)
}

fn rows(entries: &Entries) -> eyre::Result<Histogram<u64>> {
    let mut times = Histogram::new(3)?;
    for version in 0..ROWS {
        let limit = 30 + version % 3;
        let sheet = format!(
            "kind,name,zone,weight,limit_in_flight,queue_ms,version\n\
             service,check,a,50,{limit},1000,{version}\n"
        );
        let answer = change(&entries.conn, "/table", sheet.as_bytes())?;
        let everywhere = answer["in_force"].as_array().map_or(0, Vec::len);
        if everywhere != entries.callers.len() {
            bail!("a row is in force on {everywhere} only: {answer}");
        }
        times.record(answer["after_ms"].as_u64().unwrap_or(u64::MAX))?;
    }
    Ok(times)
}

fn throughput(entries: &Entries, upstreams: &Upstreams) -> eyre::Result<()> {
    let mix = Mix {
        services: vec!["check:urgent:1".parse().map_err(eyre::Report::msg)?],
        teams: vec!["team:1:10".parse().map_err(eyre::Report::msg)?],
        not_idempotent_percent: 0,
        twin_percent: 0,
        cancel_percent: 0,
        cancel_after_ms: 0,
        body_bytes: 64,
    };
    let label = format!("entry-{:x}", unix_ms());
    let before = cpu_ms()?;
    let outcome = Experiment {
        plan: Plan::new(mix, 3_000.0, 5_000, &label, 1),
        entries: entries.callers.clone(),
        keys_are_new: true,
        deadline_ms: 5_000,
        patient_deadline_ms: 5_000,
        resends: 0,
        threads: 256,
        settle_ms: 1_000,
        poll_ms: 100,
    }
    .run()?;
    let used_ms = cpu_ms()? - before;
    let runs = fetch_runs(std::slice::from_ref(&upstreams.control))?;
    let account = Account::draw(&outcome.ledger, Some(&runs));
    if !account.is_clean() {
        bail!("the account is not clean:\n{account}");
    }
    let done: u64 = outcome.latency.quantiles().iter().map(|q| q.count).sum();
    println!(
        "{done} calls at 3,000 a second took {used_ms} ms of processor time in all, load tool \
         and stand-ins included: {} calls a core and second",
        done * 1_000 / used_ms.max(1)
    );
    Ok(())
}

/// Processor time of this process, in milliseconds.
fn cpu_ms() -> eyre::Result<u64> {
    const TICKS_PER_S: u64 = 100;
    let stat = std::fs::read_to_string("/proc/self/stat").wrap_err("no processor times")?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |n: usize| -> eyre::Result<u64> {
        let field = fields.get(n).ok_or_else(|| eyre!("no processor times"))?;
        Ok(field.parse()?)
    };
    Ok((ticks(11)? + ticks(12)?) * 1_000 / TICKS_PER_S)
}

fn show(what: &str, times: &Histogram<u64>) {
    let at = |q: f64| times.value_at_quantile(q);
    println!("{what:<52}{:>9}{:>9}{:>9}", at(0.5), at(0.99), times.max());
}
