//! A leader with limited processor time under high load.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemarygauge::control::{Advice, Answer, Call};
use rosemarygauge::jobs::{JobId, JobSpec, JobState, Step};
use rosemarygauge::model::EntryName;

use crate::world::{LOOK_US, World, configuration, job, name, queue, step};

/// Longest delay of a worker's answers; a third of them come after the order's timeout.
const ANSWER_DELAY_MS: u64 = 600;
/// Tasks per step.
const TASKS_PER_STEP: u16 = 8;
/// Time from the return of the instances until jobs must be served again.
const RECOVERY_MS: u64 = 15_000;
/// Fraction of the jobs that must be served in time after the recovery.
const MIN_SERVED_FRACTION: f64 = 0.25;
/// Fraction of the goodput that must remain with a backlog ten times as large.
const MIN_GOODPUT_FRACTION: f64 = 0.8;

/// Jobs of a backlog and workers of a pool, at the site from which the costs are taken.
const BACKLOG_JOBS: usize = 2_000;
const WORKERS_PER_POOL: u16 = 180;
/// Rate at which callers submit jobs.
const JOBS_PER_S: u64 = 50;
/// Most scans of the pools' needs per second; each visits every job once.
const NEED_SCANS_PER_S: u64 = 10;
/// Time over which visits are counted.
const MEASURE_MS: u64 = 2_000;

/// A job that a caller submitted.
struct Submission {
    at_ms: u64,
    call: u64,
    /// Time at which it was found completed.
    done_ms: Option<u64>,
}

/// A site with its callers.
struct Site {
    world: World,
    /// Run time of a task.
    run_ms: u64,
    jobs: BTreeMap<u64, Submission>,
    next: u64,
}

impl Site {
    /// Creates two pools, in each of which a third of the workers answers up to [`ANSWER_DELAY_MS`]
    /// late.
    ///
    /// With `parts` above 1 the site is that many times smaller, and a visit costs as many
    /// times more.
    fn new(seed: u64, run_ms: u64, parts: u16) -> Self {
        let workers = WORKERS_PER_POOL / parts;
        let look_us = LOOK_US * u64::from(parts);
        let mut world = World::limited(seed, workers, workers, look_us);
        for (index, worker) in world.workers.values_mut().enumerate() {
            worker.run_ms = run_ms;
            worker.answer_late_ms = if index % 3 == 0 { ANSWER_DELAY_MS } else { 0 };
        }
        Self {
            world,
            run_ms,
            jobs: BTreeMap::new(),
            next: 1,
        }
    }

    fn submit_job(&mut self) {
        let id = self.next;
        self.next += 1;
        let place = 1 + id as usize % 3;
        let call = self
            .world
            .submit(place, queue_of(id), id, spec_of(id, self.run_ms));
        let submission = Submission {
            at_ms: self.world.now_ms,
            call,
            done_ms: None,
        };
        self.jobs.insert(id, submission);
    }

    /// Submits many jobs in a short time.
    fn submit_jobs(&mut self, jobs: usize) {
        for index in 0..jobs {
            self.submit_job();
            if index % 10 == 0 {
                self.world.run_ms(5);
            }
        }
        self.run_ms(300, 0);
    }

    /// Kills the leader and another instance, so that no leader can be elected.
    fn kill_two(&mut self) -> (EntryName, EntryName) {
        let leader = self.world.leader().unwrap();
        let other = (1..=3).map(name).find(|n| *n != leader).unwrap();
        self.world.kill(&leader);
        self.world.kill(&other);
        (leader, other)
    }

    /// Runs for a time with `backlog` jobs open throughout.
    fn hold_backlog(&mut self, backlog: usize, for_ms: u64) {
        let end_ms = self.world.now_ms + for_ms;
        while self.world.now_ms < end_ms {
            let open = self.jobs.values().filter(|h| h.done_ms.is_none());
            let lacking = backlog.saturating_sub(open.count());
            (0..lacking.min(20)).for_each(|_| self.submit_job());
            self.run_ms(20, 0);
        }
    }

