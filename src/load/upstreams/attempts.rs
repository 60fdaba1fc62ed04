//! Attempts on upstreams: what they hold while they run, and what their ends
//! teach of the upstream.

use super::super::health::may_eject;
use super::super::upstream::Upstream;
use super::Upstreams;
use crate::model::Demand;

/// Pause after an upstream refused in good order: about the time a request runs
/// there, so that the next try has a chance.
const REFUSED_PAUSE_MS: u64 = 25;

/// Pause after an upstream leaves or has another epoch: the report or view that
/// says so is on its way.
const STALE_PAUSE_MS: u64 = 250;

/// How long a pool counts as sick after it wanted one more ejection.
const SICK_MS: u64 = 10_000;

/// How an attempt ended, as far as its upstream is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in super::super) enum End {
    /// A whole answer came, after this many times the usual run time.
    Answered { ratio: f64 },
    /// It failed, was lost, or could not be reached.
    Failed,
    /// It had no slot.
    Busy,
    /// It leaves, or is in another pool.
    Moved,
}

/// Where an attempt went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) struct Target {
    /// What it takes there, as declared when it started.
    pub demand: Demand,
    pub upstream: usize,
    /// Of the upstream's record, so that the end of an attempt cannot be counted
    /// for another incarnation, nor for another upstream in the same place.
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
        if let Some((pool, zone)) = up.counted.group {
            self.pools[pool].groups[zone].in_flight[class] += 1;
        }
        self.refresh(now_ms, at);
    }

    /// Frees what an attempt held and learns from how it ended.
    pub(in super::super) fn ended(&mut self, now_ms: u64, to: Target, class: usize, end: End) {
        let held = &mut self.pools[to.pool].groups[to.zone].in_flight[class];
        *held = held.saturating_sub(1);
        let up = &mut self.list[to.upstream];
        if up.generation != to.generation {
            return;
        }
        up.ended(&to.demand);
        self.learn(now_ms, to, end);
        self.refresh(now_ms, to.upstream);
    }

    fn learn(&mut self, now_ms: u64, to: Target, end: End) {
        let up = &mut self.list[to.upstream];
        match end {
            End::Answered { ratio } => {
                let beside = up.in_flight() + up.foreign(now_ms).requests;
                up.limit.ran(now_ms, ratio, beside);
                self.pools[to.pool].answered(ratio);
                if up.record.succeeded() {
                    up.warm_up = Some(1);
                }
                warm(up);
            }
            End::Failed => self.failed(now_ms, to),
            End::Busy => {
                up.was_full(now_ms);
                up.held_until_ms = now_ms + REFUSED_PAUSE_MS;
            }
            End::Moved => up.held_until_ms = now_ms + STALE_PAUSE_MS,
        }
    }

    fn failed(&mut self, now_ms: u64, to: Target) {
        let pool = &mut self.pools[to.pool];
        let reason = self.list[to.upstream].record.failed(now_ms, &pool.rate);
        pool.rate.saw(true);
        let Some(reason) = reason else {
            return;
        };
        if may_eject(pool.live(), pool.ejected) {
            self.list[to.upstream].record.eject(now_ms, reason);
        } else {
            pool.sick_until_ms = now_ms + SICK_MS;
        }
    }
}

/// One more request at once with each answer, until all slots are in use.
fn warm(up: &mut Upstream) {
    let Some(n) = up.warm_up else {
        return;
    };
    let is_warm = n + 1 >= up.limit.get();
    up.warm_up = if is_warm { None } else { Some(n + 1) };
}
