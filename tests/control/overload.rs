//! A leader with little processor time and much to do.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemarygauge::control::{Advice, Answer, Call};
use rosemarygauge::jobs::{JobId, JobSpec, JobState, Step};
use rosemarygauge::model::EntryName;

use crate::world::{LOOK_US, World, configuration, job, name, queue, step};

/// How late answers come at most: a third of these are not waited for any more.
const LATE_MS: u64 = 600;
/// Tasks of a step.
const TASKS: u16 = 8;
/// From the return of the instances on, until callers are served as before.
const RECOVERY_MS: u64 = 15_000;
/// The part of the requests that has to be served then.
const SERVED_PART: f64 = 0.25;
/// The part of the runs that a backlog ten times as large may not take.
const GOODPUT_PART: f64 = 0.8;

/// Jobs of a backlog and workers of a pool, at the site that the costs are from.
const JOBS: usize = 2_000;
const WORKERS: u16 = 180;
/// What callers hand in.
const JOBS_PER_S: u64 = 50;
/// How often the needs of pools may be looked at, one thing a job.
const NEEDS_PER_S: u64 = 10;
/// How long looks are counted.
const LOOKS_MS: u64 = 2_000;

/// A job that a caller handed in.
struct Handed {
    at_ms: u64,
    call: u64,
    /// When it was seen done.
    done_ms: Option<u64>,
}

/// A site with its callers.
struct Site {
    world: World,
    /// How long a task runs.
    run_ms: u64,
    jobs: BTreeMap<u64, Handed>,
    next: u64,
}

impl Site {
    /// Two pools, in each of which a third of the workers answers up to [`LATE_MS`] late.
    ///
    /// A test may play a part of the site: then a look costs as many times more.
    fn new(seed: u64, run_ms: u64, parts: u16) -> Self {
        let workers = WORKERS / parts;
        let look_us = LOOK_US * u64::from(parts);
        let mut world = World::limited(seed, workers, workers, look_us);
        for (index, worker) in world.workers.values_mut().enumerate() {
            worker.run_ms = run_ms;
            worker.answer_late_ms = if index % 3 == 0 { LATE_MS } else { 0 };
        }
        Self {
            world,
            run_ms,
            jobs: BTreeMap::new(),
            next: 1,
        }
    }

    fn hand_in(&mut self) {
        let id = self.next;
        self.next += 1;
        let place = 1 + id as usize % 3;
        let call = self
            .world
            .submit(place, queue_of(id), id, spec_of(id, self.run_ms));
        let handed = Handed {
            at_ms: self.world.now_ms,
            call,
            done_ms: None,
        };
        self.jobs.insert(id, handed);
    }

    /// Hands in many jobs within a moment.
    fn hand_in_many(&mut self, jobs: usize) {
        for index in 0..jobs {
            self.hand_in();
            if index % 10 == 0 {
                self.world.run_ms(5);
            }
        }
        self.run_ms(300, 0);
    }

    /// Kills the leader and another instance, so that nobody leads.
    fn stop_two(&mut self) -> (EntryName, EntryName) {
        let leader = self.world.leader().unwrap();
        let other = (1..=3).map(name).find(|n| *n != leader).unwrap();
        self.world.kill(&leader);
        self.world.kill(&other);
        (leader, other)
    }

    /// Runs on with so many jobs open at any time.
    fn hold_backlog(&mut self, backlog: usize, for_ms: u64) {
        let end_ms = self.world.now_ms + for_ms;
        while self.world.now_ms < end_ms {
            let open = self.jobs.values().filter(|h| h.done_ms.is_none());
            let lacking = backlog.saturating_sub(open.count());
            (0..lacking.min(20)).for_each(|_| self.hand_in());
            self.run_ms(20, 0);
        }
    }

    /// Waits until all accepted jobs are done; whether they are.
    fn until_done(&mut self, seconds: u64) -> bool {
        for _ in 0..seconds {
            if self.open() == 0 {
                return true;
            }
            self.run_ms(1_000, 0);
        }
        self.open() == 0
    }

    /// Runs on while jobs come at a rate.
    fn run_ms(&mut self, for_ms: u64, jobs_per_s: u64) {
        let every_ms = 1_000_u64.checked_div(jobs_per_s).unwrap_or(u64::MAX);
        let end_ms = self.world.now_ms + for_ms;
        let mut next_ms = self.world.now_ms;
        while self.world.now_ms < end_ms {
            if self.world.now_ms >= next_ms && jobs_per_s > 0 {
                next_ms += every_ms;
                self.hand_in();
            }
            self.world.run_ms(5);
            if self.world.now_ms.is_multiple_of(20) {
                self.look();
            }
        }
    }

