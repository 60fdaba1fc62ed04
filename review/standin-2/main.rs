//! The cases of the second review that are scripts. Usage: standin-2 CASE RECORD-FILE.
//!
//! Ends with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
//! TROUBLE=0 in the environment it leaves the disruption out.

mod http;
mod json;
mod record;
mod site;
mod worker;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use json::Json;
use record::Record;
use site::{CouldNotRun, Site, could_not_run};
use worker::Machine;

const CONTACT_MS: u64 = 3_000;
const DRAIN_MS: u64 = 2_000;
const VISIBLE_MS: u64 = 3_000;
const FINISH_MS: u64 = 14_000;
const RECOVERY_MS: u64 = 12_000;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: standin-2 CASE RECORD-FILE");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new(&path));
    record.line(&format!("case {case}, disruption {trouble}"));
    let play = match case.as_str() {
        "upkeep" => upkeep_of_a_new_boot,
        "wave" => late_report_in_a_wave,
        "drain" => late_report_of_a_draining_worker,
        "pending" => pending_jobs,
        "gang" => gang_without_a_rack,
        "advice" => advice_in_a_burst,
        "first" => kill_at_the_first_start,
        _ => {
            eprintln!("no such case");
            std::process::exit(2);
        }
    };
    let kept = Arc::clone(&record);
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| play(kept, trouble)));
    let code = match played {
        Ok(breaks) if breaks.is_empty() => {
            record.line("the rule held");
            println!("{case}: the rule held");
            0
        }
        Ok(breaks) => {
            for line in &breaks {
                record.line(&format!("BROKEN: {line}"));
                println!("{case}: BROKEN: {line}");
            }
            1
        }
        Err(cause) => {
            if !cause.is::<CouldNotRun>() {
                eprintln!("the case ended by a fault of its own");
            }
            record.line("the case could not run");
            2
        }
    };
    std::process::exit(code);
}

fn site_with_workers(record: Arc<Record>, workers: usize, cpu: u64) -> Site {
    let mut site = Site::start(record, 3, 1);
    for at in 0..workers {
        site.add_machine(&format!("m-{at}"), "a", "r1", cpu);
    }
    site.configure();
    site.wait("there is a leader", 20_000, || site.leader().is_some());
    site
}

/// Lets the system run without disruption, for longer than the pages ask before machines count
/// as in touch.
fn calm(site: &Site) {
    std::thread::sleep(Duration::from_millis(CONTACT_MS + 1_500));
    site.record.line("calm until here");
}

/// Fills all workers but `free` of them with subtasks that last longer than the case.
fn fill(site: &Site, workers: usize, free: usize) -> Vec<Arc<Machine>> {
    let count = (workers - free) * 4;
    let step = format!("{{\"count\":{count},\"cpu\":4000,\"mem_mb\":256,\"estimate_ms\":90000}}");
    site.submit("00000000000000f0", "work=90000 cpu=4000", &step);
    site.wait("the fillers run", 15_000, || {
        site.machines.iter().map(|m| m.running()).sum::<usize>() == count
    });
    let empty: Vec<Arc<Machine>> = site
        .machines
        .iter()
        .filter(|m| m.running() == 0)
        .cloned()
        .collect();
    if empty.len() != free {
        could_not_run("the fillers left other workers free than planned");
    }
    empty
}

