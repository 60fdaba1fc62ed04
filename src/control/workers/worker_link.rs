use std::cmp::Ordering;

use super::carrier::ORDER_MAX_AGE_MS;
use crate::consensus::TERM_STRIDE;
use crate::control::{
    Ended, LeaseLimits, RunPhase, RunView, Running, Runs, RunsPolicy, WorkerStart,
};
use crate::jobs::TaskId;

/// The leader's view of a worker: its clock, its lease and its runs.
///
/// Nothing here is durable. A new leader begins with unconfirmed links. A worker gets no
/// work over such a link until it has listed its runs under the new fencing token, after
/// which no order of an earlier leader can start anything there.
#[derive(Debug)]
pub struct WorkerLink {
    /// Time at which this leader created the link, or found that the worker had started again.
    since_ms: u64,
    /// When the worker's process started, in milliseconds since 1970, if it said so.
    started_unix_ms: Option<u64>,
    /// The worker's clock as it was last read, and the leader's time of that reading.
    clock: Option<(u64, u64)>,
    /// The latest lease end that the worker may hold, on the worker's clock.
    lease_end_ms: u64,
    limits: LeaseLimits,
    /// Longest lease that the worker may hold from orders of an earlier leader, or from orders
    /// that were meant for its earlier process.
    unknown_lease_ms: u64,
    /// Time until which an order that carries a lease may arrive.
    lease_arrival_ms: u64,
    /// When the worker first listed its runs under this leader's fencing token.
    confirmed_ms: Option<u64>,
    /// Number of the last end that is durable.
    pub(in crate::control) acknowledged: u64,
    /// Number of the last end that is proposed to the log.
    pub(in crate::control) proposed: u64,
    /// Time at which the open renewal was sent; `None` if no renewal is open.
    pub(in crate::control) renewal_sent_ms: Option<u64>,
    /// How long the worker holds the open renewal while there is no news (long poll).
    pub(in crate::control) renewal_wait_ms: u64,
    /// Time at which the next renewal is due.
    pub(in crate::control) renew_ms: u64,
    /// Time before which an expiry of its leases needs no other look.
    pub(in crate::control) lapse_check_ms: u64,
    /// Consecutive renewals without an answer.
    unanswered_renewals: u32,
    /// Whether the latest renewal was never sent.
    last_renewal_unsent: bool,
    /// End of the cooldown after refused orders or many failures; until then the worker
    /// gets no work.
    cooldown_until_ms: u64,
    /// Consecutive starts that had no effect.
    ineffective_starts: u32,
    /// Recent failures of distinct runs, decaying with time.
    failures: f64,
    failures_at_ms: u64,
    /// The runs that the replicated state has on the worker.
    pub(in crate::control) runs: Runs,
    /// How often the worker has started again under this leader.
    restarts: u64,
}

/// Slowest rate of a worker's clock relative to the leader's. Workers guarantee a deviation
/// of at most 2 %.
const MIN_CLOCK_RATE_PERCENT: u64 = 98;
/// Margin added to a lease of unknown end that an earlier leader granted. That leader's
/// estimate of the worker's clock was off by at most the duration of a call.
const INHERITED_LEASE_MARGIN_MS: u64 = 400;
/// Backoff after unanswered renewals. The first retry is quick, in case only a connection
/// broke; later ones are rare enough to cost little while a worker is down.
const RETRY_DELAYS_MS: [u64; 4] = [50, 200, 500, 1_000];
/// Time beyond the long poll of a renewal after which a silent worker gets no work. An
/// answer normally takes a fraction of it.
const MAX_SILENCE_MS: u64 = 1_200;
/// Cooldowns after consecutive starts without effect. The first hardly delays a worker that was
/// only once out of reach; after the last, a worker that begins nothing holds few tasks.
const INEFFECTIVE_START_COOLDOWNS_MS: [u64; 6] = [150, 300, 600, 1_200, 2_400, 4_800];
/// Time that the answer to a renewal may take beyond its wait.
pub(in crate::control) const RENEWAL_SLACK_MS: u64 = 500;
/// Maximum number of ends that a worker lists in one answer; set by the platform.
const LISTED_ENDS_MAX: usize = 500;
/// Half-life of the recent failures of a worker.
const FAILURES_HALF_LIFE_MS: f64 = 6_000.0;
/// How many times as many failures as others of its pool a worker has if it is at fault.
const UNUSUAL_FAILURES_FACTOR: f64 = 3.0;

