//! Which attempts are tried again, and how many of them.
//!
//! Pattern of load: a rack or availability zone goes, and all its requests fail
//! at the same moment. Without a budget each of them is tried up to three times
//! on what is left, which is then overloaded, fails too, and is tried again: the
//! retry storm that turns the loss of a third into the loss of all.
//!
//! A retry costs a token of its pool and one of its caller. Successes earn
//! tokens at the stated ratio, so retries are at most that share of the load,
//! beside a small stock for pools that do little. Attempts that the upstream
//! refused because it was full, leaves or has changed its pool cost no token:
//! the upstream ran nothing, is left alone for a moment, and the request only
//! returns to its place. A request that may have run and is not repeatable is
//! never tried again, whatever the budget.
//!
//! Thresholds: a ratio of 1/10 lets a pool that has lost one of ten workers
//! retry all it loses there; the stock is half of the pool's slots, at least 10:
//! what is in flight on the worst rack of a small pool is tried again once, at
//! the moment it goes, and then only at the ratio; 3 attempts, since a request that
//! failed on two upstreams of different racks is more likely bad itself.

use std::collections::BTreeMap;

/// Tokens that one success earns.
const RATIO: f64 = 0.1;

/// Most tokens a pool holds, and what it starts with: at least this many, and a
/// part of its slots.
const POOL_STOCK_LEAST: f64 = 10.0;

/// Tokens a pool holds for each of its slots.
const POOL_STOCK_PER_SLOT: f64 = 0.5;

/// Most tokens a caller can hold, and what it starts with: a quarter of what a
/// pool of ten workers holds, so that a caller whose own requests are at fault
/// leaves the others theirs.
const CALLER_STOCK: f64 = 10.0;

/// Tokens a second that come back without successes, so that a caller whose
/// stock is spent can be helped again later.
const REFILL_PER_S: f64 = 0.2;

/// Attempts of one request that may fail.
pub(super) const ATTEMPTS_MAX: u32 = 3;

/// Callers whose budget is remembered; beyond it the fullest are forgotten, as
/// a forgotten caller starts with a full stock.
const CALLERS_MAX: usize = 10_000;

/// Why a request was tried again. Each reason has its own counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub enum RetryReason {
    /// The connection could not be made.
    #[display("connect-failed")]
    ConnectFailed,
    /// The upstream had no free slot.
    #[display("busy")]
    Busy,
    /// The upstream drains or leaves.
    #[display("leaving")]
    Leaving,
    /// The upstream is in another pool or under another epoch.
    #[display("stale-epoch")]
    StaleEpoch,
    /// No whole answer came, and the request may run twice.
    #[display("lost")]
    Lost,
    /// The answer was a failure, and the request may run twice.
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

    /// Whether the upstream said in good order that it would not run it.
    pub(super) fn is_free(self) -> bool {
        matches!(self, Self::Busy | Self::Leaving | Self::StaleEpoch)
    }
}

/// A bucket of retry tokens.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    stock: f64,
    at_ms: u64,
}

impl Bucket {
    fn full(stock: f64, now_ms: u64) -> Self {
        Self {
            tokens: stock,
            stock,
            at_ms: now_ms,
        }
    }

    fn earn(&mut self, now_ms: u64, tokens: f64) {
        let past_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.at_ms = self.at_ms.max(now_ms);
        self.tokens = (self.tokens + tokens + past_s * REFILL_PER_S).min(self.stock);
    }
}

/// Budgets of retries, by pool and by caller.
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

    /// Fits the stock of a pool to its slots.
    pub(super) fn set_slots(&mut self, now_ms: u64, pool: usize, slots: u32) {
        let stock = (f64::from(slots) * POOL_STOCK_PER_SLOT).max(POOL_STOCK_LEAST);
        let bucket = self.pool(now_ms, pool);
        // More slots come with their tokens; fewer leave what was earned.
        bucket.tokens += (stock - bucket.stock).max(0.0);
        bucket.stock = bucket.stock.max(stock);
    }

    /// A request of the pool and caller succeeded.
    pub(super) fn earn(&mut self, now_ms: u64, pool: usize, caller: &str) {
        self.pool(now_ms, pool).earn(now_ms, RATIO);
        // A caller that never retried has a full stock and needs no entry.
        if let Some(bucket) = self.callers.get_mut(caller) {
            bucket.earn(now_ms, RATIO);
            if bucket.tokens >= bucket.stock {
                self.callers.remove(caller);
            }
        }
    }

    /// Takes a token of the pool and one of the caller, or none at all.
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

    /// Time until the pool has a token again without successes.
    pub(super) fn wait_ms(&mut self, now_ms: u64, pool: usize) -> f64 {
        let missing = (1.0 - self.pool(now_ms, pool).tokens).max(0.0);
        missing / REFILL_PER_S * 1_000.0
    }

    fn pool(&mut self, now_ms: u64, pool: usize) -> &mut Bucket {
        self.pools
            .entry(pool)
            .or_insert_with(|| Bucket::full(POOL_STOCK_LEAST, now_ms))
    }

    fn caller(&mut self, now_ms: u64, caller: &str) -> &mut Bucket {
        if self.callers.len() >= CALLERS_MAX {
            self.callers.retain(|_, b| {
                b.earn(now_ms, 0.0);
                b.tokens < 1.0
            });
        }
        self.callers
            .entry(caller.to_owned())
            .or_insert_with(|| Bucket::full(CALLER_STOCK, now_ms))
    }
}