/// AVAIL: the platform is unavailable for 5 s when a machine's upkeep is ordered, and the worker
/// on that machine crashes and starts again meanwhile.
fn upkeep_of_a_new_boot(record: Arc<Record>, trouble: bool) -> Vec<String> {
    let mut site = site_with_workers(record, 6, 16_000);
    let other = site.add_machine("m-7", "b", "r1", 16_000);
    site.wait("the other machine of this kind reports", 5_000, || {
        other.report_target().is_some()
    });
    let filler_ms = site.record.now_ms();
    let step = "{\"count\":4,\"cpu\":4000,\"mem_mb\":256,\"estimate_ms\":9000,\"required_label\":\"b\"}";
    site.submit("00000000000000f1", "work=9000 cpu=4000", step);
    site.wait("the other machine of this kind is full", 5_000, || other.running() == 4);
    let due = site.add_machine("m-6", "b", "r1", 16_000);
    site.wait("the machine that is due reports", 5_000, || due.report_target().is_some());
    site.sleep_until(filler_ms + CONTACT_MS + 1_500);
    if trouble {
        site.record.line("the platform takes calls, does nothing and does not answer");
        site.cloud.silent.store(true, Ordering::SeqCst);
    }
    let silent_ms = site.record.now_ms();
    let wave = "{\"wave\":1,\"machines\":[\"m-6\"],\"duration_s\":25,\"max_count\":1}";
    if site.operator("POST", "/wave-start", wave).is_none() {
        could_not_run("the wave is not acknowledged");
    }
    if trouble {
        site.sleep_until(silent_ms + 700);
        site.record.line("the worker of m-6 crashes");
        due.end();
        std::thread::sleep(Duration::from_millis(500));
        due.boot();
        due.report();
    }
    let step = "{\"count\":3,\"cpu\":1000,\"mem_mb\":256,\"required_label\":\"b\",\
                \"long_running\":true,\"missable\":1}";
    site.submit("00000000000000a1", "lasts cpu=1000", step);
    site.sleep_until(silent_ms + 5_000);
    if trouble {
        site.record.line(&format!(
            "the platform answers again; at work on m-6: {:?}",
            due.lasting_at_work()
        ));
        site.cloud.silent.store(false, Ordering::SeqCst);
    }
    site.wait("the upkeep has begun", 20_000, || !site.cloud.upkeeps.lock().unwrap().is_empty());
    site.wait("all three subtasks are at work", 15_000, || {
        due.lasting_at_work().len() + other.lasting_at_work().len() == 3
    });
    let upkeeps = site.cloud.upkeeps.lock().unwrap();
    let ends = upkeeps.iter().filter(|(.., lasting)| lasting.len() > 1);
    ends.map(|(at_ms, machine, _, lasting)| {
        format!(
            "at {at_ms} ms the upkeep of {machine} ended {} subtasks at work of a step with \
             missable 1 at once: {lasting:?}",
            lasting.len()
        )
    })
    .collect()
}

/// LIMIT: the leader is stopped as planned while a machine is down for its upkeep, and a status
/// report that the machine's worker sent just before the upkeep arrives 0.7 s late.
fn late_report_in_a_wave(record: Arc<Record>, trouble: bool) -> Vec<String> {
    let mut site = site_with_workers(record, 7, 16_000);
    calm(&site);
    let names: Vec<String> = site.machines.iter().map(|m| format!("\"{}\"", m.name)).collect();
    let wave = format!(
        "{{\"wave\":1,\"machines\":[{}],\"duration_s\":26,\"max_count\":1}}",
        names.join(",")
    );
    let Some(leader) = site.leader() else {
        could_not_run("nobody leads");
    };
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    let to = others[0];
    // The status report of the machine that is serviced first, sent just before its upkeep.
    let first = Arc::clone(&site.machines[0]);
    let held = first.next_report(site.control(to)).filter(|_| trouble);
    if let Some((_, _, seq)) = &held {
        site.record.line(&format!(
            "worker {:?} sends report {seq} (ready) to control-{to}; it is held up on its way",
            first.id()
        ));
    }
    if site.operator("POST", "/wave-start", &wave).is_none() {
        could_not_run("the wave is not acknowledged");
    }
    site.wait("an upkeep has begun", 15_000, || !site.cloud.upkeeps.lock().unwrap().is_empty());
    let (begun_ms, down) = {
        let upkeeps = site.cloud.upkeeps.lock().unwrap();
        (upkeeps[0].0, upkeeps[0].1.clone())
    };
    if down != first.name {
        could_not_run("another machine was serviced first than the case expects");
    }
    if let Some((report, _, seq)) = held {
        site.sleep_until(begun_ms + 100);
        site.terminate(leader);
        site.wait("another one leads", 1_500, || {
            others.iter().any(|at| site.leader_by(*at) == Some(*at))
        });
        site.sleep_until(begun_ms + 700);
        let answer = http::send(site.control(to), &report, 1_000);
        site.record.line(&format!(
            "report {seq} of the worker that was on {down} arrives at control-{to}: {answer:?}"
        ));
        site.wait_end(leader);
        site.spawn(leader);
    }
    site.wait("the wave is over", 40_000, || site.cloud.upkeeps.lock().unwrap().len() == 7);
    let upkeeps = site.cloud.upkeeps.lock().unwrap();
    let beyond = upkeeps.iter().filter(|(_, _, down, _)| !down.is_empty());
    beyond
        .map(|(at_ms, machine, down, _)| {
            format!(
                "at {at_ms} ms the upkeep of {machine} began while {down:?} were down for theirs, \
                 with max_count 1"
            )
        })
        .collect()
}

