use serde::{Deserialize, Serialize};

use super::RefusalReason;

/// The outcome of a request, as its caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran once, and this is its whole answer.
    Done {
        /// HTTP status of the upstream's answer.
        status: u16,
        /// The answer's body.
        body: Vec<u8>,
    },
    /// The request did not run and will not run.
    NotRun {
        /// Why it did not run.
        reason: RefusalReason,
        /// Delay before a retry, in milliseconds; none if a retry is useless.
        retry_after_ms: Option<u64>,
    },
    /// The request may or may not have run; it is never run again under the same
    /// key.
    Unknown,
}
