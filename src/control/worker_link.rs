use super::{Ended, RunLoad, Running, Runs, RunsPolicy};
use crate::jobs::{Step, TaskId};

/// What the leader believes of a worker: its clock, its lease, and what runs there.
///
/// Nothing here is durable. Another leader begins with an unconfirmed link, which
/// takes no work until the worker has listed what it has under the new fencing
/// token: from then on no order of an earlier leader can start anything there.
#[derive(Debug)]
pub struct WorkerLink {
    /// When this leader began to care for it.
    since_ms: u64,
    /// The worker's clock, and when it was read.
    clock: Option<(u64, u64)>,
    /// The latest lease end that the worker may hold, on its clock.
    lease_end_ms: u64,
    lease_ms: u64,
    /// Whether it has listed everything under this leader's token.
    confirmed: bool,
    /// Ends that are durable.
    pub(super) acknowledged: u64,
    /// Ends that are on their way into the log.
    pub(super) proposed: u64,
    /// When the renewal under way was sent.
    pub(super) renewal_sent_ms: Option<u64>,
    /// How long it waits at the worker.
    pub(super) renewal_wait_ms: u64,
    /// When the next renewal is due.
    pub(super) renew_ms: u64,
    /// Renewals in a row that were not answered.
    silent: u32,
    /// The latest renewal never left.
    unsent: bool,
    /// No work before this: it refused some, or failed a lot.
    cooling_until_ms: u64,
    /// Failures of distinct runs lately.
    failures: f64,
    failures_at_ms: u64,
    /// The runs that the replicated state has there.
    pub(super) runs: Runs,
}

/// What the leader knows of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunView {
    /// How far the orders are.
    pub phase: RunPhase,
    /// How far it is up, 0 to 100, as listed last.
    pub percent: u8,
    /// Its tail latency or its processor use, as listed last.
    pub gauge: Option<u64>,
    /// When it was listed last.
    pub listed_ms: Option<u64>,
    /// The share of its speed that it was given last.
    pub share_percent: u8,
    /// How its progress went; none before it was listed.
    pub progress: Option<Progress>,
    /// What it takes of the worker.
    pub load: RunLoad,
    /// When it was placed, in milliseconds since 1970, and how long it should take; none
    /// of a task that lasts.
    pub expected: Option<(u64, u64)>,
}

/// How the progress of a run went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// When it was listed with more progress than before.
    pub changed_ms: u64,
}

/// How far the orders for a run are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// An earlier leader's; whether it ever started is not known.
    Inherited,
    /// A start is on its way.
    Starting {
        /// Starts that were not answered.
        unanswered: u32,
    },
    /// It runs.
    Running {
        /// Since when, at the latest.
        since_ms: u64,
    },
    /// It is to be stopped; an order may be on its way.
    Stopping {
        /// Whether an order is on its way.
        ordered: bool,
        /// When to order it again.
        again_ms: u64,
    },
    /// The worker has taken the stop: it will not start any more.
    Stopped {
        /// When.
        at_ms: u64,
    },
}

impl RunView {
    /// One in this phase, not listed yet.
    pub fn new(phase: RunPhase, load: RunLoad) -> Self {
        Self {
            phase,
            load,
            expected: None,
            percent: 0,
            gauge: None,
            listed_ms: None,
            share_percent: 100,
            progress: None,
        }
    }

    /// Notes when a run of a task of this step was placed and how long it should take.
    pub fn expect(&mut self, step: &Step, placed_unix_ms: u64, takes_ms: u64) {
        self.expected = (!step.lasting).then_some((placed_unix_ms, takes_ms));
    }

    fn note_progress(&mut self, now_ms: u64, percent: u8) {
        let progress = self.progress.get_or_insert(Progress { changed_ms: now_ms });
        if percent != self.percent {
            progress.changed_ms = now_ms;
        }
        self.percent = percent;
    }

    /// Whether a stop was ordered.
    pub fn is_stopping(&self) -> bool {
        matches!(
            self.phase,
            RunPhase::Stopping { .. } | RunPhase::Stopped { .. }
        )
    }

    /// Whether it is at work, as far as is known.
    pub fn is_at_work(&self, now_ms: u64) -> bool {
        let running = matches!(self.phase, RunPhase::Running { .. });
        let recent = self.listed_ms.is_some_and(|at| now_ms < at + VIEW_MS);
        running && recent && self.percent >= 100
    }
}

