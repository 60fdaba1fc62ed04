//! How several entry instances share the slots of one upstream.
//!
//! Pattern of load: every entry instance dispatches to every upstream of its
//! zone, and hears of the others' requests late. Without shares each would count
//! all free slots as its own: the upstream answers `busy` to most of them, and
//! an entry instance which refills each slot the moment its own request ends
//! keeps the others out for good.
//!
//! An entry instance may hold what the others have left as far as it knows, and
//! always its even part among those with requests there. When both claim the
//! same slots the upstream's `busy` decides: nothing ran, the request returns to
//! its place in the queue, and the refused instance announces one request more
//! than it has there (see `Dispatcher::in_flight`), so the holder leaves the next
//! slot to it. Shares become even after about as many exchanges as there are
//! slots. When views of the membership disagree, a peer that is wrongly thought
//! gone costs `busy` refusals, and one that is wrongly thought alive costs the
//! slots it last reported, until `PEER_STALE_MS` has passed.

/// Age at which a peer's load no longer counts: three exchanges of one second.
pub(super) const PEER_STALE_MS: u64 = 3_000;

/// Age at which the `running` of a report no longer counts. Older, it describes
/// requests that have ended.
pub(super) const USAGE_STALE_MS: u64 = 2_000;

/// How long a `busy` counts as a wish for one more slot.
pub(super) const WISH_MS: u64 = 1_000;

/// What others are known to hold of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Foreign {
    /// Requests of other entry instances.
    pub requests: u32,
    /// Entry instances that have any there.
    pub entries: u32,
}

/// Slots of `slots` that this entry instance may hold.
pub(super) fn allowed(slots: u32, foreign: Foreign) -> u32 {
    let even = slots / (foreign.entries + 1);
    slots.saturating_sub(foreign.requests).max(even)
}
