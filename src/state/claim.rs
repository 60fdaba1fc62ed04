use serde::{Deserialize, Serialize};

use crate::load::RequestId;
use crate::model::EntryName;

use super::{Fence, Fingerprint, Trail};

/// A request key that was claimed, with the state of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Fence of the current attempt.
    pub fence: Fence,
    /// Whether it is in flight or how it ended.
    pub phase: ClaimPhase,
    /// Its history, for the `explain` command.
    pub trail: Trail,
}

/// Whether a claim is in flight or how it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimPhase {
    /// An entry instance is running the request.
    InFlight {
        /// The entry instance.
        entry: EntryName,
        /// The entry instance's incarnation.
        incarnation: u64,
        /// The request's id within the entry instance.
        request: RequestId,
        /// When the claim was granted, in milliseconds of Unix time.
        since_unix_ms: u64,
    },
    /// The request ran once.
    Answered {
        /// When the answer was stored, in milliseconds on the state's clock.
        at_unix_ms: u64,
        /// HTTP status of the answer.
        status: u16,
        /// The whole body of the answer.
        body: Vec<u8>,
    },
    /// The request may or may not have run.
    Unknown {
        /// When it became unknown, in milliseconds on the state's clock.
        at_unix_ms: u64,
    },
}

impl Claim {
    /// When it ended, in milliseconds on the state's clock; none while in flight.
    pub(super) fn ended_ms(&self) -> Option<u64> {
        match self.phase {
            ClaimPhase::InFlight { .. } => None,
            ClaimPhase::Answered { at_unix_ms, .. } | ClaimPhase::Unknown { at_unix_ms } => {
                Some(at_unix_ms)
            }
        }
    }

    /// Size of the stored answer, in bytes.
    pub(super) fn answer_bytes(&self) -> u64 {
        match &self.phase {
            ClaimPhase::Answered { body, .. } => body.len() as u64,
            ClaimPhase::InFlight { .. } | ClaimPhase::Unknown { .. } => 0,
        }
    }
}
