//! How many connections an instance may have, within the files that it may open.
//!
//! Links, callers and calls to workers share one table of descriptors. With a bound for
//! each that does not know of the others their sum is more than the table holds, and a
//! crowd of callers leaves no descriptor for the links without which nobody leads.

/// Descriptors for all else: listeners, the log and snapshots, the runtime, calls to the
/// keeper and the advisor, and what the system sets aside.
const RESERVED_FILES: usize = 320;
/// One connection in so many is for links, and at a control instance for callers.
const SMALL_SHARE: usize = 8;
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

/// Connections at once, by what they are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// Links to and from other instances.
    pub links: usize,
    /// Connections of callers, or of workers and operators that call here.
    pub callers: usize,
    /// Connections to workers.
    pub workers: usize,
}

impl ConnectionBudget {
    /// For a control instance: most for calls to workers, of which one a worker is held
    /// open all the time.
    pub fn control(grant: Grant) -> Self {
        let files = grant.usable_files();
        let part = (files / SMALL_SHARE).max(1);
        Self {
            links: part,
            callers: grant.callers(part),
            workers: files.saturating_sub(2 * part).max(1),
        }
    }

    /// For an entry instance, which calls no workers.
    pub fn entry(grant: Grant) -> Self {
        let files = grant.usable_files();
        let links = (files / SMALL_SHARE).max(1);
        Self {
            links,
            callers: grant.callers(files.saturating_sub(links).max(1)),
            workers: 0,
        }
    }
}

impl Grant {
    fn usable_files(self) -> usize {
        self.open_files.saturating_sub(RESERVED_FILES)
    }

    /// So many callers, or as many as fit into half of the memory.
    fn callers(self, wanted: usize) -> usize {
        let fit = self.memory_bytes.map(|bytes| bytes / 2 / CALLER_BYTES);
        fit.map_or(wanted, |fit| wanted.min(fit).max(1))
    }
}
