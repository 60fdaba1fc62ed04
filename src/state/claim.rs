use serde::{Deserialize, Serialize};

use crate::load::RequestId;
use crate::model::EntryName;

use super::{Fence, Fingerprint, Trail};

/// A key that was claimed and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What was asked for.
    pub fingerprint: Fingerprint,
    /// The present attempt.
    pub fence: Fence,
    /// Where it stands.
    pub phase: ClaimPhase,
    /// What happened, for `explain`.
    pub trail: Trail,
}

/// Where a claim stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimPhase {
    /// An entry instance runs it.
    InFlight {
        /// Who.
        entry: EntryName,
        /// Its start.
        incarnation: u64,
        /// The request inside it.
        request: RequestId,
        /// Since when, in milliseconds of Unix time.
        since_unix_ms: u64,
    },
    /// It ran once.
    Answered {
        /// When, on the state's clock.
        at_unix_ms: u64,
        /// HTTP status.
        status: u16,
        /// The whole body.
        body: Vec<u8>,
    },
    /// It may or may not have run.
    Unknown {
        /// Since when, on the state's clock.
        at_unix_ms: u64,
    },
}

impl Claim {
    /// When it ended on the state's clock, none while in flight.
    pub(super) fn ended_ms(&self) -> Option<u64> {
        match self.phase {
            ClaimPhase::InFlight { .. } => None,
            ClaimPhase::Answered { at_unix_ms, .. } | ClaimPhase::Unknown { at_unix_ms } => {
                Some(at_unix_ms)
            }
        }
    }

    /// Bytes of the stored answer.
    pub(super) fn answer_bytes(&self) -> u64 {
        match &self.phase {
            ClaimPhase::Answered { body, .. } => body.len() as u64,
            ClaimPhase::InFlight { .. } | ClaimPhase::Unknown { .. } => 0,
        }
    }
}
