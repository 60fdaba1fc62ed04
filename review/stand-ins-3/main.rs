//! The cases of the third review: `cases N FOLDER RECORD`, with `TROUBLE=0` for a run without
//! the disruption. Ends with 1 if the rule was broken, 0 if it held, 2 if it could not be played.

mod stand_ins;

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use stand_ins::*;

/// What a job must not lack for so long (rule LOST).
const LOST_MS: u64 = 3_000;
/// Time without a disruption before an interval that counts as calm.
const CALM_MS: u64 = 7_000;

struct Play {
    site: Site,
    trouble: bool,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let rec = Record::new(&args[3]);
    rec.say(&format!("case {}, trouble {trouble}", args[1]));
    let broken = match args[1].as_str() {
        "9" => long_tasks(rec.clone(), &args[2], trouble),
        "10" => crash_loop(rec.clone(), &args[2], trouble),
        "12" => overdue_occurrences(rec.clone(), &args[2], trouble),
        "first-start" => loss_at_first_start(rec.clone(), &args[2], trouble),
        "11" => large_checkpoints(rec.clone(), &args[2], trouble),
        "13" => late_after_cancel(rec.clone(), &args[2], trouble),
        _ => None,
    };
    let (text, code) = match broken {
        Some(true) => ("broken", 1),
        Some(false) => ("held", 0),
        None => ("not played", 2),
    };
    rec.say(&format!("the rule: {text}"));
    std::process::exit(code);
}

fn step(count: u32, cpu: u64, work_ms: u64) -> StepInfo {
    StepInfo {
        count,
        cpu,
        mem: 200,
        work_ms,
        ..Default::default()
    }
}

fn job(spec: &str, steps: Vec<StepInfo>) -> JobInfo {
    JobInfo {
        spec: spec.into(),
        steps,
        ..Default::default()
    }
}

/// Three control machines, three entry machines, one service with nine workers, two queues.
fn begin(rec: std::sync::Arc<Record>, folder: &str, trouble: bool) -> Option<Play> {
    let mut site = Site::new(rec.clone(), folder, 3, 3, None);
    let zones = ["hall-a", "hall-b", "hall-c"];
    for n in 0..9 {
        let rack = format!("r{}-{}", n % 3, n / 6);
        add_machine(
            &site.w,
            &format!("m-{n:05x}"),
            "review",
            zones[n % 3],
            &rack,
            16_000,
            65_536,
            true,
        );
    }
    site.start();
    let routes = [
        ("r-a", "/a/", "review", 4, ""),
        ("r-b", "/b/", "review", 4, ""),
    ];
    let answer = site.operate(
        "POST",
        "/Config.Replace",
        &manifest(1, &routes, &["review", "admin"]),
        Duration::from_secs(20),
    );
    rec.say(&format!("manifest 1: {answer:?}"));
    if answer?.0 != 200 {
        return None;
    }
    std::thread::sleep(Duration::from_secs(4));
    // The deployment works before anything is disturbed.
    let probe = job("probe", vec![step(2, 500, 200)]);
    let accepted = submit(
        &site,
        "/a/",
        "0000000000000001",
        &probe,
        &[],
        Duration::from_secs(5),
    );
    std::thread::sleep(Duration::from_secs(2));
    let state = state(&site, "/a/", "0000000000000001");
    rec.say(&format!("probe: {accepted:?}, {state:?}"));
    (state?.1 == "completed").then_some(Play { site, trouble })
}

/// One interval in which a job had nothing running.
struct Gap {
    job: String,
    from_ms: u64,
    to_ms: u64,
    /// The cores, in thousandths, that all runs held meanwhile: since when, and how many.
    used: Vec<(u64, u64)>,
}

