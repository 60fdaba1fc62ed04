use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model::{EntryName, RefusalReason, RequestKey, ServiceName, WorkspaceName};

use super::{Fence, Fingerprint, Trail};

/// A patient job's id, chosen by the entry instance that accepted it.
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

/// A patient job: accepted durably, and completed exactly once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PatientJob {
    /// The job's id.
    pub id: JobId,
    /// The caller's key.
    pub key: RequestKey,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// The service that runs it.
    pub service: ServiceName,
    /// The team whose quota it counts against.
    pub team: WorkspaceName,
    /// The caller that sent it.
    pub caller: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The request's body; empty once the job has ended for good.
    pub body: Vec<u8>,
    /// When it was accepted, in milliseconds of Unix time.
    pub accepted_unix_ms: u64,
    /// Fence of the current attempt, or of the next one while ready.
    pub fence: Fence,
    /// Whether it waits, runs or how it ended.
    pub phase: JobPhase,
    /// Checkpoint from which the next attempt may resume.
    pub checkpoint: Option<Vec<u8>>,
    /// Its history, for the `explain` command.
    pub trail: Trail,
    /// Position among the ready jobs, which are served first come, first served.
    pub(super) order: u64,
}

/// Whether a patient job waits, runs or how it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Waits to be assigned to an entry instance.
    Ready,
    /// An entry instance is running it.
    Assigned {
        /// The entry instance.
        owner: EntryName,
        /// The owner's incarnation.
        incarnation: u64,
        /// When it was assigned, in milliseconds of Unix time.
        since_unix_ms: u64,
    },
    /// The job ran once.
    Done {
        /// When it ended, in milliseconds on the state's clock.
        at_unix_ms: u64,
        /// HTTP status of the answer.
        status: u16,
        /// The whole body of the answer.
        body: Vec<u8>,
    },
    /// The job may have run and is not run again.
    Unknown {
        /// When it became unknown, in milliseconds on the state's clock.
        at_unix_ms: u64,
    },
    /// The job did not run and never can.
    Refused {
        /// When it ended, in milliseconds on the state's clock.
        at_unix_ms: u64,
        /// Why it cannot run.
        reason: RefusalReason,
    },
    /// The job was cancelled before an attempt started.
    Cancelled {
        /// When it ended, in milliseconds on the state's clock.
        at_unix_ms: u64,
    },
}

impl PatientJob {
    /// When it ended, in milliseconds on the state's clock; none before that.
    pub fn ended_ms(&self) -> Option<u64> {
        match self.phase {
            JobPhase::Ready | JobPhase::Assigned { .. } => None,
            JobPhase::Done { at_unix_ms, .. }
            | JobPhase::Unknown { at_unix_ms }
            | JobPhase::Refused { at_unix_ms, .. }
            | JobPhase::Cancelled { at_unix_ms } => Some(at_unix_ms),
        }
    }

    /// Whether the attempt under its fence may still report its outcome.
    pub(super) fn is_open(&self) -> bool {
        matches!(
            self.phase,
            JobPhase::Assigned { .. } | JobPhase::Unknown { .. }
        )
    }

    /// Whether the entry instance runs it, in this incarnation or an earlier one.
    pub(super) fn is_run_by(&self, by: &EntryName, up_to: u64) -> bool {
        matches!(
            &self.phase,
            JobPhase::Assigned { owner, incarnation, .. } if owner == by && *incarnation <= up_to
        )
    }

    /// Whether exactly this incarnation of the entry instance runs it.
    pub(super) fn is_owned_by(&self, by: &EntryName, current: u64) -> bool {
        matches!(
            &self.phase,
            JobPhase::Assigned { owner, incarnation, .. } if owner == by && *incarnation == current
        )
    }

    /// Total size of its body, checkpoint and answer, in bytes.
    pub(super) fn bytes(&self) -> u64 {
        let answer = match &self.phase {
            JobPhase::Done { body, .. } => body.len(),
            _ => 0,
        };
        let checkpoint = self.checkpoint.as_ref().map_or(0, Vec::len);
        (self.body.len() + checkpoint + answer) as u64
    }
}
