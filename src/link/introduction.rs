use serde::{Deserialize, Serialize};

use super::PeerClass;

/// The first frame on a link, which proves who opened it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Introduction {
    /// What the opener takes part in.
    pub class: PeerClass,
}

/// The answer to an [`Introduction`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Verdict {
    /// The link is open.
    Admitted,
    /// There is no room.
    Full,
}