impl WorkerLink {
    /// Creates an unconfirmed link; the worker may have runs of earlier leaders, which it began
    /// under its present process.
    pub fn new(now_ms: u64, limits: LeaseLimits) -> Self {
        Self {
            unknown_lease_ms: limits.inherited_ms,
            lease_arrival_ms: 0,
            since_ms: now_ms,
            started_unix_ms: None,
            clock: None,
            lease_end_ms: 0,
            limits,
            confirmed_ms: None,
            acknowledged: 0,
            proposed: 0,
            renewal_sent_ms: None,
            renewal_wait_ms: 0,
            renew_ms: now_ms,
            lapse_check_ms: 0,
            unanswered_renewals: 0,
            last_renewal_unsent: false,
            cooldown_until_ms: 0,
            ineffective_starts: 0,
            failures: 0.0,
            failures_at_ms: now_ms,
            runs: Runs::default(),
            restarts: 0,
        }
    }

    /// Creates an unconfirmed link to a worker that may have started again under an earlier
    /// leader.
    pub fn with_unknown_start(now_ms: u64, limits: LeaseLimits) -> Self {
        Self {
            unknown_lease_ms: limits.accepted_ms,
            ..Self::new(now_ms, limits)
        }
    }

    /// Sets whether the worker may have started again under an earlier leader, unless it was
    /// heard.
    pub fn set_may_have_started_again(&mut self, may: bool) {
        if self.clock.is_none() && self.restarts == 0 {
            self.unknown_lease_ms = match may {
                true => self.limits.accepted_ms,
                false => self.limits.inherited_ms,
            };
        }
    }

    /// Compares the start time in a message of the worker with the one that is known.
    pub fn compare_start(&self, started_unix_ms: Option<u64>) -> WorkerStart {
        let (Some(said), Some(known)) = (started_unix_ms, self.started_unix_ms) else {
            return WorkerStart::Known;
        };
        match said.cmp(&known) {
            Ordering::Less => WorkerStart::Earlier,
            Ordering::Equal => WorkerStart::Known,
            Ordering::Greater => WorkerStart::Later,
        }
    }

    /// Remembers the start time that the first listing names. A report does not count: one of
    /// an earlier process may arrive late. A worker that does not say it has another name after
    /// each start.
    pub fn note_start(&mut self, started_unix_ms: Option<u64>) {
        if started_unix_ms.is_none() {
            self.set_may_have_started_again(false);
        }
        self.started_unix_ms = self.started_unix_ms.or(started_unix_ms);
    }

    /// Begins anew with a worker whose process has started again.
    ///
    /// Nothing of before holds for the new process: it has no runs and no lease, has seen no
    /// fencing token, and its clock and the numbers of its ends begin anew. Orders to the
    /// earlier process may still be under way. So the worker is treated as by a new leader:
    /// it gets a higher token, and no work until it has listed its runs under it. From then
    /// on no earlier order has any effect there. One that arrived before carried a lease end by
    /// the clock of the earlier process, far ahead of the new clock, so it may have got the
    /// longest lease that the worker accepts.
    pub fn start_again(&mut self, now_ms: u64, started_unix_ms: u64) {
        let mut runs = std::mem::take(&mut self.runs);
        for (_, view) in runs.iter_mut() {
            let phase = match view.is_stopping() {
                true => RunPhase::Stopping {
                    ordered: false,
                    again_ms: now_ms,
                },
                false => RunPhase::Inherited,
            };
            *view = RunView {
                expected: view.expected,
                saves: view.saves,
                stalls: view.stalls,
                ..RunView::new(phase, view.load)
            };
        }
        *self = Self {
            started_unix_ms: Some(started_unix_ms),
            cooldown_until_ms: self.cooldown_until_ms,
            ineffective_starts: self.ineffective_starts,
            restarts: self.restarts + 1,
            lease_arrival_ms: self.lease_arrival_ms,
            unknown_lease_ms: self.limits.accepted_ms,
            runs,
            ..Self::new(now_ms, self.limits)
        };
    }

    /// Returns how often the worker has started again under this leader.
    pub fn restarts(&self) -> u64 {
        self.restarts
    }

    /// Returns the fencing token of orders to the worker from the leader of `term`. It rises
    /// when the worker starts again, and is below those of all later terms.
    pub fn fence(&self, term: u64) -> u64 {
        term + self.restarts.min(TERM_STRIDE - 1)
    }

    /// Returns the number up to which ends are acknowledged with the next renewal.
    ///
    /// After a renewal without an answer the worker may have started again, and would forget
    /// ends of its new process that carry the numbers of earlier ones.
    pub fn acknowledgement(&self) -> u64 {
        match self.unanswered_renewals > 0 || self.last_renewal_unsent {
            true => 0,
            false => self.acknowledged,
        }
    }

