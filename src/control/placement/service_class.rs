//! What room is worth to the work that asks for it.
//!
//! One type answers this for all decisions about scarce room: the order of the jobs in a pool,
//! the machines that each pool gets when all of them together lack some, and the runs that may
//! be stopped for others. A class joins the priority that the operator gave to the queue, the
//! share of the caller's workspace, and whether the result can still be of use.

use crate::control::{OrderPolicy, Queue};

/// Class of a job by what room is worth to it; the smallest comes first in a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceClass {
    /// The queue's priority; 0 is the highest.
    pub priority: u32,
    /// Whether the job is beyond its workspace's share.
    pub beyond_share: bool,
    /// Whether its result can still be of use.
    pub timeliness: Timeliness,
}

/// Whether a job can still end in time to be of use to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The job runs until it is cancelled, and is of use at any time.
    Lasting,
    /// It can still end within its objective.
    OnTime,
    /// It will end after its objective, but is still of use.
    Late,
    /// It will end too late to be of use.
    Worthless,
}

/// The work that remains of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Remaining {
    /// Run time of its longest chain of dependent steps, including those done.
    pub chain_ms: u64,
    /// Run time of the longest chain from the step that waits.
    pub left_ms: u64,
    /// Core-milliseconds that remain.
    pub work: f64,
    /// Whether a step of the job runs until the job is cancelled.
    pub lasts: bool,
    /// Whether the job is beyond its workspace's share.
    pub beyond_share: bool,
}

impl ServiceClass {
    /// Returns the class of a job, and the time in milliseconds since 1970 at which it changes
    /// though nothing of the job does, if it ever does.
    pub fn of(
        now_unix_ms: u64,
        queue: Option<&Queue>,
        due_unix_ms: u64,
        remaining: &Remaining,
        policy: &OrderPolicy,
    ) -> (Self, Option<u64>) {
        if remaining.lasts {
            let lasting = Self {
                priority: 0,
                beyond_share: false,
                timeliness: Timeliness::Lasting,
            };
            return (lasting, None);
        }
        let (timeliness, until_unix_ms) = match policy.by_class {
            true => timeliness(now_unix_ms, queue, due_unix_ms, remaining),
            false => (Timeliness::OnTime, None),
        };
        let class = Self {
            priority: queue.map_or(u32::MAX, |q| q.priority),
            beyond_share: policy.by_share && remaining.beyond_share,
            timeliness,
        };
        (class, until_unix_ms)
    }

    /// Returns the class of jobs that are on time and within their workspaces' shares.
    pub fn entitled(priority: u32) -> Self {
        Self {
            priority,
            beyond_share: false,
            timeliness: Timeliness::OnTime,
        }
    }

    /// Returns whether the job is within its workspace's share and can still be on time, or
    /// lasts. Only such work takes room from other work.
    pub fn is_entitled(&self) -> bool {
        match self.timeliness {
            Timeliness::Lasting => true,
            Timeliness::OnTime => !self.beyond_share,
            Timeliness::Late | Timeliness::Worthless => false,
        }
    }

    /// Returns whether the job runs until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.timeliness == Timeliness::Lasting
    }

    /// Returns whether entitled work of a priority goes before this work wherever both want the
    /// same room.
    pub fn yields_to(&self, priority: u32) -> bool {
        !self.is_entitled() || (self.priority > priority && !self.is_lasting())
    }
}

/// Returns whether a job can be on time, and when that next gets worse.
fn timeliness(
    now_unix_ms: u64,
    queue: Option<&Queue>,
    due_unix_ms: u64,
    remaining: &Remaining,
) -> (Timeliness, Option<u64>) {
    let Remaining {
        chain_ms, left_ms, ..
    } = *remaining;
    let objective_ms = queue.map_or(chain_ms as f64, |q| q.objective_ms(chain_ms));
    let useless_after_ms = queue.map_or(f64::INFINITY, |q| q.useless_after_ms(chain_ms));
    let passed_ms = now_unix_ms.saturating_sub(due_unix_ms) as f64;
    let ends_ms = passed_ms + left_ms as f64;
    let after = |limit_ms: f64| {
        let spare_ms = (limit_ms - left_ms as f64).max(0.0);
        (spare_ms.is_finite()).then(|| due_unix_ms + spare_ms as u64 + 1)
    };
    if ends_ms <= objective_ms {
        (Timeliness::OnTime, after(objective_ms))
    } else if ends_ms <= useless_after_ms {
        (Timeliness::Late, after(useless_after_ms))
    } else {
        (Timeliness::Worthless, None)
    }
}
