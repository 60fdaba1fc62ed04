/// Limits on the connections other than incoming links of authenticated peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkLimits {
    /// Maximum number of incoming connections that are not authenticated yet.
    pub unproved: usize,
    /// Maximum number of links that this instance opens.
    pub outgoing: usize,
}

impl LinkLimits {
    /// Returns limits that suit a fixed list of `peers` peers.
    pub fn for_peers(peers: usize) -> Self {
        Self {
            unproved: peers.max(MIN_UNAUTHENTICATED),
            outgoing: peers,
        }
    }
}

/// Lower bound on `unproved` for a short list of peers, each of which may connect several
/// times.
const MIN_UNAUTHENTICATED: usize = 64;
