use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model::{EntryName, RefusalReason, RequestKey, ServiceName, TeamName};

use super::{Fence, Fingerprint, Trail};

/// A patient job's id, chosen by the entry instance that took it in.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::From,
)]
#[serde(transparent)]
#[from(&str, String)]
pub struct JobId(Arc<str>);

impl JobId {
    /// The id's text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A patient job: accepted durably, finishes exactly once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Its id.
    pub id: JobId,
    /// The caller's key.
    pub key: RequestKey,
    /// What was asked for.
    pub fingerprint: Fingerprint,
    /// The service.
    pub service: ServiceName,
    /// Whose quota it counts against.
    pub team: TeamName,
    /// Who sent it.
    pub caller: String,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The request's body.
    pub body: Vec<u8>,
    /// When it was accepted, in milliseconds of Unix time.
    pub accepted_unix_ms: u64,
    /// The present attempt, or the next one while ready.
    pub fence: Fence,
    /// Where it stands.
    pub phase: JobPhase,
    /// Where the next attempt may go on.
    pub checkpoint: Option<Vec<u8>>,
    /// What happened, for `explain`.
    pub trail: Trail,
    /// Its place among the ready ones: first come, first served.
    pub(super) order: u64,
}

/// Where a patient job stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Waits for an entry instance to take it.
    Ready,
    /// An entry instance runs it.
    Assigned {
        /// Who.
        owner: EntryName,
        /// The owner's start.
        incarnation: u64,
        /// Since when, in milliseconds of Unix time.
        since_unix_ms: u64,
    },
    /// Ran once.
    Done {
        /// When, on the state's clock.
        at_unix_ms: u64,
        /// HTTP status.
        status: u16,
        /// The whole body.
        body: Vec<u8>,
    },
    /// May have run and is not run again.
    Unknown {
        /// Since when, on the state's clock.
        at_unix_ms: u64,
    },
    /// Did not run and never can.
    Refused {
        /// When, on the state's clock.
        at_unix_ms: u64,
        /// Why.
        reason: RefusalReason,
    },
    /// Did not run: cancelled before its start.
    Cancelled {
        /// When, on the state's clock.
        at_unix_ms: u64,
    },
}

impl Job {
    /// When it ended on the state's clock, none before.
    pub fn ended_ms(&self) -> Option<u64> {
        match self.phase {
            JobPhase::Ready | JobPhase::Assigned { .. } => None,
            JobPhase::Done { at_unix_ms, .. }
            | JobPhase::Unknown { at_unix_ms }
            | JobPhase::Refused { at_unix_ms, .. }
            | JobPhase::Cancelled { at_unix_ms } => Some(at_unix_ms),
        }
    }

    /// Whether the attempt under its fence may still say its outcome.
    pub(super) fn is_open(&self) -> bool {
        matches!(
            self.phase,
            JobPhase::Assigned { .. } | JobPhase::Unknown { .. }
        )
    }

    /// Whether this start, or an earlier one, of the entry instance runs it.
    pub(super) fn is_run_by(&self, by: &EntryName, up_to: u64) -> bool {
        matches!(
            &self.phase,
            JobPhase::Assigned { owner, incarnation, .. } if owner == by && *incarnation <= up_to
        )
    }

    /// Whether exactly this start of the entry instance runs it.
    pub(super) fn is_owned(&self, by: &EntryName, start: u64) -> bool {
        matches!(
            &self.phase,
            JobPhase::Assigned { owner, incarnation, .. } if owner == by && *incarnation == start
        )
    }

    /// Bytes it holds.
    pub(super) fn bytes(&self) -> u64 {
        let answer = match &self.phase {
            JobPhase::Done { body, .. } => body.len(),
            _ => 0,
        };
        let checkpoint = self.checkpoint.as_ref().map_or(0, Vec::len);
        (self.body.len() + checkpoint + answer) as u64
    }
}