/// Age up to which a listing says what is at work: two renewals.
const VIEW_MS: u64 = 2_500;
/// The worker's clock runs slower than the leader's by 2 % at most, as promised.
const SLOWEST_PERCENT: u64 = 98;
/// Added to a lease that an earlier leader granted, whose end is not known: its
/// estimate of the worker's clock was off by no more than a call takes.
const LEASE_DOUBT_MS: u64 = 400;
/// Pauses after renewals that were not answered: the first retry is quick, for a
/// connection that broke; later ones cost little while a worker is down.
const RETRY_MS: [u64; 4] = [50, 200, 500, 1_000];
/// A worker that was not heard for so much longer than a renewal waits there gets no
/// work: an answer takes a fraction of it.
const SILENT_MS: u64 = 1_200;
/// Ends that a worker lists at once, as the platform sets it.
const ENDS_LISTED_MAX: usize = 500;
/// Failures fade by half in this time.
const FAILURES_HALVE_MS: f64 = 6_000.0;

impl WorkerLink {
    /// A link that this leader begins; runs may be there from earlier leaders.
    pub fn new(now_ms: u64, lease_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            clock: None,
            lease_end_ms: 0,
            lease_ms,
            confirmed: false,
            acknowledged: 0,
            proposed: 0,
            renewal_sent_ms: None,
            renewal_wait_ms: 0,
            renew_ms: now_ms,
            silent: 0,
            unsent: false,
            cooling_until_ms: 0,
            failures: 0.0,
            failures_at_ms: now_ms,
            runs: Runs::default(),
        }
    }

    /// Whether it may get work now.
    pub fn takes_work(&self, now_ms: u64) -> bool {
        self.confirmed && self.is_heard(now_ms) && now_ms >= self.cooling_until_ms
    }

    /// Whether it was heard lately.
    pub fn is_heard(&self, now_ms: u64) -> bool {
        let silent_ms = self.renewal_wait_ms + SILENT_MS;
        let heard = self.clock.is_some_and(|(_, at)| now_ms < at + silent_ms);
        heard && self.silent < 2
    }

    /// When it was heard last, if ever.
    pub fn heard_ms(&self) -> Option<u64> {
        self.clock.map(|(_, at_ms)| at_ms)
    }

    /// Whether it has listed everything under this leader's token.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// The lease end for an order that leaves now; none while the worker's clock is
    /// not known. It counts from then on, answered or not.
    pub fn grant(&mut self, now_ms: u64) -> Option<u64> {
        let (clock_ms, at_ms) = self.clock?;
        let end_ms = clock_ms + now_ms.saturating_sub(at_ms) + self.lease_ms;
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
        Some(end_ms)
    }

    /// The lease end for the next renewal; none for a worker that does not answer.
    ///
    /// A renewal that is not answered may still arrive and extend the lease. If every
    /// retry carried a later end, the lease of a lost worker would never certainly run
    /// out, and its tasks would not start elsewhere. The same holds after a renewal that
    /// never left: the worker may be lost while its renewals do not get their turn.
    pub fn renewal_end(&mut self, now_ms: u64) -> Option<u64> {
        if self.silent > 0 || self.unsent {
            return None;
        }
        self.grant(now_ms)
    }

    /// Whether every lease that the worker may hold has run out for certain, even
    /// if its clock is the slowest that may be.
    pub fn has_lapsed(&self, now_ms: u64) -> bool {
        match self.clock {
            Some((clock_ms, at_ms)) => {
                let passed_ms = now_ms.saturating_sub(at_ms) * SLOWEST_PERCENT / 100;
                clock_ms + passed_ms > self.lease_end_ms
            }
            None => {
                let doubt_ms = self.lease_ms + LEASE_DOUBT_MS;
                now_ms > self.since_ms + doubt_ms * 100 / SLOWEST_PERCENT
            }
        }
    }

    /// Takes its clock from an answer.
    ///
    /// The answer was on its way for a while, longer if a follower carried it: the clock is
    /// taken to be behind what it is by then, and never ahead. All that is built on it errs
    /// to the safe side for that. [`Self::grant`] counts from the clock that is believed,
    /// so a lease ends sooner than meant, and its end is remembered as the worker was told
    /// it; [`Self::has_lapsed`] waits until the clock that is believed has passed that end,
    /// which the worker's own has done before. An order that arrives late carries the end
    /// of its sending: being late extends nothing.
    pub fn heard(&mut self, now_ms: u64, clock_ms: u64) {
        if self.clock.is_none() {
            // What an earlier leader granted ends by then.
            self.lease_end_ms = clock_ms + self.lease_ms + LEASE_DOUBT_MS;
        }
        // Answers may overtake each other.
        if self.clock.is_none_or(|(known_ms, _)| clock_ms >= known_ms) {
            self.clock = Some((clock_ms, now_ms));
        }
    }

    /// A renewal was not answered.
    pub fn renewal_failed(&mut self, now_ms: u64) {
        self.renewal_sent_ms = None;
        let step = (self.silent as usize).min(RETRY_MS.len() - 1);
        self.renew_ms = now_ms + RETRY_MS[step];
        self.silent = self.silent.saturating_add(1);
    }

    /// A renewal never left: that says nothing of the worker, which is asked again.
    pub fn renewal_not_sent(&mut self, now_ms: u64) {
        self.renewal_sent_ms = None;
        self.renew_ms = now_ms + RETRY_MS[0];
        self.unsent = true;
    }

    /// The renewal that left at `sent_ms` was answered: takes the listing. Returns the
    /// runs that provably are not there and will not start.
    pub fn listed(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        clock_ms: u64,
        running: &[Running],
        ended: &[Ended],
    ) -> Vec<(TaskId, u32)> {
        if self.renewal_sent_ms == Some(sent_ms) {
            self.renewal_sent_ms = None;
        }
        self.heard(now_ms, clock_ms);
        self.silent = 0;
        self.unsent = false;
        self.confirmed = true;
        for run in running {
            if let Some(view) = self.runs.get_mut(&(run.task, run.attempt)) {
                view.note_progress(now_ms, run.percent);
                view.gauge = run.gauge;
                // A leader that is behind may read it late: it is as old as the question.
                view.listed_ms = Some(sent_ms);
                if matches!(view.phase, RunPhase::Inherited | RunPhase::Starting { .. }) {
                    view.phase = RunPhase::Running { since_ms: now_ms };
                }
            }
        }
        // Ends beyond these are listed once those before them are acknowledged. A run whose
        // end is among them is in neither list: taken for absent it would start once more,
        // after an end that is acknowledged later.
        if ended.len() >= ENDS_LISTED_MAX {
            return Vec::new();
        }
        let listed = |key: &(TaskId, u32)| {
            running.iter().any(|r| (r.task, r.attempt) == *key)
                || ended.iter().any(|e| (e.task, e.attempt) == *key)
        };
        let absent = |key: &(TaskId, u32), view: &RunView| {
            let settled = match view.phase {
                RunPhase::Inherited => true,
                RunPhase::Running { since_ms } => since_ms < sent_ms,
                RunPhase::Stopped { at_ms } => at_ms < sent_ms,
                RunPhase::Starting { .. } | RunPhase::Stopping { .. } => false,
            };
            settled && !listed(key)
        };
        self.runs
            .iter()
            .filter(|(key, view)| absent(key, view))
            .map(|(key, _)| *key)
            .collect()
    }

    /// What is known of a run, to change.
    pub fn run_mut(&mut self, task: TaskId, attempt: u32) -> Option<&mut RunView> {
        self.runs.get_mut(&(task, attempt))
    }

    /// Gives it no work for a while.
    pub fn cool(&mut self, now_ms: u64, for_ms: u64) {
        self.cooling_until_ms = self.cooling_until_ms.max(now_ms + for_ms);
    }

    /// Notes that a run failed there.
    ///
    /// A worker that fails everything at once looks the freest of all and draws all
    /// work to itself: jobs use up their attempts there within a second. So it
    /// rests after a few failures.
    pub fn run_failed(&mut self, now_ms: u64, policy: &RunsPolicy) {
        self.fade(now_ms);
        self.failures += 1.0;
        if policy.failures_max > 0.0 && self.failures >= policy.failures_max {
            self.cool(now_ms, policy.failures_rest_ms);
        }
    }

    /// Notes that a run was done there: it works.
    pub fn run_done(&mut self, now_ms: u64) {
        self.fade(now_ms);
        self.failures *= 0.5;
    }

    /// Recent failures, fading.
    pub fn failures(&self) -> f64 {
        self.failures
    }

    fn fade(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.failures_at_ms) as f64;
        self.failures *= 0.5_f64.powf(passed_ms / FAILURES_HALVE_MS);
        self.failures_at_ms = now_ms;
    }
}
