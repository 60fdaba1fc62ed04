//! A worker starts again under its id, gets work before that is noticed, and is cut off some
//! seconds later while it runs on.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use crate::base::{Client, note, now_ms, say, sleep_ms, sleep_until, unix_ms};
use crate::world::{HOST, MENON, Route, Shape, Site, manifest, replace};

const PREFIX: &str = "/puxa400/";
const SERVICES: [&str; 2] = ["huvo11a", "lohu93e"];
const WORKERS: usize = 10;
const TASKS: usize = 9;
const ROUNDS: u64 = 4;
const ROUND_MS: u64 = 20_000;
/// How long the worker is silent until it has started again.
const SILENT_MS: u64 = 600;
/// How long after that it is cut off, and for how long.
const CUT_AFTER_MS: u64 = 1_000;
const CUT_MS: u64 = 6_000;

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let shape = Shape { entries: 2, bounds: MENON, services: &[(SERVICES[0], WORKERS), (SERVICES[1], 1)], proxied: false };
    let (mut site, _) = Site::new(folder, &shape);
    site.start_all();
    let route = Route { name: "r-anu6wsj", prefix: PREFIX, service: SERVICES[0] };
    if replace(&site.control_addresses, 3, &manifest(3, &[route], &SERVICES)).is_none() || !site.wait_ready(15_000) {
        say("the deployment did not start");
        return 2;
    }
    sleep_ms(4_000);
    let over = Arc::new(AtomicBool::new(false));
    let began = now_ms();
    let (fronts, ended) = (site.front_addresses.clone(), Arc::clone(&over));
    let consumer = std::thread::spawn(move || consume(&fronts, &ended));
    for round in 0..ROUNDS {
        let at = began + ROUND_MS * round + 1_000;
        sleep_until(at);
        if trouble {
            let worker = &site.workers[round as usize % WORKERS];
            note(&format!("network: the worker on {} falls silent", worker.machine));
            worker.part(SILENT_MS);
            sleep_until(at + SILENT_MS);
            worker.start_again();
            sleep_until(at + SILENT_MS + CUT_AFTER_MS);
            note(&format!("network: the worker on {} is cut off for {CUT_MS} ms", worker.machine));
            worker.part(CUT_MS);
        }
    }
    sleep_until(began + ROUND_MS * ROUNDS);
    over.store(true, Ordering::SeqCst);
    let jobs = consumer.join().unwrap_or(0);
    sleep_ms(3_000);
    judge(&mut site, jobs)
}

/// Submits five jobs a second in the first two seconds of each round. A job has nine tasks on as
/// many workers, each of 100 thousandths of a core for 12 s.
fn consume(fronts: &[std::net::SocketAddr], over: &AtomicBool) -> usize {
    let mut clients: Vec<Client> = fronts.iter().map(|front| Client::new(*front)).collect();
    let (mut job, mut accepted) = (unix_ms() << 20, 0);
    let began = now_ms();
    while !over.load(Ordering::SeqCst) {
        if (now_ms() - began) % ROUND_MS > 2_000 {
            sleep_ms(20);
            continue;
        }
        job += 1;
        let id = format!("{job:016x}");
        let body = format!(
            "{{\"spec\":\"ms=12000\",\"phases\":[{{\"count\":{TASKS},\"cpu\":100,\"mem_mb\":64,\"estimate_ms\":12000,\"max_per_server\":1}}]}}"
        );
        for tried in 0..5 {
            let at = (job as usize + tried) % fronts.len();
            note(&format!("consumer: submits {id}"));
            let answer = clients[at].call("POST", HOST, &format!("{PREFIX}{id}"), "Deadline-Ms: 3000\r\n", &body, 3_000);
            let status = answer.map_or(0, |(status, _)| status);
            note(&format!("consumer: {id} is answered {status}"));
            accepted += usize::from(status == 200);
            if !matches!(status, 0 | 502 | 504) {
                break;
            }
        }
        sleep_ms(200);
    }
    accepted
}

fn judge(site: &mut Site, jobs: usize) -> i32 {
    let starts = site.ledger.starts.lock().unwrap().clone();
    let ends = site.ledger.ends.lock().unwrap().clone();
    // The runs of each subtask: from, to, attempt, worker.
    let mut runs: BTreeMap<&str, Vec<(u64, u64, u64, &str)>> = BTreeMap::new();
    for start in &starts {
        let end = ends.iter().find(|end| {
            end.task == start.task && end.attempt == start.attempt && end.worker == start.worker && end.at_ms >= start.at_ms
        });
        let to = end.map_or(u64::MAX, |end| end.at_ms);
        runs.entry(&start.task).or_default().push((start.at_ms, to, start.attempt, &start.worker));
    }
    let mut broken = 0;
    for (task, runs) in &runs {
        for (at, one) in runs.iter().enumerate() {
            for other in &runs[at + 1..] {
                let both = one.1.min(other.1).saturating_sub(one.0.max(other.0));
                if one.0.max(other.0) < one.1.min(other.1) {
                    broken += 1;
                    note(&format!(
                        "check: {task} runs twice for {both} ms: run {} on {} from {} to {} ms, run {} on {} from {} to {} ms",
                        one.2, one.3, one.0, one.1, other.2, other.3, other.0, other.1
                    ));
                }
            }
        }
    }
    say(&format!("{jobs} jobs accepted, {} starts, {} subtasks", starts.len(), runs.len()));
    let ended = site.own_ends();
    if !ended.is_empty() {
        say(&format!("processes that ended by themselves: {ended:?}"));
    }
    if broken > 0 {
        say(&format!("TWICE is broken: {broken} subtasks had two runs at the same time, on workers that are up"));
        return 1;
    }
    say("TWICE held");
    0
}