    /// Returns whether the worker may get work now.
    pub fn takes_work(&self, now_ms: u64) -> bool {
        self.is_confirmed() && self.is_heard(now_ms) && now_ms >= self.cooldown_until_ms
    }

    /// Returns whether the worker has answered lately.
    pub fn is_heard(&self, now_ms: u64) -> bool {
        let max_silence_ms = self.renewal_wait_ms + MAX_SILENCE_MS;
        let heard = self
            .clock
            .is_some_and(|(_, at)| now_ms < at + max_silence_ms);
        heard && self.unanswered_renewals < 2
    }

    /// Returns the time of the worker's last answer, if there was one.
    pub fn heard_ms(&self) -> Option<u64> {
        self.clock.map(|(_, at_ms)| at_ms)
    }

    /// Returns whether the worker has listed its runs under this leader's fencing token.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_ms.is_some()
    }

    /// Returns whether a run was listed lately as fully started, by a worker that has ended all
    /// stops of earlier leaders.
    ///
    /// A worker takes up to `stop_timeout_ms` to stop a run and lists it as running until then.
    /// From its first listing under this leader's fencing token on, it accepts no stop of an
    /// earlier leader.
    pub fn is_fully_running(
        &self,
        now_ms: u64,
        task: TaskId,
        attempt: u32,
        stop_timeout_ms: u64,
    ) -> bool {
        let Some(stops_end_ms) = self.confirmed_ms.map(|at_ms| at_ms + stop_timeout_ms) else {
            return false;
        };
        let view = self.runs.get(&(task, attempt));
        view.is_some_and(|view| view.is_fully_running(now_ms, stops_end_ms))
    }

    /// Returns the lease end to send with an order now, on the worker's clock; `None` while
    /// that clock is unknown. The lease counts as granted whether or not the order is
    /// answered.
    pub fn grant(&mut self, now_ms: u64) -> Option<u64> {
        let (clock_ms, at_ms) = self.clock?;
        let end_ms = clock_ms + now_ms.saturating_sub(at_ms) + self.limits.granted_ms;
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
        Some(end_ms)
    }

    /// Returns the latest lease end that the worker may hold, on its clock.
    pub fn lease_end_ms(&self) -> u64 {
        self.lease_end_ms
    }

    /// Returns whether a renewal is to be sent now.
    pub fn is_renewal_due(&self, now_ms: u64) -> bool {
        self.renewal_sent_ms.is_none() && now_ms >= self.renew_ms
    }

    /// Records that a renewal is sent, which the worker may hold for `wait_ms`. Returns the
    /// lease end to send with it, see [`Self::renewal_end`].
    pub fn begin_renewal(&mut self, now_ms: u64, wait_ms: u64) -> Option<u64> {
        self.renewal_sent_ms = Some(now_ms);
        self.renewal_wait_ms = wait_ms;
        let lease_end_ms = self.renewal_end(now_ms)?;
        self.record_lease_sent(now_ms, wait_ms + RENEWAL_SLACK_MS);
        Some(lease_end_ms)
    }

    /// Records that an order with a lease is sent, whose answer is awaited for `timeout_ms`.
    pub fn record_lease_sent(&mut self, now_ms: u64, timeout_ms: u64) {
        let arrival_ms = now_ms + timeout_ms + ORDER_MAX_AGE_MS;
        self.lease_arrival_ms = self.lease_arrival_ms.max(arrival_ms);
    }

    /// Returns whether a run may be at work on a later process of the worker of which nothing
    /// has been heard.
    ///
    /// A worker that tells its start may start again under its name. A start that was sent to
    /// the earlier process then begins in the new one, under the longest lease that the worker
    /// accepts. Runs that the earlier process has confirmed ended with it.
    pub fn may_run_unheard(&self, now_ms: u64) -> bool {
        let expires_ms =
            self.lease_arrival_ms + self.limits.accepted_ms * 100 / MIN_CLOCK_RATE_PERCENT + 1;
        self.started_unix_ms.is_some()
            && now_ms < expires_ms
            && self.runs.values().any(|view| !view.confirmed)
    }

    /// Returns the runs that the known process of the worker has confirmed.
    pub fn confirmed_runs(&self) -> impl Iterator<Item = (TaskId, u32)> {
        let confirmed = self.runs.iter().filter(|(_, view)| view.confirmed);
        confirmed.map(|(run, _)| *run)
    }

    /// Returns the worker's clock as it was last read, 0 if it never was.
    pub fn clock_ms(&self) -> u64 {
        self.clock.map_or(0, |(clock_ms, _)| clock_ms)
    }

    /// Returns the lease end to send with the next renewal; `None` if the previous renewal
    /// was not answered or never sent.
    ///
    /// An unanswered renewal may still arrive and extend the lease. If every retry carried
    /// a later end, the lease of a lost worker would never certainly expire, and its tasks
    /// would not start elsewhere. The same holds after a renewal that was never sent,
    /// because the worker may be lost while its renewals are held back.
    pub fn renewal_end(&mut self, now_ms: u64) -> Option<u64> {
        if self.unanswered_renewals > 0 || self.last_renewal_unsent {
            return None;
        }
        self.grant(now_ms)
    }

    /// Returns whether every lease that the worker may hold has certainly expired, even if
    /// its clock runs at the slowest permitted rate.
    pub fn has_lapsed(&self, now_ms: u64) -> bool {
        now_ms >= self.lapses_ms()
    }

    /// Returns the time from which [`Self::has_lapsed`] holds, unless a lease is granted before.
    fn lapses_ms(&self) -> u64 {
        match self.clock {
            Some((clock_ms, at_ms)) => {
                let left_ms = (self.lease_end_ms + 1).saturating_sub(clock_ms);
                at_ms + (left_ms * 100).div_ceil(MIN_CLOCK_RATE_PERCENT)
            }
            None => {
                let max_lease_ms = self.unknown_lease_ms + INHERITED_LEASE_MARGIN_MS;
                let granted_ms = self.since_ms.max(self.lease_arrival_ms);
                granted_ms + max_lease_ms * 100 / MIN_CLOCK_RATE_PERCENT + 1
            }
        }
    }

    /// Returns when the leader has to look at the worker next: to renew its lease, if it
    /// `renews`, or because all its leases may have expired.
    pub(super) fn due_ms(&self, renews: bool) -> u64 {
        let lapse_check_ms = self.lapses_ms().max(self.lapse_check_ms);
        match renews && self.renewal_sent_ms.is_none() {
            true => lapse_check_ms.min(self.renew_ms),
            false => lapse_check_ms,
        }
    }

    /// Records the worker's clock from an answer.
    ///
    /// The answer took some time to arrive, more if a follower carried it, so the recorded
    /// clock is behind the worker's clock and never ahead. Both uses are safe in this case:
    /// [`Self::grant`] counts from the recorded clock, so a lease ends earlier than
    /// intended, and its end is stored as it was sent to the worker. [`Self::has_lapsed`]
    /// waits until the recorded clock has passed that end, which the worker's own clock has
    /// done before. An order that arrives late carries the lease end of the time of its
    /// sending, so a delay extends nothing.
    pub fn record_clock(&mut self, now_ms: u64, clock_ms: u64) {
        if self.clock.is_none() {
            // Every lease that an earlier leader granted ends by then.
            self.lease_end_ms = clock_ms + self.unknown_lease_ms + INHERITED_LEASE_MARGIN_MS;
        }
        // Answers may arrive out of order.
        if self.clock.is_none_or(|(known_ms, _)| clock_ms >= known_ms) {
            self.clock = Some((clock_ms, now_ms));
        }
    }

    /// Records that a renewal was not answered, and schedules a retry with backoff.
    pub fn renewal_failed(&mut self, now_ms: u64) {
        self.renewal_sent_ms = None;
        let step = (self.unanswered_renewals as usize).min(RETRY_DELAYS_MS.len() - 1);
        self.renew_ms = now_ms + RETRY_DELAYS_MS[step];
        self.unanswered_renewals = self.unanswered_renewals.saturating_add(1);
    }

    /// Records that a renewal was never sent. This says nothing about the worker, so the
    /// renewal is retried soon.
    pub fn renewal_not_sent(&mut self, now_ms: u64) {
        self.renewal_sent_ms = None;
        self.renew_ms = now_ms + RETRY_DELAYS_MS[0];
        self.last_renewal_unsent = true;
    }

    /// Returns the runs of a listing that the worker had not confirmed before.
    pub fn newly_confirmed(&self, running: &[Running]) -> Vec<(TaskId, u32)> {
        let keys = running.iter().map(|run| (run.task, run.attempt));
        keys.filter(|key| self.runs.get(key).is_some_and(|view| !view.confirmed))
            .collect()
    }

    /// Records the answer to the renewal that was sent at `sent_ms`. Returns the runs that
    /// provably are not on the worker and will not start there.
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
        self.record_clock(now_ms, clock_ms);
        self.unanswered_renewals = 0;
        self.last_renewal_unsent = false;
        self.confirmed_ms.get_or_insert(now_ms);
        for run in running {
            if let Some(view) = self.runs.get_mut(&(run.task, run.attempt)) {
                view.note_progress(now_ms, run.percent);
                view.gauge = run.gauge;
                // An overloaded leader may read the answer late, so the listing is taken to
                // be as old as the renewal.
                view.listed_ms = Some(sent_ms);
                view.confirmed = true;
                if matches!(view.phase, RunPhase::Inherited | RunPhase::Starting { .. }) {
                    view.phase = RunPhase::Running { since_ms: now_ms };
                }
            }
        }
        // The list of ends is full: further ends are listed once these are acknowledged. A
        // run with such an end is in neither list. If it counted as absent, the task would
        // start again although its end is acknowledged later.
        if ended.len() >= LISTED_ENDS_MAX {
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

    /// Returns the leader's view of a run for changes.
    pub fn run_mut(&mut self, task: TaskId, attempt: u32) -> Option<&mut RunView> {
        self.runs.get_mut(&(task, attempt))
    }

    /// Starts or extends the worker's cooldown, in which it gets no work.
    pub fn start_cooldown(&mut self, now_ms: u64, for_ms: u64) {
        self.cooldown_until_ms = self.cooldown_until_ms.max(now_ms + for_ms);
    }

    /// Records that a start was rejected or not answered, and starts a cooldown that grows with
    /// the number of such starts in a row.
    ///
    /// Nothing else takes a worker out that answers its renewals and begins no run: its room stays
    /// free, so the next pass would place the same tasks there again.
    pub fn start_ineffective(&mut self, now_ms: u64) {
        let last = INEFFECTIVE_START_COOLDOWNS_MS.len() - 1;
        let step = (self.ineffective_starts as usize).min(last);
        // Starts that were sent together count once.
        if now_ms >= self.cooldown_until_ms {
            self.ineffective_starts = self.ineffective_starts.saturating_add(1);
            self.start_cooldown(now_ms, INEFFECTIVE_START_COOLDOWNS_MS[step]);
        }
    }

    /// Records that the worker has begun a run.
    pub fn start_effective(&mut self) {
        self.ineffective_starts = 0;
    }

    /// Records that a run failed on the worker; `share` is the part of the failure that counts
    /// against the worker. Returns whether it has failed often enough for a cooldown.
    ///
    /// A worker on which every run fails at once always has the most free room and attracts
    /// all work, so that jobs use up their attempts within a second. Therefore a few
    /// failures start a cooldown.
    #[must_use]
    pub fn run_failed(&mut self, now_ms: u64, share: f64, policy: &RunsPolicy) -> bool {
        self.decay_failures(now_ms);
        self.failures += share;
        policy.failures_max > 0.0 && self.failures >= policy.failures_max
    }

    /// Starts a cooldown after failures, unless the worker has failed hardly more often than
    /// others of its pool: then it is not at fault. `usual` is the number of recent failures of
    /// those.
    pub fn rest_after_failures(&mut self, now_ms: u64, usual: f64, policy: &RunsPolicy) {
        if self.failures >= UNUSUAL_FAILURES_FACTOR * usual {
            self.start_cooldown(now_ms, policy.failures_rest_ms);
        }
    }

    /// Records that a run completed on the worker, which halves its failures.
    pub fn run_done(&mut self, now_ms: u64) {
        self.decay_failures(now_ms);
        self.failures *= 0.5;
    }

    /// Returns the number of recent failures, decayed until now.
    pub fn failures_at(&self, now_ms: u64) -> f64 {
        self.failures * remaining_failures(now_ms.saturating_sub(self.failures_at_ms))
    }

    /// Returns whether the worker is in a cooldown.
    pub fn is_resting(&self, now_ms: u64) -> bool {
        now_ms < self.cooldown_until_ms
    }

    /// Returns the number of recent failures as of the last run that ended.
    pub fn failures(&self) -> f64 {
        self.failures
    }

    fn decay_failures(&mut self, now_ms: u64) {
        self.failures = self.failures_at(now_ms);
        self.failures_at_ms = now_ms;
    }
}

/// Returns the part of recent failures that remains after a time.
fn remaining_failures(passed_ms: u64) -> f64 {
    0.5_f64.powf(passed_ms as f64 / FAILURES_HALF_LIFE_MS)
}