    /// Notes which jobs are done.
    fn look(&mut self) {
        let Some(leader) = self.world.leader() else {
            return;
        };
        let state = self.world.state(&leader);
        for (id, handed) in self.jobs.iter_mut().filter(|(_, h)| h.done_ms.is_none()) {
            let verdict = state.job(JobId::from(*id)).and_then(|job| job.verdict);
            if verdict == Some(JobState::Completed) {
                handed.done_ms = Some(self.world.now_ms);
            }
        }
    }

    fn is_accepted(&self, handed: &Handed) -> bool {
        self.world.answers.get(&handed.call) == Some(&Answer::Done)
    }

    /// Accepted jobs that are not done.
    fn open(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|h| h.done_ms.is_none() && self.is_accepted(h))
            .count()
    }

    /// The part of the jobs handed in since then that were done in time.
    fn served_since(&self, since_ms: u64) -> f64 {
        let jobs = self.jobs.iter().filter(|(_, h)| h.at_ms >= since_ms);
        let (mut all, mut served) = (0, 0);
        for (id, handed) in jobs {
            let chain_ms = u64::from(steps_of(*id)) * self.run_ms;
            let within_ms = queue("any", "any").objective_ms(chain_ms);
            let took_ms = handed.done_ms.map(|at| at - handed.at_ms);
            all += 1;
            served += u32::from(took_ms.is_some_and(|took| took as f64 <= within_ms));
        }
        f64::from(served) / f64::from(all)
    }

    /// What the leader was busy with, for whoever reads a failure.
    fn business(&self) -> String {
        let Some(leader) = self.world.leader() else {
            return "nobody leads".to_owned();
        };
        let processor = self.world.processor(&leader);
        format!(
            "{leader} leads, worked {} ms since its start, {} of them in {} ticks; {} orders had no answer in time",
            processor.worked_us / 1_000,
            processor.ticks_us / 1_000,
            processor.ticks,
            processor.unanswered
        )
    }
}

fn queue_of(id: u64) -> &'static str {
    if id.is_multiple_of(2) {
        "quick"
    } else {
        "long"
    }
}

/// One to three steps, one after the other.
fn spec_of(id: u64, run_ms: u64) -> JobSpec {
    let steps = (0..steps_of(id)).map(|k| Step {
        after: k.checked_sub(1).into_iter().collect(),
        estimate_ms: run_ms,
        ..step(TASKS)
    });
    job(steps.collect())
}

fn steps_of(id: u64) -> u16 {
    1 + (id / 2 % 3) as u16
}

/// After a cut the site is whole again, callers wait for answers and none comes in time.
/// A new leader begins with many accepted jobs, most beyond their time. When each tick ranked
/// all of them anew it took so long that workers' answers waited behind it; starts stayed on
/// their way, workers idled, and the backlog that made ticks long stayed too. With looks that
/// cost nothing the same site recovers, so it is their number that did it.
#[test]
fn a_new_leader_with_a_backlog_serves_new_jobs_again() {
    let mut site = Site::new(1, 1_000, 3);
    site.hand_in_many(JOBS / 3);
    let (one, other) = site.stop_two();
    site.run_ms(6_000, 0);
    site.world.restart(&one);
    site.world.restart(&other);
    let back_ms = site.world.now_ms;
    site.run_ms(RECOVERY_MS + 5_000, JOBS_PER_S);
    let business = site.business();
    site.run_ms(6_000, 0);
    let served = site.served_since(back_ms + RECOVERY_MS);
    let done = site.until_done(40);
    assert!(
        done,
        "{} accepted jobs are not done: {business}",
        site.open()
    );
    assert!(
        served >= SERVED_PART,
        "{served:.2} of the new jobs are served in time: {business}"
    );
}

/// Callers hand in as much as ever, and less of it is done the more waits already. Where a
/// tick looks at every job that waits, answers of workers wait behind it: the window of
/// starts on their way turns over more slowly, so the backlog takes from the work itself.
#[test]
fn goodput_does_not_fall_with_the_backlog() {
    let [(few, _), (many, business)] = [JOBS / 10, JOBS].map(|backlog| {
        let mut site = Site::new(2, 300, 1);
        site.hold_backlog(backlog, 3_000);
        let before = site.world.done;
        site.hold_backlog(backlog, 4_000);
        (site.world.done - before, site.business())
    });
    let part = many as f64 / few as f64;
    assert!(
        part >= GOODPUT_PART,
        "{many} runs end with {JOBS} jobs, {few} with a tenth of them: {business}"
    );
}

