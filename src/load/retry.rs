//! Retry budgets.
//!
//! Load pattern: a rack or availability zone fails, and all its requests fail
//! at the same moment. Without a budget each is tried up to three times on the
//! remaining upstreams, which are then overloaded and fail too. This retry
//! storm turns the loss of a third of the capacity into the loss of all.
//!
//! A retry costs one token of its pool and one of its caller. Successes earn
//! tokens at a fixed ratio, so retries stay at most that share of the load,
//! plus a small stock for pools with little traffic. Attempts that the upstream
//! refused because it was full, is leaving or has changed its pool cost no
//! token: the upstream ran nothing and gets a short pause, and the request
//! returns to its position. A request that may have run and is not idempotent
//! is never retried, whatever the budget.
//!
//! A ratio of 1/10 lets a pool that has lost one of ten workers retry all that
//! it lost there. The stock is half of the slots of the pool and at least 10,
//! so the requests in flight on the worst rack of a small pool are retried once
//! when it fails, and after that only at the ratio. A request has 3 attempts,
//! since one that failed on two upstreams in different racks is more likely at
//! fault itself.

use std::collections::BTreeMap;

/// Tokens earned by one success.
const TOKENS_PER_SUCCESS: f64 = 0.1;

/// Smallest capacity of the token bucket of a pool; buckets start full.
const MIN_POOL_TOKENS: f64 = 10.0;

/// Capacity of the token bucket of a pool for each of its slots.
const POOL_TOKENS_PER_SLOT: f64 = 0.5;

/// Capacity of the token bucket of a caller, which starts full: a quarter of that of a
/// pool of ten workers, so that a caller whose own requests are at fault leaves tokens
/// for the others.
const CALLER_TOKENS: f64 = 10.0;

/// Tokens earned per second without successes, so that a caller with an empty bucket
/// can retry again later.
const REFILL_TOKENS_PER_S: f64 = 0.2;

/// Most failed attempts of one request.
pub(super) const ATTEMPTS_MAX: u32 = 3;

/// Most callers whose bucket is kept. Beyond it callers with at least one token are
/// evicted; an evicted caller starts again with a full bucket.
const MAX_CALLERS: usize = 10_000;

/// Why a request was retried. Each reason has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub enum RetryReason {
    /// The connection could not be established.
    #[display("connect-failed")]
    ConnectFailed,
    /// The upstream had no free slot.
    #[display("busy")]
    Busy,
    /// The upstream is draining or leaving.
    #[display("leaving")]
    Leaving,
    /// The upstream is in another pool or under another epoch.
    #[display("stale-epoch")]
    StaleEpoch,
    /// No complete answer came, and the request is idempotent.
    #[display("lost")]
    Lost,
    /// The answer was a failure, and the request is idempotent.
    #[display("failed")]
    Failed,
}

impl RetryReason {
    /// Every reason, in the order of the counters.
    pub const ALL: [Self; 6] = [
        Self::ConnectFailed,
        Self::Busy,
        Self::Leaving,
        Self::StaleEpoch,
        Self::Lost,
        Self::Failed,
    ];

    /// Returns whether the upstream refused the attempt without running it. Such a
    /// retry costs no token.
    pub(super) fn is_refused_unrun(self) -> bool {
        matches!(self, Self::Busy | Self::Leaving | Self::StaleEpoch)
    }
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    capacity: f64,
    updated_ms: u64,
}

impl Bucket {
    fn full(capacity: f64, now_ms: u64) -> Self {
        Self {
            tokens: capacity,
            capacity,
            updated_ms: now_ms,
        }
    }

    fn earn(&mut self, now_ms: u64, tokens: f64) {
        let past_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        self.updated_ms = self.updated_ms.max(now_ms);
        self.tokens = (self.tokens + tokens + past_s * REFILL_TOKENS_PER_S).min(self.capacity);
    }
}

/// Retry budgets by pool and by caller.
#[derive(Debug)]
pub(super) struct RetryBudget {
    pools: BTreeMap<usize, Bucket>,
    callers: BTreeMap<String, Bucket>,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        Self {
            pools: BTreeMap::new(),
            callers: BTreeMap::new(),
        }
    }

    /// Adapts the capacity of the bucket of a pool to its slots.
    pub(super) fn set_slots(&mut self, now_ms: u64, pool: usize, slots: u32) {
        let capacity = (f64::from(slots) * POOL_TOKENS_PER_SLOT).max(MIN_POOL_TOKENS);
        let bucket = self.pool(now_ms, pool);
        // More slots bring their tokens with them; fewer do not take earned tokens
        // away.
        bucket.tokens += (capacity - bucket.capacity).max(0.0);
        bucket.capacity = bucket.capacity.max(capacity);
    }

    /// Records a success for the pool and the caller.
    pub(super) fn earn(&mut self, now_ms: u64, pool: usize, caller: &str) {
        self.pool(now_ms, pool).earn(now_ms, TOKENS_PER_SUCCESS);
        // A caller that never retried has a full bucket and needs no entry.
        if let Some(bucket) = self.callers.get_mut(caller) {
            bucket.earn(now_ms, TOKENS_PER_SUCCESS);
            if bucket.tokens >= bucket.capacity {
                self.callers.remove(caller);
            }
        }
    }

    /// Takes a token of the pool and one of the caller, or neither. Returns whether it
    /// did.
    pub(super) fn spend(&mut self, now_ms: u64, pool: usize, caller: &str) -> bool {
        let of_pool = self.pool(now_ms, pool);
        of_pool.earn(now_ms, 0.0);
        if of_pool.tokens < 1.0 {
            return false;
        }
        let of_caller = self.caller(now_ms, caller);
        of_caller.earn(now_ms, 0.0);
        if of_caller.tokens < 1.0 {
            return false;
        }
        of_caller.tokens -= 1.0;
        self.pool(now_ms, pool).tokens -= 1.0;
        true
    }

    /// Returns the time until the pool has a token again without successes.
    pub(super) fn wait_ms(&mut self, now_ms: u64, pool: usize) -> f64 {
        let missing = (1.0 - self.pool(now_ms, pool).tokens).max(0.0);
        missing / REFILL_TOKENS_PER_S * 1_000.0
    }

    fn pool(&mut self, now_ms: u64, pool: usize) -> &mut Bucket {
        self.pools
            .entry(pool)
            .or_insert_with(|| Bucket::full(MIN_POOL_TOKENS, now_ms))
    }

    fn caller(&mut self, now_ms: u64, caller: &str) -> &mut Bucket {
        if self.callers.len() >= MAX_CALLERS {
            self.callers.retain(|_, b| {
                b.earn(now_ms, 0.0);
                b.tokens < 1.0
            });
        }
        self.callers
            .entry(caller.to_owned())
            .or_insert_with(|| Bucket::full(CALLER_TOKENS, now_ms))
    }
}
