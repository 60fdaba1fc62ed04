//! How many connections an instance may have, within the files that it may open.
//!
//! Links, callers and calls to workers share one table of descriptors. With a bound for
//! each that does not know of the others their sum is more than the table holds, and a
//! crowd of callers leaves no descriptor for the links without which nobody leads. With a
//! fixed share for each, one kind is refused while the places of another stand empty.

use std::sync::Arc;

use tokio::sync::Semaphore;

use crate::link::LinkLimits;
use crate::places::Places;

/// Descriptors for all else: listeners, the log and snapshots, the runtime, calls to the
/// keeper and the advisor, and what the system sets aside.
const RESERVED_FILES: usize = 320;
/// One connection in so many is kept for a kind that needs few.
const SMALL_SHARE: usize = 16;
/// What a caller's connection takes at most: its head's buffer and its task.
const CALLER_BYTES: usize = 24 * 1024;

/// What an instance is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Files that it may have open at once.
    pub open_files: usize,
    /// Memory, if it is bounded.
    pub memory_bytes: Option<usize>,
}

/// Connections at once, by what they are kept for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// Incoming connections that have not proved whose they are.
    pub unproved: usize,
    /// Links opened from here.
    pub outgoing: usize,
    /// Incoming links.
    pub incoming: usize,
    /// Connections of callers, or of workers and operators that call here.
    pub callers: usize,
    /// Connections to workers.
    pub workers: usize,
    /// Incoming links, callers and connections to workers beyond what is kept for them.
    pub shared: usize,
}

/// The places that a budget gives.
#[derive(Clone, Debug)]
pub struct BudgetedPlaces {
    /// Bounds beside incoming links.
    pub limits: LinkLimits,
    /// For incoming links.
    pub incoming: Places,
    /// For callers.
    pub callers: Places,
    /// For connections to workers.
    pub workers: Places,
}

impl ConnectionBudget {
    /// For a control instance: half is kept for calls to workers, of which one a worker is
    /// held open all the time.
    pub fn control(grant: Grant) -> Self {
        let files = grant.usable_files();
        let part = files / SMALL_SHARE;
        Self {
            unproved: part,
            outgoing: part,
            incoming: part,
            callers: grant.callers(part),
            workers: files / 2,
            shared: files / 2 - 4 * part,
        }
    }

    /// For an entry instance, which calls no workers.
    pub fn entry(grant: Grant) -> Self {
        let files = grant.usable_files();
        let part = files / SMALL_SHARE;
        Self {
            unproved: part,
            outgoing: part,
            incoming: part,
            callers: grant.callers(files - 3 * part),
            workers: 0,
            shared: 0,
        }
    }

    /// Its places.
    pub fn places(&self) -> BudgetedPlaces {
        let shared = Arc::new(Semaphore::new(self.shared));
        BudgetedPlaces {
            limits: LinkLimits {
                unproved: self.unproved,
                outgoing: self.outgoing,
            },
            incoming: Places::sharing(self.incoming, &shared),
            callers: Places::sharing(self.callers, &shared),
            workers: Places::sharing(self.workers, &shared),
        }
    }
}

impl Grant {
    fn usable_files(self) -> usize {
        let files = self.open_files.saturating_sub(RESERVED_FILES);
        // A process that may open fewer still gets some places of each kind.
        files.clamp(2 * SMALL_SHARE, Semaphore::MAX_PERMITS)
    }

    /// So many callers, or as many as fit into half of the memory.
    fn callers(self, wanted: usize) -> usize {
        let fit = self.memory_bytes.map(|bytes| bytes / 2 / CALLER_BYTES);
        fit.map_or(wanted, |fit| wanted.min(fit).max(1))
    }
}
