//! Sharing of the slots of one upstream among entry instances.
//!
//! Load pattern: every entry instance dispatches to every upstream of its zone,
//! and learns of the requests of the others with a delay. Without shares each
//! would count all free slots as its own. The upstream would answer `busy` to
//! most requests, and an entry instance that refills each slot as soon as its
//! own request ends would lock the others out.
//!
//! An entry instance may hold the slots that the others leave free, as far as
//! it knows, and always an even share among the instances with requests there.
//! When two claim the same slots, the upstream's `busy` decides: nothing ran,
//! and the request returns to its position in the queue. The refused instance
//! announces one request more than it has there (see `Dispatcher::in_flight`),
//! so that the holder leaves the next slot to it. Shares become even after
//! about as many exchanges as there are slots.
//!
//! When the views of the membership disagree, a peer wrongly taken for gone
//! costs `busy` replies. A peer wrongly taken for alive costs the slots it last
//! reported, until `PEER_STALE_MS` has passed.

/// Age, in milliseconds, at which a peer's load no longer counts: three exchanges of
/// one second.
pub(super) const PEER_STALE_MS: u64 = 3_000;

/// Age, in milliseconds, at which the `running` count of a report no longer counts. An
/// older one describes requests that have ended.
pub(super) const USAGE_STALE_MS: u64 = 2_000;

/// Time, in milliseconds, for which a `busy` reply counts as a claim to one more slot.
pub(super) const SLOT_CLAIM_MS: u64 = 1_000;

/// Usage of an upstream by other entry instances, as far as known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Foreign {
    /// Requests of other entry instances.
    pub requests: u32,
    /// Entry instances with requests there.
    pub entries: u32,
}

/// Returns how many of `slots` this entry instance may hold.
pub(super) fn slot_share(slots: u32, foreign: Foreign) -> u32 {
    let even = slots / (foreign.entries + 1);
    slots.saturating_sub(foreign.requests).max(even)
}