/// The intervals in which a job that is known to be accepted had nothing running. `accepted`
/// names jobs of one step each; all their subtasks' turn has come.
fn gaps(w: &World, accepted: &[(String, u64)], until_ms: u64) -> Vec<Gap> {
    let events = w.events.lock().unwrap().clone();
    let jobs = w.jobs.lock().unwrap().clone();
    let cpu = |task: &str| jobs.get(&task[..16]).map_or(0, |j| j.steps[0].cpu);
    let mut used: Vec<(u64, u64)> = vec![(0, 0)];
    let mut now = 0;
    for (at, what, task, ..) in &events {
        match *what {
            "start" => now += cpu(task),
            "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone" => {
                now -= cpu(task).min(now)
            }
            _ => continue,
        }
        used.push((*at, now));
    }
    let held = |from: u64, to: u64| {
        let before = used.iter().rev().find(|u| u.0 <= from).map_or(0, |u| u.1);
        let later = used.iter().filter(|u| u.0 > from && u.0 < to);
        std::iter::once((from, before))
            .chain(later.copied())
            .collect::<Vec<_>>()
    };
    let mut all = vec![];
    for (id, at) in accepted {
        let count = jobs[id].steps[0].count;
        let (mut running, mut done, mut since) = (0, 0, Some(*at));
        for (t, what, task, ..) in events.iter().filter(|e| e.2.starts_with(id.as_str())) {
            match *what {
                "start" => {
                    if let Some(from_ms) = since.take().filter(|_| running == 0) {
                        all.push(Gap {
                            job: id.clone(),
                            from_ms,
                            to_ms: *t,
                            used: held(from_ms, *t),
                        });
                    }
                    running += 1;
                }
                "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone" => {
                    running -= 1;
                    done += u32::from(*what == "done");
                    if running == 0 && done < count {
                        since = Some(*t);
                    }
                    let _ = task;
                }
                _ => {}
            }
        }
        if let Some(from_ms) = since.filter(|_| done < count) {
            all.push(Gap {
                job: id.clone(),
                from_ms,
                to_ms: until_ms,
                used: held(from_ms, until_ms),
            });
        }
    }
    all
}

/// Rule LOST as written: 3 s with nothing running, in calm time, with under half of the
/// service's capacity in use, which leaves room for a subtask twice over.
fn is_lost(play: &Play, accepted: &[(String, u64)], calm_from_ms: u64) -> bool {
    let rec = &play.site.w.rec;
    let cores = play.site.w.cores.lock().unwrap().clone();
    let review = || cores.iter().filter(|c| c.1 == "review");
    // The least that the service had in an interval. Machines that are off do not count.
    let least = |from: u64, to: u64| {
        let mut now: i64 = review().filter(|c| c.0 <= from).map(|c| c.2).sum();
        let mut least = now;
        for c in review().filter(|c| c.0 > from && c.0 < to) {
            now += c.2;
            least = least.min(now);
        }
        least as u64
    };
    let all = gaps(&play.site.w, accepted, rec.ms());
    let mut broken = 0;
    let mut longest = 0;
    for gap in &all {
        let from_ms = gap.from_ms.max(calm_from_ms);
        let capacity = least(from_ms, gap.to_ms);
        // The longest stretch of it in which under half of the capacity was in use.
        let mut lasted_ms = 0;
        let mut since: Option<u64> = None;
        for (n, (at, used)) in gap.used.iter().enumerate() {
            let until = gap.used.get(n + 1).map_or(gap.to_ms, |next| next.0);
            match 2 * used < capacity {
                true => {
                    let began = *since.get_or_insert(*at);
                    lasted_ms = lasted_ms.max(until.saturating_sub(began.max(from_ms)));
                }
                false => since = None,
            }
        }
        longest = longest.max(lasted_ms);
        if lasted_ms > LOST_MS {
            broken += 1;
            if broken <= 12 {
                rec.say(&format!(
                    "LOST: job {} has nothing running for {lasted_ms} ms between {from_ms} and {}, with under half of {capacity} thousandths of a core in use",
                    gap.job, gap.to_ms
                ));
            }
        }
    }
    rec.say(&format!(
        "{broken} intervals above {LOST_MS} ms, the longest {longest} ms, of {} jobs",
        accepted.len()
    ));
    broken > 0
}

