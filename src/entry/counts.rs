use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::{Outcome, RefusalReason};

/// Number of outcomes sent to callers since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Complete answers.
    pub done: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests that did not run, by reason.
    pub not_run: BTreeMap<RefusalReason, u64>,
}

impl Counts {
    /// Counts an outcome.
    pub fn note(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Done { .. } => self.done += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::NotRun { reason, .. } => *self.not_run.entry(*reason).or_default() += 1,
        }
    }
}
