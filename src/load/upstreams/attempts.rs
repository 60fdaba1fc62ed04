//! Attempts on upstreams: the resources that they hold, and what their results
//! tell about the upstream.

use super::super::health::may_eject;
use super::super::upstream::Upstream;
use super::Upstreams;
use crate::model::Demand;

/// Pause, in milliseconds, after an upstream replied `busy`: about the run time of a
/// request, so that the next attempt has a chance.
const BUSY_PAUSE_MS: u64 = 25;

/// Pause, in milliseconds, after an upstream is leaving or has another epoch, until the
/// report or view that says so arrives.
const STALE_PAUSE_MS: u64 = 250;

/// Time, in milliseconds, for which a pool counts as sick after an ejection that was
/// not allowed.
const POOL_SICK_MS: u64 = 10_000;

/// Result of an attempt, as far as its upstream is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in super::super) enum AttemptResult {
    /// A complete answer came, after this many times the usual run time.
    Answered { ratio: f64 },
    /// The request failed, was lost, or the upstream could not be reached.
    Failed,
    /// The upstream had no free slot.
    Busy,
    /// The upstream is leaving, or is in another pool.
    Moved,
}

/// The upstream of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) struct Target {
    /// Resources it holds there, as declared when it started.
    pub demand: Demand,
    pub upstream: usize,
    /// Generation of the upstream when the attempt started, so that its end does not
    /// count for another incarnation or for another upstream at the same index.
    pub generation: u64,
    pub pool: usize,
    pub zone: usize,
}

impl Upstreams {
    pub(in super::super) fn started(
        &mut self,
        now_ms: u64,
        at: usize,
        service: usize,
        class: usize,
    ) {
        let demand = self.fits[service].demand;
        let up = &mut self.list[at];
        up.started(now_ms, &demand);
        if up.reserved_for == Some(service) {
            up.reserved_for = None;
        }
        if let Some((pool, zone)) = up.contribution.group {
            self.pools[pool].groups[zone].in_flight[class] += 1;
        }
        self.refresh(now_ms, at);
    }

    /// Frees the resources of an attempt and records its result.
    pub(in super::super) fn ended(
        &mut self,
        now_ms: u64,
        to: Target,
        class: usize,
        end: AttemptResult,
    ) {
        let held = &mut self.pools[to.pool].groups[to.zone].in_flight[class];
        *held = held.saturating_sub(1);
        let up = &mut self.list[to.upstream];
        if up.generation != to.generation {
            return;
        }
        up.ended(&to.demand);
        self.record_result(now_ms, to, end);
        self.refresh(now_ms, to.upstream);
    }

    fn record_result(&mut self, now_ms: u64, to: Target, end: AttemptResult) {
        let up = &mut self.list[to.upstream];
        match end {
            AttemptResult::Answered { ratio } => {
                let beside = up.in_flight() + up.foreign(now_ms).requests;
                up.limit.record_run(now_ms, ratio, beside);
                self.pools[to.pool].answered(ratio);
                if up.record.succeeded() {
                    up.warm_up = Some(1);
                }
                extend_warm_up(up);
            }
            AttemptResult::Failed => self.record_failure(now_ms, to),
            AttemptResult::Busy => {
                up.record_busy(now_ms);
                up.paused_until_ms = now_ms + BUSY_PAUSE_MS;
            }
            AttemptResult::Moved => up.paused_until_ms = now_ms + STALE_PAUSE_MS,
        }
    }

    fn record_failure(&mut self, now_ms: u64, to: Target) {
        let pool = &mut self.pools[to.pool];
        let reason = self.list[to.upstream].record.failed(now_ms, &pool.rate);
        pool.rate.record(true);
        let Some(reason) = reason else {
            return;
        };
        if may_eject(pool.live(), pool.ejected) {
            self.list[to.upstream].record.eject(now_ms, reason);
        } else {
            pool.sick_until_ms = now_ms + POOL_SICK_MS;
        }
    }
}

/// Raises the warm-up limit by one with each answer, until all slots are in use.
fn extend_warm_up(up: &mut Upstream) {
    let Some(n) = up.warm_up else {
        return;
    };
    let is_warm = n + 1 >= up.limit.get();
    up.warm_up = if is_warm { None } else { Some(n + 1) };
}