/// DRAIN: reports that two workers sent before they began to drain arrive late, after a change
/// of leader.
fn late_report_of_a_draining_worker(record: Arc<Record>, trouble: bool) -> Vec<String> {
    let mut site = Site::start(record, 3, 1);
    for at in 0..14 {
        site.add_machine(&format!("m-{at}"), &format!("k{at}"), "r1", 16_000);
    }
    site.configure();
    site.wait("there is a leader", 20_000, || site.leader().is_some());
    calm(&site);
    let Some(leader) = site.leader() else {
        could_not_run("nobody leads");
    };
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    // Two workers that report to different daemons: which of these leads next is open.
    let leaving: Vec<Arc<Machine>> = others
        .iter()
        .filter_map(|at| {
            let to = Some(site.control(*at));
            site.machines.iter().find(|m| m.report_target() == to).cloned()
        })
        .collect();
    if leaving.len() != 2 {
        could_not_run("all workers report to one daemon");
    }
    // The last report before the drain is held up on its way. It is not acknowledged within a
    // second, and the worker calls the next daemon.
    let sent_ms = site.record.now_ms();
    let mut held = Vec::new();
    for machine in leaving.iter().filter(|_| trouble) {
        let Some((bytes, false, seq)) = machine.next_report(site.control(others[0])) else {
            could_not_run("no report");
        };
        site.record.line(&format!(
            "worker {:?} sends report {seq} (ready) to control-{}; it is held up on its way",
            machine.id(),
            others[0]
        ));
        held.push((Arc::clone(machine), bytes, seq));
    }
    site.sleep_until(sent_ms + 1_000);
    for machine in &leaving {
        if let Some(life) = machine.life().as_mut() {
            life.draining = true;
        }
        machine.report();
    }
    let acked_ms: Vec<u64> = leaving
        .iter()
        .filter_map(|m| m.life().as_ref().and_then(|life| life.drain_acked_ms))
        .collect();
    if acked_ms.len() != leaving.len() {
        could_not_run("a drain is not acknowledged");
    }
    // Work that only these two workers may run, and that waits for others of their kind.
    for (n, machine) in leaving.iter().enumerate() {
        let step = format!(
            "{{\"count\":2,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":5000,\"required_label\":\"{}\"}}",
            machine.kind
        );
        site.submit(&format!("00000000000000d{n}"), "work=5000 cpu=1000", &step);
    }
    if trouble {
        site.kill(leader);
        std::thread::sleep(Duration::from_millis(800));
        site.spawn(leader);
    }
    let restarted_ms = site.record.now_ms();
    site.wait("somebody leads", 5_000, || site.leader().is_some());
    // From here on, machines are in touch again.
    let steady_ms = restarted_ms + CONTACT_MS;
    site.sleep_until(steady_ms.max(sent_ms + 5_500) + 700);
    for (machine, bytes, seq) in &held {
        let answer = http::send(site.control(others[0]), bytes, 1_000);
        site.record.line(&format!(
            "report {seq} of {:?} arrives at control-{}, {} ms after it was sent: {answer:?}",
            machine.id(),
            others[0],
            site.record.now_ms() - sent_ms
        ));
    }
    std::thread::sleep(Duration::from_millis(2_000));
    site.record.line(&format!(
        "steady from {steady_ms} ms on, drains acknowledged at {acked_ms:?} ms"
    ));
    let mut breaks = Vec::new();
    for (machine, acked_ms) in leaving.iter().zip(&acked_ms) {
        for (at_ms, task, worker) in machine.starts.lock().unwrap().iter() {
            if *at_ms > acked_ms + DRAIN_MS && *at_ms >= steady_ms {
                breaks.push(format!(
                    "at {at_ms} ms {task} was started on {worker}, {} ms after the \
                     acknowledgement that it drains",
                    at_ms - acked_ms
                ));
            }
        }
    }
    breaks
}

