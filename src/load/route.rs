//! Which upstream of a zone takes a request.
//!
//! Pattern of load: load known late and from several entry instances at once.
//! Without chance all of them send to the upstream that looked idlest, which is
//! then the busiest: a herd. Two upstreams are drawn at random and the one that
//! should finish first takes the request, which spreads load almost as evenly as
//! full knowledge (power of two choices) and cannot herd.
//!
//! A request that failed goes to another rack first: a rack fails as a whole, so
//! its neighbour likely has the same fault. Upstreams on probation are given
//! repeatable requests before others. An upstream that runs `MUCH_SLOWER` times
//! longer than its pool gets one request a second while others are at work: the
//! next slot that is freed there answers sooner. It is compared with its pool
//! and not with the past, or a pool that is slow as a whole would stand still.

use rand_chacha::ChaCha8Rng;

use super::upstream::Upstream;
use super::upstreams::{Target, Upstreams};

/// Upstreams drawn at first.
const DRAW: usize = 2;

/// Upstreams drawn when none of the first is good.
const DRAW_MORE: usize = 12;

/// Times slower than its pool at which waiting for another is better.
const MUCH_SLOWER: f64 = 3.0;

/// Pause between requests to see whether a slow upstream has recovered.
const SLOW_PROBE_MS: u64 = 1_000;

/// Cost that rules an upstream out while any other is drawn.
const AVOID: f64 = 1e3;

/// What is looked for.
#[derive(Debug)]
pub(super) struct Want<'a> {
    pub service: usize,
    pub idempotent: bool,
    /// Where earlier attempts went.
    pub tried: &'a [Target],
}

/// The upstream of the zone that should finish first, of those drawn.
pub(super) fn choose(
    all: &Upstreams,
    now_ms: u64,
    want: &Want<'_>,
    zone: usize,
    rng: &mut ChaCha8Rng,
) -> Option<usize> {
    let ready = all.fits.get(want.service)?.ready.get(zone)?;
    let n = if want.tried.is_empty() {
        DRAW
    } else {
        DRAW_MORE
    };
    let mut best = cheapest(all, now_ms, want, ready.draw(n, rng))?;
    if best.0 >= AVOID || is_too_slow(all, now_ms, best.1) {
        let more = ready.draw(DRAW_MORE, rng);
        let more = more.filter(|&at| !is_too_slow(all, now_ms, at));
        best = cheapest(all, now_ms, want, more)?;
    }
    Some(best.1)
}

fn cheapest(
    all: &Upstreams,
    now_ms: u64,
    want: &Want<'_>,
    drawn: impl Iterator<Item = usize>,
) -> Option<(f64, usize)> {
    drawn
        .map(|at| (cost(all, now_ms, want, at), at))
        .min_by(|a, b| a.0.total_cmp(&b.0))
}

/// Expected time to finish, in run times, with what speaks against it.
fn cost(all: &Upstreams, now_ms: u64, want: &Want<'_>, at: usize) -> f64 {
    let up = &all.list[at];
    let slots = f64::from(up.counted.allowed + up.counted.foreign).max(1.0);
    let load = f64::from(up.in_flight() + up.counted.foreign) / slots;
    let failures = 1.0 + 8.0 * up.record.failure_weight(now_ms);
    let mut cost = slowness(up, now_ms) * (1.0 + load) * failures;
    if want.tried.iter().any(|t| t.upstream == at) {
        cost += AVOID * AVOID;
    } else if want.tried.iter().any(|t| is_same_rack(all, t, up)) {
        cost += AVOID;
    }
    if up.record.is_on_probation() && !want.idempotent {
        cost += AVOID;
    }
    cost
}

/// How many times longer than usual it runs, as far as this was seen of late. Without
/// the end to it an upstream that was slow for a moment would get nothing for as long as
/// others have room, since only its own runs show that it is fast again.
fn slowness(up: &Upstream, now_ms: u64) -> f64 {
    if up.last_dispatch_ms + SLOW_PROBE_MS <= now_ms {
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
    let Some((pool, zone)) = up.counted.group else {
        return true;
    };
    let pool = &all.pools[pool];
    let others: u32 = pool.groups[zone].in_flight.iter().sum();
    up.limit.ratio() >= MUCH_SLOWER * pool.slowness.max(1.0)
        && others > up.in_flight()
        && up.last_dispatch_ms + SLOW_PROBE_MS > now_ms
}