/// Jobs whose subtasks take 143 times as long as usual: 300 s instead of 2.1 s.
fn long_tasks(rec: std::sync::Arc<Record>, folder: &str, trouble: bool) -> Option<bool> {
    let play = begin(rec.clone(), folder, trouble)?;
    let work_ms = if play.trouble { 300_000 } else { 2_100 };
    let mut accepted = vec![];
    for n in 0..12u64 {
        let id = format!("{:016x}", 0x5c0e_0000_0000_0000 + n);
        let code = submit(
            &play.site,
            "/b/",
            &id,
            &job("long", vec![step(4, 600, work_ms)]),
            &[],
            Duration::from_secs(5),
        );
        accepted.push((id, rec.ms()));
        if code != Some(200) {
            return None;
        }
        std::thread::sleep(Duration::from_millis(700));
    }
    let last_ms = rec.ms();
    let began = Instant::now();
    let mut small = 0u64;
    while began.elapsed() < Duration::from_secs(75) {
        small += 1;
        let id = format!("{:016x}", 0x1000_0000_0000_0000 + small);
        if submit(
            &play.site,
            "/a/",
            &id,
            &job("small", vec![step(2, 500, 300)]),
            &[],
            Duration::from_secs(3),
        ) == Some(200)
        {
            accepted.push((id, rec.ms()));
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    let events = play.site.w.events.lock().unwrap().clone();
    let of_long = |what: &str| {
        events
            .iter()
            .filter(|e| e.1 == what && e.2.starts_with("5c0e"))
            .count()
    };
    let mut began_ms: HashMap<(String, u32), u64> = HashMap::new();
    let mut longest_run_ms = 0;
    for e in events.iter().filter(|e| e.2.starts_with("5c0e")) {
        match e.1 {
            "start" => drop(began_ms.insert((e.2.clone(), e.3), e.0)),
            "stopped" => longest_run_ms = longest_run_ms.max(e.0 - began_ms[&(e.2.clone(), e.3)]),
            _ => {}
        }
    }
    rec.say(&format!(
        "of the 48 long subtasks: {} starts, {} stopped by order, {} done; the longest run that was stopped had {longest_run_ms} ms",
        of_long("start"), of_long("stopped"), of_long("done")
    ));
    Some(is_lost(&play, &accepted, last_ms + CALM_MS))
}

/// One job of the kind that lasts, whose five subtasks fail 50 ms after each start.
fn crash_loop(rec: std::sync::Arc<Record>, folder: &str, trouble: bool) -> Option<bool> {
    let play = begin(rec.clone(), folder, trouble)?;
    let lasting = StepInfo {
        lasting: true,
        fails: play.trouble,
        ..step(5, 500, 50)
    };
    let code = submit(
        &play.site,
        "/b/",
        "bad0000000000001",
        &job("lasts", vec![lasting]),
        &[],
        Duration::from_secs(5),
    );
    let last_ms = rec.ms();
    if code != Some(200) {
        return None;
    }
    let mut accepted = vec![];
    let began = Instant::now();
    let mut small = 0u64;
    while began.elapsed() < Duration::from_secs(50) {
        small += 1;
        let id = format!("{:016x}", 0x1000_0000_0000_0000 + small);
        if submit(
            &play.site,
            "/a/",
            &id,
            &job("small", vec![step(2, 500, 300)]),
            &[],
            Duration::from_secs(3),
        ) == Some(200)
        {
            accepted.push((id, rec.ms()));
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    std::thread::sleep(Duration::from_secs(6));
    let events = play.site.w.events.lock().unwrap().clone();
    let failed = events.iter().filter(|e| e.1 == "failed").count();
    rec.say(&format!("runs of the job that lasts that failed: {failed}"));
    Some(is_lost(&play, &accepted, last_ms + CALM_MS))
}

/// One hourly job of 2,000 subtasks whose first time was a year ago.
fn overdue_occurrences(rec: std::sync::Arc<Record>, folder: &str, trouble: bool) -> Option<bool> {
    let mut play = begin(rec.clone(), folder, trouble)?;
    let times = if play.trouble { 8_760 } else { 8 };
    let interval = 3_600_000;
    let info = JobInfo {
        times,
        start_at: unix_ms() - interval * 8_760,
        interval,
        ..job("hourly", vec![step(2_000, 100, 200)])
    };
    let code = submit(
        &play.site,
        "/b/",
        "aaaa000000000001",
        &info,
        &[],
        Duration::from_secs(5),
    );
    rec.say(&format!("the hourly job: {code:?}"));
    if code != Some(200) {
        return None;
    }
    let began = Instant::now();
    let mut killed = [0u32; 3];
    let mut next_line = 0;
    let mut small = 0u64;
    let mut accepted = vec![];
    while began.elapsed() < Duration::from_secs(85) {
        for (n, p) in play.site.controls.iter_mut().enumerate() {
            let used = p.rss_mb();
            // The platform kills what uses more than memory_mb, and starts it again.
            if used > 256 {
                killed[n] += 1;
                rec.say(&format!(
                    "{} uses {used} MB of its 256: killed, for the {}. time",
                    p.name, killed[n]
                ));
                p.kill();
                std::thread::sleep(Duration::from_millis(200));
                p.start();
            } else if let Some(end) = p.ended() {
                rec.say(&format!("{} ended: {end}", p.name));
                killed[n] += 1;
                p.start();
            }
        }
        if began.elapsed().as_secs() >= next_line {
            next_line += 5;
            small += 1;
            let id = format!("{:016x}", 0x1000_0000_0000_0000 + small);
            let at = Instant::now();
            let code = submit(
                &play.site,
                "/a/",
                &id,
                &job("small", vec![step(2, 500, 300)]),
                &[],
                Duration::from_secs(1),
            );
            if code == Some(200) {
                accepted.push(id);
            }
            let used: Vec<u64> = play.site.controls.iter().map(Proc::rss_mb).collect();
            rec.say(&format!(
                "memory {used:?} MB; a small job: {code:?} after {} ms",
                at.elapsed().as_millis()
            ));
        }
        if killed.iter().filter(|k| **k >= 3).count() == 3 {
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    rec.say(&format!(
        "ends of the control processes for memory: {killed:?}"
    ));
    play.site.w.stop.store(true, Ordering::SeqCst);
    Some(killed.iter().filter(|k| **k >= 3).count() >= 2)
}

/// A control machine is lost for good 150 ms after the first start of the system, and an empty
/// one comes in its place at another address.
fn loss_at_first_start(rec: std::sync::Arc<Record>, folder: &str, trouble: bool) -> Option<bool> {
    let mut site = Site::new(rec.clone(), folder, 4, 3, None);
    for n in 0..3 {
        let zone = ["hall-a", "hall-b", "hall-c"][n];
        add_machine(
            &site.w,
            &format!("m-{n:05x}"),
            "review",
            zone,
            &format!("r{n}-0"),
            16_000,
            65_536,
            true,
        );
    }
    site.w.controls.lock().unwrap().truncate(3);
    let spare = site.controls.pop()?;
    let mut spare = spare;
    let spare_address = site.control_addrs.pop()?;
    // All start within 0.3 s of each other, the first control machine last.
    for n in [2, 1] {
        site.controls[n].start();
    }
    for p in &mut site.entries {
        p.start();
    }
    std::thread::sleep(Duration::from_millis(150));
    if trouble {
        site.controls[2].kill();
        rec.say("control-2 is lost for good");
    }
    std::thread::sleep(Duration::from_millis(100));
    site.controls[0].start();
    rec.say("control-0, the last machine of the first start, is started");
    if trouble {
        std::thread::sleep(Duration::from_millis(900));
        spare.settings = spare
            .settings
            .replace("\"bootstrap\":true", "\"bootstrap\":false");
        spare.start();
        site.control_addrs[2] = spare_address;
        site.w.controls.lock().unwrap()[2] = spare_address;
        rec.say("an empty machine came in its place, at another address");
    }
    let version = manifest(1, &[("r-b", "/b/", "review", 4, "")], &["review"]);
    let answer = site.operate("POST", "/Config.Replace", &version, Duration::from_secs(60));
    rec.say(&format!("manifest 1, sent for 60 s: {answer:?}"));
    let code = submit(
        &site,
        "/b/",
        "1000000000000001",
        &job("small", vec![step(2, 500, 300)]),
        &[],
        Duration::from_secs(12),
    );
    rec.say(&format!("a job, sent for 12 s: {code:?}"));
    std::thread::sleep(Duration::from_secs(3));
    let starts = site
        .w
        .events
        .lock()
        .unwrap()
        .iter()
        .filter(|e| e.1 == "start")
        .count();
    let up = site
        .controls
        .iter_mut()
        .chain([&mut spare])
        .filter(|p| p.child.is_some() && p.rss_mb() > 0)
        .count();
    rec.say(&format!(
        "control processes up: {up}; starts of subtasks: {starts}"
    ));
    site.w.stop.store(true, Ordering::SeqCst);
    Some(answer.is_none() && code != Some(200))
}

/// An entry machine freezes for 4 s. A caller hands a job in there, gets no answer, and cancels
/// the job at another entry machine.
fn late_after_cancel(rec: std::sync::Arc<Record>, folder: &str, trouble: bool) -> Option<bool> {
    const CANCEL_MS: u64 = 3_000;
    let play = begin(rec.clone(), folder, trouble)?;
    let site = &play.site;
    let id = "b00c000000000001";
    let last = |n| StepInfo {
        after: vec![n],
        ..step(2, 500, 2_100)
    };
    let info = job("booking", vec![step(2, 500, 2_100), last(0), last(1)]);
    site.w.jobs.lock().unwrap().insert(id.into(), info.clone());
    if play.trouble {
        site.entries[0].signal("STOP");
        rec.say("entry-0 freezes");
    }
    let froze = Instant::now();
    std::thread::sleep(Duration::from_millis(50));
    let path = format!("/b/{id}");
    let deadline = "Deadline-Ms: 3000\r\n";
    let posted = call(
        site.front_addrs[0],
        "POST",
        &path,
        HOST,
        deadline,
        &info.body(&[]),
        Duration::from_millis(500),
    );
    rec.say(&format!("caller: POST at entry-0 -> {posted:?}; it leaves"));
    let cancelled = call(
        site.front_addrs[1],
        "DELETE",
        &path,
        HOST,
        deadline,
        "",
        Duration::from_secs(3),
    );
    let cancelled_ms = rec.ms();
    rec.say(&format!("caller: DELETE at entry-1 -> {cancelled:?}"));
    std::thread::sleep(Duration::from_secs(4).saturating_sub(froze.elapsed()));
    if play.trouble {
        site.entries[0].signal("CONT");
        rec.say("entry-0 wakes");
    }
    std::thread::sleep(Duration::from_secs(8));
    rec.say(&format!("caller: GET -> {:?}", state(site, "/b/", id)));
    if !matches!(cancelled.as_ref()?.0, 200..=299 | 410) {
        return None;
    }
    let mut broken = false;
    for (at, _, task, attempt, worker) in site
        .w
        .events
        .lock()
        .unwrap()
        .iter()
        .filter(|e| e.1 == "start" && e.2.starts_with(id))
    {
        let late_ms = at.saturating_sub(cancelled_ms);
        rec.say(&format!("{task} run {attempt} started on {worker} {late_ms} ms after the cancelling was acknowledged"));
        broken |= late_ms > CANCEL_MS;
    }
    Some(broken)
}

/// Three subtasks with checkpoints of 600 kB each are stopped, because their job is cancelled.
fn large_checkpoints(rec: std::sync::Arc<Record>, folder: &str, trouble: bool) -> Option<bool> {
    const CHECKPOINT_BYTES: usize = 600_000;
    const DEADLINE: Duration = Duration::from_secs(3);
    let play = begin(rec.clone(), folder, trouble)?;
    let site = &play.site;
    let saving = StepInfo {
        save_bytes: CHECKPOINT_BYTES,
        ..step(3, 500, 20_000)
    };
    let limit = Duration::from_secs(5);
    let id = "5a5e000000000001";
    let code = submit(site, "/b/", id, &job("saves", vec![saving]), &[], limit);
    if code != Some(200) {
        return None;
    }
    std::thread::sleep(Duration::from_secs(5));
    // A job whose second step becomes due after the cancelling.
    let second = StepInfo {
        after: vec![0],
        ..step(2, 500, 1_000)
    };
    let chain = job("chain", vec![step(2, 500, 3_000), second]);
    let code = submit(site, "/a/", "c4a1000000000001", &chain, &[], limit);
    if code != Some(200) {
        return None;
    }
    if play.trouble {
        let path = format!("/b/{id}");
        let answer = call(
            site.front_addrs[0],
            "DELETE",
            &path,
            HOST,
            "Deadline-Ms: 3000\r\n",
            "",
            DEADLINE,
        );
        rec.say(&format!(
            "caller: DELETE of the job with checkpoints -> {answer:?}"
        ));
        if answer?.0 != 200 {
            return None;
        }
    }
    // What callers hand in and cancel from then on.
    let (mut answered, mut unanswered) = (0, 0);
    for n in 0..8u64 {
        let id = format!("{:016x}", 0x1000_0000_0000_0000 + n);
        let small = job("small", vec![step(2, 500, 300)]);
        match submit(site, "/a/", &id, &small, &[], DEADLINE) {
            Some(200) => answered += 1,
            _ => unanswered += 1,
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    std::thread::sleep(Duration::from_secs(14));
    rec.say(&format!(
        "small jobs: {answered} accepted, {unanswered} without a clear answer in their time"
    ));
    let state = state(site, "/a/", "c4a1000000000001");
    let events = site.w.events.lock().unwrap().clone();
    let last = |step: usize, what: &str| {
        let prefix = format!("c4a1000000000001.0.{step}.");
        let of_step = events
            .iter()
            .filter(|e| e.1 == what && e.2.starts_with(&prefix));
        of_step.map(|e| e.0).max()
    };
    let due_ms = last(0, "done")?;
    let waited_ms = last(1, "start").unwrap_or(rec.ms()) - due_ms;
    rec.say(&format!("the accepted job of two steps: {state:?}; its first step was done at {due_ms}, its second waited {waited_ms} ms"));
    rec.say(&format!("control that leads: {:?}", site.leader()));
    // Its turn came more than CALM_MS after nothing but a cancelling, and the service is idle.
    Some(waited_ms > LOST_MS + CALM_MS)
}