/// MIXED: a worker turns down all starts for some seconds while the others are full.
fn pending_jobs(record: Arc<Record>, trouble: bool) -> Vec<String> {
    let workers = 7;
    let site = site_with_workers(record, workers, 16_000);
    let free = fill(&site, workers, 1);
    calm(&site);
    if trouble {
        site.record.line(&format!("worker {:?} turns down all starts", free[0].id()));
        free[0].unhealthy.store(true, Ordering::SeqCst);
    }
    let unhealthy_ms = site.record.now_ms();
    let jobs = 8;
    let accepted: Vec<(String, u64)> = (0..jobs)
        .map(|n| {
            let id = format!("00000000000000e{n}");
            let step = "{\"count\":1,\"cpu\":2000,\"mem_mb\":256,\"estimate_ms\":20000}";
            let at_ms = site.submit(&id, "work=20000 cpu=2000", step);
            (id, at_ms)
        })
        .collect();
    let mut breaks = Vec::new();
    let last_ms = accepted.iter().map(|(_, at_ms)| *at_ms).max().unwrap_or(0);
    site.sleep_until(last_ms + VISIBLE_MS + 2_000 + 50);
    for _ in 0..4 {
        let asked_ms = site.record.now_ms();
        let Some((200, body)) = site.consumer("GET", "", "") else {
            continue;
        };
        let Some(pending) = Json::parse(&body).and_then(|body| body.number("pending")) else {
            continue;
        };
        let starts = free[0].starts.lock().unwrap();
        let not_begun = accepted.iter().filter(|(id, at_ms)| {
            let has_begun = starts.iter().any(|(_, task, _)| task.starts_with(id.as_str()));
            !has_begun && asked_ms >= at_ms + VISIBLE_MS + 2_000
        });
        let not_begun = not_begun.count() as u64;
        site.record.line(&format!("pending {pending}, not begun for 5 s: {not_begun}"));
        if pending * 2 < not_begun {
            breaks.push(format!(
                "at {asked_ms} ms the queue was said to have {pending} pending jobs; {not_begun} \
                 that were accepted over 5 s before have not begun"
            ));
        }
        drop(starts);
        std::thread::sleep(Duration::from_millis(200));
    }
    site.record.line(&format!(
        "the worker turned starts down for {} ms",
        site.record.now_ms() - unhealthy_ms
    ));
    breaks
}

