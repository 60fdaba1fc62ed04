//! Choice of an upstream within a zone.
//!
//! Load pattern: several entry instances send at once and know the load only
//! with a delay. Without randomness all of them choose the upstream that looked
//! idlest, which then becomes the busiest (herding). Two candidates are drawn
//! at random and the one expected to finish first takes the request. This power
//! of two choices spreads load almost as evenly as full knowledge and avoids
//! herding.
//!
//! A retry prefers another rack, since a rack fails as a whole and its other
//! upstreams likely have the same fault. Upstreams on probation get idempotent
//! requests only, as long as others are available. An upstream that runs
//! `SLOWER_THAN_POOL_RATIO` times longer than its pool gets one request a
//! second while others are at work, because the next slot freed elsewhere
//! answers sooner. It is compared with its pool and not with the past, or a
//! pool that is slow as a whole would stall.

use rand_chacha::ChaCha8Rng;

use super::upstream::Upstream;
use super::upstreams::{Target, Upstreams};

/// Candidates drawn at first.
const INITIAL_CANDIDATES: usize = 2;

/// Candidates drawn for a retry, or when none of the first is suitable.
const EXTENDED_CANDIDATES: usize = 12;

/// Ratio to the slowness of the pool from which waiting for another upstream is better.
const SLOWER_THAN_POOL_RATIO: f64 = 3.0;

/// Interval, in milliseconds, between requests that probe whether a slow upstream has
/// recovered.
const SLOW_PROBE_INTERVAL_MS: u64 = 1_000;

/// Cost that excludes an upstream while any other candidate exists.
const AVOID_COST: f64 = 1e3;

/// The properties of a request that determine its upstream.
#[derive(Debug)]
pub(super) struct UpstreamQuery<'a> {
    pub service: usize,
    pub idempotent: bool,
    /// Targets of earlier attempts.
    pub tried: &'a [Target],
}

/// Returns the candidate of the zone that is expected to finish first.
pub(super) fn choose_upstream(
    all: &Upstreams,
    now_ms: u64,
    query: &UpstreamQuery<'_>,
    zone: usize,
    rng: &mut ChaCha8Rng,
) -> Option<usize> {
    let ready = all.fits.get(query.service)?.ready.get(zone)?;
    let n = if query.tried.is_empty() {
        INITIAL_CANDIDATES
    } else {
        EXTENDED_CANDIDATES
    };
    let mut best = cheapest(all, now_ms, query, ready.draw(n, rng))?;
    if best.0 >= AVOID_COST || is_too_slow(all, now_ms, best.1) {
        let more = ready.draw(EXTENDED_CANDIDATES, rng);
        let more = more.filter(|&at| !is_too_slow(all, now_ms, at));
        best = cheapest(all, now_ms, query, more)?;
    }
    Some(best.1)
}

fn cheapest(
    all: &Upstreams,
    now_ms: u64,
    query: &UpstreamQuery<'_>,
    drawn: impl Iterator<Item = usize>,
) -> Option<(f64, usize)> {
    drawn
        .map(|at| (cost(all, now_ms, query, at), at))
        .min_by(|a, b| a.0.total_cmp(&b.0))
}

/// Returns the expected time to finish, in run times, with penalties for failures,
/// earlier attempts and probation.
fn cost(all: &Upstreams, now_ms: u64, query: &UpstreamQuery<'_>, at: usize) -> f64 {
    let up = &all.list[at];
    let slots = f64::from(up.contribution.allowed + up.contribution.foreign).max(1.0);
    let load = f64::from(up.in_flight() + up.contribution.foreign) / slots;
    let failures = 1.0 + 8.0 * up.record.failure_weight(now_ms);
    let mut cost = slowness(up, now_ms) * (1.0 + load) * failures;
    if query.tried.iter().any(|t| t.upstream == at) {
        cost += AVOID_COST * AVOID_COST;
    } else if query.tried.iter().any(|t| is_same_rack(all, t, up)) {
        cost += AVOID_COST;
    }
    if up.record.is_on_probation() && !query.idempotent {
        cost += AVOID_COST;
    }
    cost
}

/// Returns how many times longer than usual the upstream runs, as far as seen recently.
/// The value expires because only its own runs can show that an upstream is fast again:
/// otherwise one that was slow for a moment would get nothing for as long as others
/// have free slots.
fn slowness(up: &Upstream, now_ms: u64) -> f64 {
    if up.last_dispatch_ms + SLOW_PROBE_INTERVAL_MS <= now_ms {
        return 1.0;
    }
    up.limit.ratio().max(1.0)
}

fn is_same_rack(all: &Upstreams, tried: &Target, up: &Upstream) -> bool {
    let other = &all.list[tried.upstream];
    up.rack.is_some() && other.rack == up.rack && other.zone == up.zone
}

fn is_too_slow(all: &Upstreams, now_ms: u64, at: usize) -> bool {
    let up = &all.list[at];
    let Some((pool, zone)) = up.contribution.group else {
        return true;
    };
    let pool = &all.pools[pool];
    let others: u32 = pool.groups[zone].in_flight.iter().sum();
    up.limit.ratio() >= SLOWER_THAN_POOL_RATIO * pool.slowness.max(1.0)
        && others > up.in_flight()
        && up.last_dispatch_ms + SLOW_PROBE_INTERVAL_MS > now_ms
}
