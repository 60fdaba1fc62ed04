//! A route's place gets a new route by a manifest while consumers submit jobs there.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::base::{Client, J, note, now_ms, say, sleep_ms, sleep_until, unix_ms};
use crate::world::{HOST, JSCGD, Route, Shape, Site, manifest, replace};

const PREFIX: &str = "/puxa400/";
const SERVICES: [&str; 2] = ["huvo11a", "lohu93e"];
const CONSUMERS: usize = 4;
const TRAFFIC_MS: u64 = 20_000;
const FINISH_MS: u64 = 14_000;

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let shape = Shape { entries: 2, bounds: JSCGD, services: &[(SERVICES[0], 4), (SERVICES[1], 1)], proxied: false };
    let (mut site, _) = Site::new(folder, &shape);
    site.start_all();
    let route = |name| Route { name, prefix: PREFIX, service: SERVICES[0] };
    let names = [
        "r-5xwyhks", "r-8nbkxxm", "r-anu6wsj", "r-b2ex5wa", "r-k9m68k7", "r-nbanfqa", "r-snmgkcu", "r-yj8pjbv", "r-c41ptxe",
    ];
    if replace(&site.control_addresses, 3, &manifest(3, &[route(names[0])], &SERVICES)).is_none() || !site.wait_ready(15_000) {
        say("the deployment did not start");
        return 2;
    }
    sleep_ms(4_000);
    let accepted: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|n| {
            let (accepted, over) = (Arc::clone(&accepted), Arc::clone(&over));
            let fronts = site.front_addresses.clone();
            std::thread::spawn(move || consume(n, &fronts, &accepted, &over))
        })
        .collect();
    let began = now_ms();
    for (n, name) in names.iter().enumerate().skip(1) {
        sleep_until(began + 2_200 * n as u64);
        if trouble {
            let version = 3 + 2 * n as u64;
            if replace(&site.control_addresses, version, &manifest(version, &[route(name)], &SERVICES)).is_none() {
                say("a manifest was not acknowledged");
                return 2;
            }
        }
    }
    sleep_until(began + TRAFFIC_MS);
    over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    say(&format!("the traffic has ended: {} jobs were accepted", accepted.lock().unwrap().len()));
    sleep_ms(FINISH_MS);
    judge(&mut site, &accepted.lock().unwrap())
}

/// Submits one job after the other. A job is one task of 100 thousandths of a core for 50 ms.
fn consume(n: usize, fronts: &[std::net::SocketAddr], accepted: &Mutex<BTreeMap<String, u64>>, over: &AtomicBool) {
    let mut clients: Vec<Client> = fronts.iter().map(|front| Client::new(*front)).collect();
    let mut job = (unix_ms() << 20) | (n as u64) << 16;
    while !over.load(Ordering::SeqCst) {
        job += 1;
        let id = format!("{job:016x}");
        let body = "{\"spec\":\"ms=50\",\"phases\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"estimate_ms\":50}]}";
        for tried in 0..5 {
            let client = &mut clients[(n + tried) % fronts.len()];
            note(&format!("consumer {n}: submits {id}"));
            let answer = client.call("POST", HOST, &format!("{PREFIX}{id}"), "Deadline-Ms: 3000\r\n", body, 3_000);
            let status = answer.map(|(status, _)| status);
            note(&format!("consumer {n}: {id} is answered {status:?}"));
            match status {
                Some(200..=299) => {
                    accepted.lock().unwrap().insert(id, now_ms());
                    break;
                }
                None | Some(502 | 504) => sleep_ms(50),
                _ => break,
            }
        }
        sleep_ms(45);
    }
}

fn judge(site: &mut Site, accepted: &BTreeMap<String, u64>) -> i32 {
    let idle = site.workers.iter().all(|worker| worker.is_idle());
    let mut client = Client::new(site.front_addresses[0]);
    let mut states: BTreeMap<String, usize> = BTreeMap::new();
    let mut broken = 0;
    let asked = now_ms();
    for pass in 0..2 {
        // Asked twice, over 3 s apart: a job that has nothing running in between is not served.
        sleep_until(asked + pass * 3_500);
        states.clear();
        broken = 0;
        for (id, at_ms) in accepted {
            let answer = client.call("GET", HOST, &format!("{PREFIX}{id}"), "Deadline-Ms: 3000\r\n", "", 3_000);
            let state = match &answer {
                Some((200, body)) => J::parse(body).unwrap_or(J::Null).get("state").str().to_owned(),
                Some((status, _)) => status.to_string(),
                None => "no answer".to_owned(),
            };
            *states.entry(state.clone()).or_default() += 1;
            let starts = site.ledger.starts.lock().unwrap();
            let started = starts.iter().filter(|start| start.task.starts_with(id.as_str())).count();
            if state != "completed" && started == 0 {
                broken += 1;
                note(&format!("check: {id}, accepted at {at_ms} ms, is {state} and was never started"));
            }
        }
    }
    say(&format!("states of the accepted jobs {:?}; all workers idle: {idle}", states));
    let ended = site.own_ends();
    if !ended.is_empty() {
        say(&format!("processes that ended by themselves: {ended:?}"));
    }
    if broken > 0 && idle {
        say(&format!("LOST is broken: {broken} accepted jobs never started, with all workers idle"));
        return 1;
    }
    say("LOST held");
    0
}
