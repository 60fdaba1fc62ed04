use std::net::SocketAddr;

use crate::model::{EntryName, ZoneName};

/// An entry instance of the system, as every settings file lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub entry: EntryName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes links of peers.
    pub peers: SocketAddr,
    /// Whether it votes on the replicated state.
    pub voter: bool,
}