/// A full pool with a long row of jobs makes the whole site slow. Nothing of them can start
/// before something there ends, yet each tick in which anything happened elsewhere ranked
/// them all and searched room for each.
#[test]
fn what_a_tick_looks_at_does_not_grow_with_jobs_that_cannot_start() {
    let [few, many] = [400, 4_000].map(looks_beside_a_full_pool);
    let needs = (4_000 - 400) * NEEDS_PER_S * LOOKS_MS / 1_000;
    assert!(
        many <= 2 * few + needs,
        "{many} looks with 4000 jobs, {few} with 400, {needs} allowed for needs"
    );
}

/// The needs of pools are looked at ten times a second, and each look comes to every job. With
/// enough of them these looks alone take the leader's time, and the backlog stays.
#[test]
fn looks_at_what_pools_need_take_a_bounded_part_of_the_time() {
    let [few, many] = [2_000, 10_000].map(looks_beside_a_full_pool);
    assert!(
        many as f64 <= 1.5 * few as f64,
        "{many} looks with 10000 jobs, {few} with 2000"
    );
}

/// So many jobs wait in a full pool while another works: what the leader looks at.
fn looks_beside_a_full_pool(waiting: u64) -> u64 {
    let mut world = World::without_moves(3, 4, 12);
    for port in 0..4 {
        world.worker(1_000 + port).run_ms = 100_000;
    }
    for id in 0..waiting {
        world.submit(1 + id as usize % 3, "quick", 1 + id, job(vec![step(TASKS)]));
        if id % 10 == 0 {
            world.run_ms(5);
        }
    }
    world.run_ms(2_000);
    let leader = world.leader().unwrap();
    let before = world.looked(&leader);
    for id in 0..LOOKS_MS / 50 {
        world.submit(1, "long", 10_000 + id, job(vec![step(4)]));
        world.run_ms(50);
    }
    assert_eq!(world.leader(), Some(leader.clone()));
    let running = world.workers.values().filter(|w| w.pool == "east");
    let running: usize = running.map(|w| w.going.len()).sum();
    assert_eq!(running, 64, "the pool is full");
    world.looked(&leader) - before
}

/// A caller's job in a pool with free workers does not start for as long as another pool is
/// busy. All pools share one window of starts on their way; where it is given out by priority
/// the other pool's jobs take all of it each time. With equal priorities, or a window of
/// 4,000, the job starts at once.
#[test]
fn a_pool_of_lower_priority_gets_starts_while_another_fills_the_window() {
    let mut world = World::without_moves(4, 160, 6);
    let mut changed = configuration(2);
    changed.queues[1].priority = 1;
    let call = world.call(1, Call::Configure(Arc::new(changed)));
    world.run_ms(500);
    assert_eq!(world.answers.get(&call), Some(&Answer::Done));
    for id in 0..3_000 {
        world.submit(1, "quick", 1 + id, job(vec![step(TASKS)]));
        if id % 10 == 0 {
            world.run_ms(5);
        }
    }
    let handed_ms = world.now_ms;
    let before = world.runs.len();
    let low = JobId::from(10_000);
    let mut its_own = world.workers.values().filter(|w| w.pool == "west");
    assert!(its_own.all(|w| w.going.is_empty()), "its pool is free");
    world.submit(1, "long", 10_000, job(vec![step(1)]));
    world.run_ms(1_000);
    let leader = world.leader().unwrap();
    let state = world.state(&leader);
    let left = state.pending("quick");
    let others = world.runs.len() - before;
    assert!(left > 0, "the other pool has run out of work");
    let first = world.runs.iter().find(|run| run.task.job == low);
    assert!(
        first.is_some_and(|run| run.began_ms <= handed_ms + 1_000),
        "no start in a second, {others} in the other pool, where {left} jobs wait"
    );
}

/// Gangs for which a pool has no room at present cost the leader as much as if each of their
/// tasks were placed and taken back, in each pass, over all workers: the site is slow for as
/// long as they wait. A gang that does not fit has to cost no more than a task that does not.
#[test]
fn a_gang_that_finds_no_room_is_looked_at_once() {
    let never = Step {
        label: Some("nowhere".into()),
        ..step(1)
    };
    let gang = Step {
        gang: true,
        ..step(65)
    };
    let [few, many] = [never, gang].map(looks_beside_steps_that_wait);
    assert!(
        many <= 2 * few,
        "{many} looks with gangs, {few} with single tasks"
    );
}