    /// Waits up to some seconds until all accepted jobs are completed; returns whether they are.
    fn run_until_done(&mut self, seconds: u64) -> bool {
        for _ in 0..seconds {
            if self.open() == 0 {
                return true;
            }
            self.run_ms(1_000, 0);
        }
        self.open() == 0
    }

    /// Runs for a time while jobs are submitted at a rate.
    fn run_ms(&mut self, for_ms: u64, jobs_per_s: u64) {
        let every_ms = 1_000_u64.checked_div(jobs_per_s).unwrap_or(u64::MAX);
        let end_ms = self.world.now_ms + for_ms;
        let mut next_ms = self.world.now_ms;
        while self.world.now_ms < end_ms {
            if self.world.now_ms >= next_ms && jobs_per_s > 0 {
                next_ms += every_ms;
                self.submit_job();
            }
            self.world.run_ms(5);
            if self.world.now_ms.is_multiple_of(20) {
                self.record_completions();
            }
        }
    }

    /// Records which jobs are completed.
    fn record_completions(&mut self) {
        let Some(leader) = self.world.leader() else {
            return;
        };
        let state = self.world.state(&leader);
        for (id, submission) in self.jobs.iter_mut().filter(|(_, h)| h.done_ms.is_none()) {
            let verdict = state.job(JobId::from(*id)).and_then(|job| job.verdict);
            if verdict == Some(JobState::Completed) {
                submission.done_ms = Some(self.world.now_ms);
            }
        }
    }

    fn is_accepted(&self, submission: &Submission) -> bool {
        self.world.answers.get(&submission.call) == Some(&Answer::Done)
    }

