/// How many connections there may be beside the links of proved peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLimits {
    /// Incoming connections that have not proved who they are.
    pub unproved: usize,
    /// Links opened from here.
    pub outgoing: usize,
}

impl LinkLimits {
    /// Limits that fit a fixed list of peers.
    pub fn for_peers(peers: usize) -> Self {
        Self {
            unproved: peers.max(UNPROVED_LEAST),
            outgoing: peers,
        }
    }
}

/// Unproved connections beside a short list of peers, which may connect several times.
const UNPROVED_LEAST: usize = 64;