/// LOST: a worker is lost for good, and with it the only rack that had room for a gang at once.
fn gang_without_a_rack(record: Arc<Record>, trouble: bool) -> Vec<String> {
    const MEMBERS: u64 = 12;
    const MEMBER_CPU: u64 = 4_800;
    const CPU: u64 = 16_000;
    let mut site = Site::start(record, 3, 1);
    for at in 0..12 {
        let rack = format!("r{}", 1 + at / 4);
        site.add_machine(&format!("m-{at}"), "a", &rack, CPU);
    }
    site.configure();
    site.wait("there is a leader", 20_000, || site.leader().is_some());
    site.wait("all workers report", 5_000, || {
        site.machines.iter().all(|m| m.report_target().is_some())
    });
    // Long work on two of the three racks, which leaves most of their room.
    for rack in [2, 3] {
        let step = format!(
            "{{\"count\":4,\"cpu\":6400,\"mem_mb\":256,\"estimate_ms\":100000,\
             \"required_label\":\"r{rack}\",\"max_per_server\":1}}"
        );
        site.submit(&format!("00000000000000f{rack}"), "work=100000 cpu=6400", &step);
    }
    site.wait("the long work runs", 5_000, || {
        site.machines[4..].iter().all(|m| m.running() == 1)
    });
    let step = format!(
        "{{\"count\":{MEMBERS},\"cpu\":{MEMBER_CPU},\"mem_mb\":256,\"estimate_ms\":100000,\
         \"gang\":true,\"rack_local\":true}}"
    );
    site.submit("00000000000000a1", "work=100000 cpu=4800 gang=12", &step);
    site.wait("the gang runs", 5_000, || {
        site.machines[..4].iter().all(|m| m.running() == 3)
    });
    calm(&site);
    if trouble {
        site.machines[0].end();
        site.record.line("the worker of m-0 is lost for good");
    }
    let end_ms = site.record.now_ms();
    let finish_ms = end_ms + FINISH_MS;
    let mut idle_since_ms = None;
    while site.record.now_ms() < finish_ms + 6_000 {
        let now_ms = site.record.now_ms();
        let (mut members, mut used, mut room, mut all) = (0, 0, 0, 0);
        for machine in site.machines.iter().filter(|m| m.id().is_some()) {
            let runs = machine.used();
            let own: u64 = runs.iter().map(|(_, cpu)| cpu).sum();
            members += runs.iter().filter(|(task, _)| task.starts_with("00000000000000a1")).count();
            used += own;
            all += CPU;
            room += (CPU - own) / MEMBER_CPU;
        }
        let is_idle = members == 0 && room >= 2 * MEMBERS && 2 * used < all;
        if !is_idle || now_ms < finish_ms {
            idle_since_ms = None;
        }
        if is_idle && now_ms >= finish_ms {
            let since_ms = *idle_since_ms.get_or_insert(now_ms);
            if now_ms >= since_ms + 3_000 {
                let state = site.consumer("GET", "00000000000000a1", "");
                return vec![format!(
                    "from {since_ms} ms to {now_ms} ms nothing of the gang's job ran, {} ms after \
                     the end of the traffic: room for {room} members, {MEMBERS} needed; {used} of \
                     {all} in use; its state is {state:?}",
                    now_ms - end_ms
                )];
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Vec::new()
}

/// LOST: for 4 s 2.6 times as many jobs come to a queue with advice.
fn advice_in_a_burst(record: Arc<Record>, trouble: bool) -> Vec<String> {
    const WORKERS: usize = 12;
    const CPU: u64 = 16_000;
    const USUAL_GAP_MS: u64 = 550;
    let mut site = Site::start_with_advice(record, 3, 1, Some((140, 30, 3_000)));
    for at in 0..WORKERS {
        site.add_machine(&format!("m-{at}"), "a", &format!("r{}", 1 + at / 4), CPU);
    }
    site.configure();
    site.wait("there is a leader", 20_000, || site.leader().is_some());
    site.wait("all workers report", 5_000, || {
        site.machines.iter().all(|m| m.report_target().is_some())
    });
    calm(&site);
    let began_ms = site.record.now_ms();
    let mut jobs = Vec::new();
    let mut next_ms = began_ms;
    while next_ms < began_ms + 10_000 {
        site.sleep_until(next_ms);
        let id = format!("00000000000{:05x}", 0xa0000 + jobs.len());
        let step = "{\"count\":4,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":1500}";
        site.submit(&id, "work=1500 cpu=1000", step);
        jobs.push(id);
        let in_burst = trouble && (4_000..8_000).contains(&(next_ms - began_ms));
        next_ms += if in_burst { USUAL_GAP_MS * 10 / 26 } else { USUAL_GAP_MS };
    }
    let end_ms = site.record.now_ms();
    site.record.line(&format!("{} jobs were accepted; the traffic ends", jobs.len()));
    site.sleep_until(end_ms + FINISH_MS);
    // Jobs of which nothing runs for 3 s.
    let from_ms = site.record.now_ms();
    let mut idle: Vec<&String> = jobs.iter().collect();
    let mut used_most = 0;
    while site.record.now_ms() < from_ms + 3_000 {
        let runs: Vec<(String, u64)> = site.machines.iter().flat_map(|m| m.used()).collect();
        idle.retain(|id| !runs.iter().any(|(task, _)| task.starts_with(id.as_str())));
        used_most = used_most.max(runs.iter().map(|(_, cpu)| cpu).sum::<u64>());
        std::thread::sleep(Duration::from_millis(20));
    }
    let waits = |id: &&String| {
        let answer = site.consumer("GET", id, "");
        answer.is_some_and(|(_, body)| body.contains("queued") || body.contains("running"))
    };
    let waiting: Vec<&String> = idle.into_iter().filter(waits).collect();
    let all = WORKERS as u64 * CPU;
    site.record.line(&format!(
        "{} of {} jobs wait and nothing of them ran for 3 s; at most {used_most} of {all} was in use",
        waiting.len(),
        jobs.len()
    ));
    if waiting.is_empty() || 2 * used_most >= all {
        return Vec::new();
    }
    vec![format!(
        "{} ms after the end of the traffic, nothing of {} of {} accepted jobs had run for 3 s, with \
         at most {used_most} of {all} in use: {waiting:?}",
        site.record.now_ms() - end_ms,
        waiting.len(),
        jobs.len()
    )]
}

/// Fault: a control process is killed in the first moments of the whole system.
fn kill_at_the_first_start(record: Arc<Record>, trouble: bool) -> Vec<String> {
    let mut site = Site::new(record, 3, 1, None);
    for at in 0..2 {
        site.add_machine(&format!("m-{at}"), "a", "r1", 16_000);
    }
    let began_ms = site.record.now_ms();
    site.spawn(0);
    site.sleep_until(began_ms + 200);
    if trouble {
        site.kill(0);
        site.write_later_settings(0);
    }
    site.sleep_until(began_ms + 250);
    for at in 1..4 {
        site.spawn(at);
    }
    if trouble {
        site.sleep_until(began_ms + 1_200);
        site.spawn(0);
    }
    let back_ms = site.record.now_ms();
    let until_ms = back_ms + RECOVERY_MS + 30_000;
    let step = "{\"spec\":\"work=200 cpu=1000\",\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256}]}";
    let (mut attempts, mut acknowledged) = (0, false);
    while site.record.now_ms() < until_ms {
        acknowledged = acknowledged || site.offer_manifest();
        attempts += 1;
        let answer = site.attempt("POST", "00000000000000a1", step);
        if answer.is_some_and(|(status, _)| status == 200) {
            let passed_ms = site.record.now_ms() - back_ms;
            site.record.line(&format!("a request is served {passed_ms} ms after all were up"));
            return Vec::new();
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let leaders: Vec<Option<usize>> = (0..3).map(|at| site.leader_by(at)).collect();
    vec![format!(
        "{} ms after all processes were up no request of {attempts} had been served, and the \
         manifest was {}; leader by each control instance: {leaders:?}",
        site.record.now_ms() - back_ms,
        if acknowledged { "acknowledged" } else { "never acknowledged" }
    )]
}
