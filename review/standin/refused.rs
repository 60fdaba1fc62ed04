//! The answers to jobs that were accepted are lost with their channel, and the route is dropped
//! before the entry process asks again.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::base::{Client, note, now_ms, say, sleep_ms, sleep_until, unix_ms};
use crate::world::{HOST, JSCGD, Route, Shape, Site, manifest, replace};

const PREFIX: &str = "/puxa400/";
const OTHER: &str = "/wuhu344/";
const SERVICES: [&str; 2] = ["huvo11a", "lohu93e"];
const CONSUMERS: usize = 12;
const ROUNDS: u64 = 12;
const ROUND_MS: u64 = 5_000;

/// The statuses with which the attempts to hand a job in were answered; 0 for none.
type Attempts = Mutex<BTreeMap<String, Vec<u16>>>;

pub fn run(folder: &Path, trouble: bool) -> i32 {
    let shape = Shape { entries: 2, bounds: JSCGD, services: &[(SERVICES[0], 4), (SERVICES[1], 1)], proxied: true };
    let (mut site, proxies) = Site::new(folder, &shape);
    site.start_all();
    let kept = || Route { name: "r-k9m68k7", prefix: OTHER, service: SERVICES[0] };
    let dropped = || Route { name: "r-anu6wsj", prefix: PREFIX, service: SERVICES[0] };
    let with = |version| manifest(version, &[kept(), dropped()], &SERVICES);
    let without = |version| manifest(version, &[kept()], &SERVICES);
    if replace(&site.control_addresses, 3, &with(3)).is_none() || !site.wait_ready(15_000) {
        say("the deployment did not start");
        return 2;
    }
    sleep_ms(4_000);
    let attempts: Arc<Attempts> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|n| {
            let (attempts, over) = (Arc::clone(&attempts), Arc::clone(&over));
            let fronts = site.front_addresses.clone();
            std::thread::spawn(move || consume(n, &fronts, &attempts, &over))
        })
        .collect();
    let began = now_ms();
    let mut version = 3;
    for round in 0..ROUNDS {
        // At uneven times: consumers that are answered together would else be in step with it.
        sleep_until(began + ROUND_MS * round + 1_500 + round * 137 % 400);
        if trouble {
            let reset: usize = proxies.iter().map(crate::base::Proxy::reset).sum();
            note(&format!("network: {reset} channels between {} and the core are reset", site.entries[0].name));
        }
        for text in [without(version + 2), with(version + 4)] {
            version += 2;
            if replace(&site.control_addresses, version, &text).is_none() {
                say("a manifest was not acknowledged");
                return 2;
            }
            sleep_until(began + ROUND_MS * round + 3_500);
        }
    }
    sleep_until(began + ROUND_MS * ROUNDS);
    over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    sleep_ms(3_000);
    judge(&mut site, &attempts.lock().unwrap())
}

/// Submits one job after the other. A job is one task of 100 thousandths of a core for 50 ms.
fn consume(n: usize, fronts: &[std::net::SocketAddr], attempts: &Attempts, over: &AtomicBool) {
    let mut clients: Vec<Client> = fronts.iter().map(|front| Client::new(*front)).collect();
    let mut job = (unix_ms() << 20) | (n as u64) << 16;
    while !over.load(Ordering::SeqCst) {
        job += 1;
        let id = format!("{job:016x}");
        let body = "{\"spec\":\"ms=50\",\"phases\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"estimate_ms\":50}]}";
        for tried in 0..5 {
            let at = (n + tried) % fronts.len();
            note(&format!("consumer {n}: submits {id} at {}", fronts[at]));
            let answer = clients[at].call("POST", HOST, &format!("{PREFIX}{id}"), "Deadline-Ms: 3000\r\n", body, 3_000);
            let status = answer.map_or(0, |(status, _)| status);
            note(&format!("consumer {n}: {id} is answered {status}"));
            attempts.lock().unwrap().entry(id.clone()).or_default().push(status);
            // No answer, a 502 and a 504 say nothing; such a request is sent again. The others
            // end the submission.
            if !matches!(status, 0 | 502 | 504) {
                break;
            }
            sleep_ms(50);
        }
        // Where there is no queue, a consumer tries less often.
        let found = attempts.lock().unwrap().get(&id).is_some_and(|statuses| statuses.last() == Some(&200));
        let uneven = job * 7_919 % 29;
        sleep_ms(if found { 35 + uneven } else { 235 + uneven });
    }
}

fn judge(site: &mut Site, attempts: &BTreeMap<String, Vec<u16>>) -> i32 {
    let mut answers: BTreeMap<u16, usize> = BTreeMap::new();
    let mut broken = 0;
    let starts = site.ledger.starts.lock().unwrap();
    for (id, statuses) in attempts {
        for status in statuses {
            *answers.entry(*status).or_default() += 1;
        }
        let rejected = statuses.iter().all(|status| matches!(status, 400..=499 | 503));
        let start = starts.iter().find(|start| start.task.starts_with(id.as_str()));
        if let (true, Some(start)) = (rejected, start) {
            broken += 1;
            note(&format!(
                "check: all attempts to submit {id} were rejected ({statuses:?}); {} started on {} at {} ms",
                start.task, start.worker, start.at_ms
            ));
        }
    }
    drop(starts);
    say(&format!("{} jobs, their attempts by status {answers:?}", attempts.len()));
    let ended = site.own_ends();
    if !ended.is_empty() {
        say(&format!("processes that ended by themselves: {ended:?}"));
    }
    if broken > 0 {
        say(&format!("REFUSED is broken: {broken} jobs were rejected at every attempt and have run"));
        return 1;
    }
    say("REFUSED held");
    0
}
