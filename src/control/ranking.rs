//! Which job comes first when a pool has room for few.
//!
//! Answers demand that rises to several times a pool's room for some seconds. First
//! come, first served makes every job late then: each waits behind all before it,
//! and the room goes to jobs that are worth little by the time they end. Here a job
//! that can still be on time goes before one that cannot, and among those that can
//! the one with the least work left goes first, as it frees its room soonest; so
//! the jobs that lose are few and large instead of all.

use std::cmp::Ordering;

use super::{OrderPolicy, Queue};
use crate::jobs::Job;

/// The place of a job in the order; the smallest comes first.
#[derive(Clone, Copy, Debug)]
pub struct Rank {
    class: Class,
    /// Within the class.
    key: f64,
}

/// Which jobs a job competes with; the smallest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// The queue's priority.
    priority: u32,
    chance: Chance,
}

/// What a job can still be worth to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Chance {
    /// It lasts, and earns at any time.
    Lasting,
    /// It can be on time.
    OnTime,
    /// It will be late.
    Late,
    /// It is worth nothing to its caller any more.
    Hopeless,
}

/// What a job has left to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Remaining {
    /// Its longest chain of estimated run times, done or not.
    pub chain_ms: u64,
    /// What is left of that.
    pub left_ms: u64,
    /// The core-milliseconds that are left.
    pub work: f64,
}

/// Where a job with this much left to do stands, and when time alone changes that, if it
/// ever does.
pub fn standing(
    now_unix_ms: u64,
    job: &Job,
    queue: Option<&Queue>,
    due_unix_ms: u64,
    remaining: &Remaining,
    policy: &OrderPolicy,
) -> (Rank, Option<u64>) {
    if job.spec.lasts() {
        let class = Class {
            priority: 0,
            chance: Chance::Lasting,
        };
        let key = job.accepted_unix_ms as f64;
        return (Rank { class, key }, None);
    }
    let (chance, until_unix_ms) = match policy.by_class {
        true => chance(now_unix_ms, queue, due_unix_ms, remaining),
        false => (Chance::OnTime, None),
    };
    let key = match policy.least_work {
        true if job.placements > 0 => remaining.work * policy.begun_part,
        true => remaining.work,
        false => due_unix_ms as f64,
    };
    let class = Class {
        priority: queue.map_or(u32::MAX, |q| q.priority),
        chance,
    };
    (Rank { class, key }, until_unix_ms)
}

/// What a job can still be worth, and the first moment at which it is less.
fn chance(
    now_unix_ms: u64,
    queue: Option<&Queue>,
    due_unix_ms: u64,
    remaining: &Remaining,
) -> (Chance, Option<u64>) {
    let Remaining {
        chain_ms, left_ms, ..
    } = *remaining;
    let objective_ms = queue.map_or(chain_ms as f64, |q| q.objective_ms(chain_ms));
    let worthless_ms = queue.map_or(f64::INFINITY, |q| q.worthless_ms(chain_ms));
    let passed_ms = now_unix_ms.saturating_sub(due_unix_ms) as f64;
    let ends_ms = passed_ms + left_ms as f64;
    let after = |limit_ms: f64| {
        let spare_ms = (limit_ms - left_ms as f64).max(0.0);
        (spare_ms.is_finite()).then(|| due_unix_ms + spare_ms as u64 + 1)
    };
    if ends_ms <= objective_ms {
        (Chance::OnTime, after(objective_ms))
    } else if ends_ms <= worthless_ms {
        (Chance::Late, after(worthless_ms))
    } else {
        (Chance::Hopeless, None)
    }
}

impl Rank {
    /// Whether two jobs stand in the same class, so that their order among each other is
    /// a matter of shares.
    pub fn shares_with(&self, other: &Self) -> bool {
        self.class == other.class && self.class.chance != Chance::Lasting
    }

    /// Which jobs it competes with.
    pub(super) fn class(&self) -> Class {
        self.class
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_class = self.class.cmp(&other.class);
        by_class.then(self.key.total_cmp(&other.key))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Rank {}
