use serde::{Deserialize, Serialize};

use super::PeerClass;

/// The first frame on a link. Its MAC authenticates the peer that opened the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Introduction {
    /// Class of the peer that opened the link.
    pub class: PeerClass,
}

/// The answer to an [`Introduction`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Verdict {
    /// The link is kept and may carry frames.
    Admitted,
    /// The link is refused because all connection slots are taken.
    Full,
}