    /// Returns the number of accepted jobs that are not completed.
    fn open(&self) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|h| h.done_ms.is_none() && self.is_accepted(h))
            .count()
    }

    /// Returns the fraction of the jobs submitted since `since_ms` that completed in time.
    fn served_since(&self, since_ms: u64) -> f64 {
        let jobs = self.jobs.iter().filter(|(_, h)| h.at_ms >= since_ms);
        let (mut all, mut served) = (0, 0);
        for (id, submission) in jobs {
            let chain_ms = u64::from(steps_of(*id)) * self.run_ms;
            let within_ms = queue("any", "any").objective_ms(chain_ms);
            let took_ms = submission.done_ms.map(|at| at - submission.at_ms);
            all += 1;
            served += u32::from(took_ms.is_some_and(|took| took as f64 <= within_ms));
        }
        f64::from(served) / f64::from(all)
    }

    /// Describes the leader's processor use, for failure messages.
    fn processor_use(&self) -> String {
        let Some(leader) = self.world.leader() else {
            return "no leader".to_owned();
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

/// Returns a job of one to three steps in sequence.
fn spec_of(id: u64, run_ms: u64) -> JobSpec {
    let steps = (0..steps_of(id)).map(|k| Step {
        after: k.checked_sub(1).into_iter().collect(),
        estimate_ms: run_ms,
        ..step(TASKS_PER_STEP)
    });
    job(steps.collect())
}

fn steps_of(id: u64) -> u16 {
    1 + (id / 2 % 3) as u16
}

/// After an outage no caller gets an answer in time although the site is healthy again. A new
/// leader starts with many accepted jobs, most of them overdue. When each tick ranked all of
/// them anew, ticks took so long that workers' answers waited behind them: starts stayed in
/// flight, workers idled, and the backlog that made ticks long did not shrink. If visits cost
/// nothing the same site recovers, so their number is the cause.
#[test]
fn a_new_leader_with_a_backlog_serves_new_jobs_again() {
    let mut site = Site::new(1, 1_000, 3);
    site.submit_jobs(BACKLOG_JOBS / 3);
    let (leader, other) = site.kill_two();
    site.run_ms(6_000, 0);
    site.world.restart(&leader);
    site.world.restart(&other);
    let back_ms = site.world.now_ms;
    site.run_ms(RECOVERY_MS + 5_000, JOBS_PER_S);
    let processor_use = site.processor_use();
    site.run_ms(6_000, 0);
    let served = site.served_since(back_ms + RECOVERY_MS);
    let done = site.run_until_done(40);
    assert!(
        done,
        "{} accepted jobs are not done: {processor_use}",
        site.open()
    );
    assert!(
        served >= MIN_SERVED_FRACTION,
        "{served:.2} of the new jobs are served in time: {processor_use}"
    );
}

/// Goodput falls as the backlog grows, although callers submit the same rate. If a tick visits
/// every waiting job, workers' answers wait behind it, and the window of starts in flight
/// turns over more slowly.
#[test]
fn goodput_does_not_fall_with_the_backlog() {
    let [(few, _), (many, processor_use)] = [BACKLOG_JOBS / 10, BACKLOG_JOBS].map(|backlog| {
        let mut site = Site::new(2, 300, 1);
        site.hold_backlog(backlog, 3_000);
        let before = site.world.done;
        site.hold_backlog(backlog, 4_000);
        (site.world.done - before, site.processor_use())
    });
    let part = many as f64 / few as f64;
    assert!(
        part >= MIN_GOODPUT_FRACTION,
        "{many} runs end with {BACKLOG_JOBS} jobs, {few} with a tenth of them: {processor_use}"
    );
}

/// A full pool with a long queue slows the whole site. None of its jobs can start before a run
/// there ends, yet each tick in which anything happened elsewhere ranked all of them and
/// searched room for each.
#[test]
fn tick_costs_do_not_grow_with_jobs_that_cannot_start() {
    let [few, many] = [400, 4_000].map(visits_beside_a_full_pool);
    let needs = (4_000 - 400) * NEED_SCANS_PER_S * MEASURE_MS / 1_000;
    assert!(
        many <= 2 * few + needs,
        "{many} visits with 4000 jobs, {few} with 400, {needs} allowed for scans of needs"
    );
}

/// The needs of pools are computed ten times a second, and each time visits every job. With
/// enough jobs these scans alone use up the leader's processor time, and the backlog stays.
#[test]
fn scans_of_pool_needs_take_a_bounded_part_of_the_time() {
    let [few, many] = [2_000, 10_000].map(visits_beside_a_full_pool);
    assert!(
        many as f64 <= 1.5 * few as f64,
        "{many} visits with 10000 jobs, {few} with 2000"
    );
}

/// Counts the leader's visits while `waiting` jobs wait in a full pool and another pool works.
fn visits_beside_a_full_pool(waiting: u64) -> u64 {
    let mut world = World::without_moves(3, 4, 12);
    for port in 0..4 {
        world.worker(1_000 + port).run_ms = 100_000;
    }
    for id in 0..waiting {
        world.submit(
            1 + id as usize % 3,
            "quick",
            1 + id,
            job(vec![step(TASKS_PER_STEP)]),
        );
        if id % 10 == 0 {
            world.run_ms(5);
        }
    }
    world.run_ms(2_000);
    let leader = world.leader().unwrap();
    let before = world.visited(&leader);
    for id in 0..MEASURE_MS / 50 {
        world.submit(1, "long", 10_000 + id, job(vec![step(4)]));
        world.run_ms(50);
    }
    assert_eq!(world.leader(), Some(leader.clone()));
    let running = world.workers.values().filter(|w| w.pool == "east");
    let running: usize = running.map(|w| w.going.len()).sum();
    assert_eq!(running, 64, "the pool is full");
    world.visited(&leader) - before
}

/// A job in a pool with free workers does not start while another pool is busy. All pools
/// share one window of starts in flight; if it is assigned by priority alone, the jobs of the
/// other pool take all of it each time. With equal priorities, or a window of 4,000, the job
/// starts at once.
#[test]
fn a_pool_of_lower_priority_gets_starts_while_another_fills_the_window() {
    let mut world = World::without_moves(4, 160, 6);
    let mut changed = configuration(2);
    changed.queues[1].priority = 1;
    let call = world.call(1, Call::Configure(Arc::new(changed)));
    world.run_ms(500);
    assert_eq!(world.answers.get(&call), Some(&Answer::Done));
    for id in 0..3_000 {
        world.submit(1, "quick", 1 + id, job(vec![step(TASKS_PER_STEP)]));
        if id % 10 == 0 {
            world.run_ms(5);
        }
    }
    let submitted_ms = world.now_ms;
    let before = world.runs.len();
    let low = JobId::from(10_000);
    let mut west_workers = world.workers.values().filter(|w| w.pool == "west");
    assert!(west_workers.all(|w| w.going.is_empty()), "its pool is free");
    world.submit(1, "long", 10_000, job(vec![step(1)]));
    world.run_ms(1_000);
    let leader = world.leader().unwrap();
    let state = world.state(&leader);
    let left = state.queued("quick").filter(|j| j.has_no_runs()).count();
    let others = world.runs.len() - before;
    assert!(left > 0, "the other pool has run out of work");
    let first = world.runs.iter().find(|run| run.task.job == low);
    assert!(
        first.is_some_and(|run| run.began_ms <= submitted_ms + 1_000),
        "no start in a second, {others} in the other pool, where {left} jobs wait"
    );
}

/// Waiting gangs for which a pool has no room slow the whole site: in each pass, the leader
/// placed each of their tasks over all workers and took it back. A gang that does not fit must
/// not cost more than a single task that does not fit.
#[test]
fn a_gang_without_room_costs_no_more_than_a_task_without_room() {
    let never = Step {
        label: Some("nowhere".into()),
        ..step(1)
    };
    let gang = Step {
        gang: true,
        ..step(65)
    };
    let [few, many] = [never, gang].map(visits_beside_waiting_steps);
    assert!(
        many <= 2 * few,
        "{many} visits with gangs, {few} with single tasks"
    );
}

/// Counts the leader's visits while steps wait for which an idle pool of 64 cores has no room.
fn visits_beside_waiting_steps(waiting: Step) -> u64 {
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
    let before = world.visited(&leader);
    for id in 0..MEASURE_MS / 50 {
        world.submit(1, "long", 10_000 + id, job(vec![step(1)]));
        world.run_ms(50);
    }
    world.visited(&leader) - before
}

/// A caller cancels hundreds of running jobs. If the leader orders all their tasks to stop in
/// one batch, it blocks everything else while it writes the orders; answers that arrive
/// meanwhile are late, and the orders are sent again.
#[test]
fn a_mass_cancellation_is_sent_in_bounded_batches() {
    let mut site = Site::new(6, 60_000, 1);
    for worker in site.world.workers.values_mut() {
        worker.answer_late_ms = 0;
    }
    let jobs = u64::from(WORKERS_PER_POOL) * 2 * 16 / u64::from(TASKS_PER_STEP);
    let spec = job(vec![Step {
        estimate_ms: 60_000,
        ..step(TASKS_PER_STEP)
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
    let mut stopped_after_ms = None;
    for elapsed_ms in (0..8_000).step_by(5) {
        let before = site.world.ordered_by(&leader);
        site.world.run_ms(5);
        most = most.max(site.world.ordered_by(&leader) - before);
        if stopped_after_ms.is_none() && going(&site) == 0 {
            stopped_after_ms = Some(elapsed_ms);
        }
    }
    let unanswered = site.world.processor(&leader).unanswered - unanswered;
    assert_eq!(site.world.leader(), Some(leader), "the leader changed");
    assert!(
        stopped_after_ms.is_some(),
        "{} tasks still run",
        going(&site)
    );
    assert!(
        most <= 600,
        "{most} orders in one batch, {unanswered} unanswered"
    );
}

/// The job with the first rank waits behind hundreds of others: the advisor is asked about a
/// few steps at once, and they were selected by the ids of their jobs. While more jobs arrive
/// than it can answer, it was never asked about some of them.
#[test]
fn the_advisor_is_asked_about_steps_by_rank() {
    let mut world = World::without_moves(8, 40, 4);
    world.require_advice(Advice {
        decision_ms: 10,
        per_worker_ms: 1,
        validity_ms: 3_000,
    });
    for id in 0..600 {
        world.submit(1 + id as usize % 3, "quick", 1 + id, job(vec![step(2)]));
    }
    let submitted_ms = world.now_ms;
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
    let after_ms = first.map(|run| run.began_ms - submitted_ms);
    let others = world
        .runs
        .iter()
        .filter(|run| run.began_ms <= submitted_ms + after_ms.unwrap_or(0))
        .count();
    assert!(
        after_ms.is_some_and(|after_ms| after_ms <= 500),
        "the job starts after {after_ms:?} ms, {others} others before it"
    );
}
