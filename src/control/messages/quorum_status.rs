use crate::control::{Borne, Location, Tolerance};
use crate::model::EntryName;

/// Which instances vote, where they are, and which losses they survive, as one instance
/// knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuorumStatus {
    /// The leader, if one is known.
    pub leader: Option<EntryName>,
    /// The term of the log.
    pub term: u64,
    /// The voters, ordered by name.
    pub voters: Vec<VoterStatus>,
    /// The losses that are to be borne.
    pub tolerance: Tolerance,
    /// Which of them the voters survive.
    pub borne: Borne,
}

/// A voter as another instance knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterStatus {
    /// Its name.
    pub name: EntryName,
    /// Where it runs; `None` if it has not said so.
    pub location: Option<Location>,
    /// Whether it was heard lately.
    pub present: bool,
}
