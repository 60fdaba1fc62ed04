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
        let unproved = (connections / UNPROVED_SHARE).max(1);
        let proved = (connections.saturating_sub(unproved) / 2).max(1);
        Self {
            unproved,
            incoming: proved,
            outgoing: proved,
        }
    }
}

/// Unproved connections beside a short list of peers, which may connect several times.
const UNPROVED_LEAST: usize = 64;
/// One connection in so many may be one that proves itself at present.
const UNPROVED_SHARE: usize = 8;
