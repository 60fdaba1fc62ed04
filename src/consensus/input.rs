use crate::model::EntryName;

use super::{Message, VoterChange};

/// An event that the driver passes to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Timer tick. Required at least a few times per heartbeat interval.
    Tick,
    /// A message arrived from a peer.
    Message {
        /// The sending peer.
        from: EntryName,
        /// The message.
        message: Message,
    },
    /// Proposes a command of this process for the log. A replica that is not the
    /// leader forwards it. The outcome is not reported: the proposer watches what is
    /// applied and proposes again after a timeout, and the state detects duplicates.
    /// An empty command or one above [`super::COMMAND_LIMIT_BYTES`] is dropped.
    Propose {
        /// The encoded command.
        command: Vec<u8>,
    },
    /// Requests a change of the voters on behalf of an operator. The outcome is not
    /// reported: the change is done when [`super::Status::voters`] shows it.
    ChangeVoters {
        /// The requested change.
        change: VoterChange,
    },
    /// Sets the next change of the voters that the leader's own planner wants, in place of the
    /// one that it wanted before. Has no effect on other replicas than the leader.
    PlanVoters {
        /// The change; `None` if none is wanted any more.
        change: Option<VoterChange>,
    },
    /// Announces another entry instance, which becomes a peer.
    AddPeer {
        /// Name of the peer.
        name: EntryName,
    },
    /// Gives up leadership before a planned stop. Has no effect on other replicas than
    /// the leader.
    Resign,
    /// Hands leadership to a certain voter. Has no effect on other replicas than the leader.
    Transfer {
        /// The successor.
        to: EntryName,
    },
    /// The write with this token is synced to disk.
    Persisted {
        /// Token of the [`super::Action::Persist`].
        token: u64,
    },
    /// The snapshot requested by [`super::Action::TakeSnapshot`], covering all entries up
    /// to and including `index`.
    SnapshotTaken {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// The encoded state.
        data: Vec<u8>,
    },
}
