/// How many links there may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLimits {
    /// Incoming connections that have not proved who they are.
    pub unproved: usize,
    /// Incoming links of proved peers.
    pub incoming: usize,
    /// Links opened from here.
    pub outgoing: usize,
}

impl LinkLimits {
    /// Limits that fit a fixed list of peers.
    pub fn for_peers(peers: usize) -> Self {
        Self {
            unproved: peers.max(UNPROVED_LEAST),
            incoming: peers,
            outgoing: peers,
        }
    }

    /// The limits whose sum is this many connections.
    pub fn within(connections: usize) -> Self {
        let part = (connections / SMALL_SHARE).max(1);
        Self {
            unproved: part,
            incoming: connections.saturating_sub(2 * part).max(1),
            outgoing: part,
        }
    }
}

/// Unproved connections beside a short list of peers, which may connect several times.
const UNPROVED_LEAST: usize = 64;
/// One connection in so many may be one that proves itself at present, and one in so many is
/// opened from here: only replicas are called, clients call.
const SMALL_SHARE: usize = 8;