/// Steps for which an idle pool of 64 cores has no place wait: what the leader looks at.
fn looks_beside_steps_that_wait(waiting: Step) -> u64 {
    let mut world = World::without_moves(5, 4, 4);
    for id in 0..400 {
        world.submit(
            1 + id as usize % 3,
            "quick",
            1 + id,
            job(vec![waiting.clone()]),
        );
        if id % 10 == 0 {
            world.run_ms(5);
        }
    }
    world.run_ms(1_000);
    let leader = world.leader().unwrap();
    let before = world.looked(&leader);
    for id in 0..LOOKS_MS / 50 {
        world.submit(1, "long", 10_000 + id, job(vec![step(1)]));
        world.run_ms(50);
    }
    world.looked(&leader) - before
}

/// A caller takes back hundreds of jobs that run. The leader orders all their tasks to be
/// stopped in one go, which holds up everything else for as long as it writes them; answers
/// that come meanwhile are late, and the orders are given again.
#[test]
fn a_mass_cancellation_holds_up_nobody() {
    let mut site = Site::new(6, 60_000, 1);
    for worker in site.world.workers.values_mut() {
        worker.answer_late_ms = 0;
    }
    let jobs = u64::from(WORKERS) * 2 * 16 / u64::from(TASKS);
    let spec = job(vec![Step {
        estimate_ms: 60_000,
        ..step(TASKS)
    }]);
    for id in 1..=jobs {
        site.world
            .submit(1 + id as usize % 3, queue_of(id), id, spec.clone());
        if id % 4 == 0 {
            site.world.run_ms(10);
        }
    }
    site.world.run_ms(4_000);
    let going = |site: &Site| -> usize { site.world.workers.values().map(|w| w.going.len()).sum() };
    let running = going(&site);
    let leader = site.world.leader().unwrap();
    assert!(running > 5_000, "{running} tasks run");
    let unanswered = site.world.processor(&leader).unanswered;
    for id in 1..=jobs {
        site.world.cancel(1 + id as usize % 3, queue_of(id), id);
    }
    let mut most = 0;
    let mut over_ms = None;
    for elapsed_ms in (0..8_000).step_by(5) {
        let before = site.world.ordered_by(&leader);
        site.world.run_ms(5);
        most = most.max(site.world.ordered_by(&leader) - before);
        if over_ms.is_none() && going(&site) == 0 {
            over_ms = Some(elapsed_ms);
        }
    }
    let unanswered = site.world.processor(&leader).unanswered - unanswered;
    assert_eq!(site.world.leader(), Some(leader), "it leads on");
    assert!(over_ms.is_some(), "{} tasks go on", going(&site));
    assert!(
        most <= 600,
        "{most} orders in one go, {unanswered} unanswered"
    );
}

/// A job that is first by its rank waits behind hundreds that are not: which steps the advisor
/// is asked about, a few at once, went by the names of their jobs. While more come than it can
/// answer, some names never have their turn.
#[test]
fn the_advisor_is_asked_about_what_comes_first() {
    let mut world = World::without_moves(8, 40, 4);
    let mut changed = configuration(2);
    changed.queues[0].advice = Some(Advice {
        decision_ms: 10,
        per_worker_ms: 1,
        validity_ms: 3_000,
    });
    let call = world.call(1, Call::Configure(Arc::new(changed)));
    world.run_ms(500);
    assert_eq!(world.answers.get(&call), Some(&Answer::Done));
    for id in 0..600 {
        world.submit(1 + id as usize % 3, "quick", 1 + id, job(vec![step(2)]));
    }
    let handed_ms = world.now_ms;
    let last = 10_000;
    let small = Step {
        estimate_ms: 10,
        ..step(1)
    };
    world.submit(1, "quick", last, job(vec![small]));
    world.run_ms(4_000);
    let first = world
        .runs
        .iter()
        .find(|run| run.task.job == JobId::from(last));
    let after_ms = first.map(|run| run.began_ms - handed_ms);
    let others = world
        .runs
        .iter()
        .filter(|run| run.began_ms <= handed_ms + after_ms.unwrap_or(0))
        .count();
    assert!(
        after_ms.is_some_and(|after_ms| after_ms <= 500),
        "it starts after {after_ms:?} ms, {others} of the others before"
    );
}
