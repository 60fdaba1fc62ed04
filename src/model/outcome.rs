use serde::{Deserialize, Serialize};

use super::RefusalReason;

/// What a caller is told about its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Ran once; the answer is whole.
    Done {
        /// HTTP status of the upstream's answer.
        status: u16,
        /// The answer's body.
        body: Vec<u8>,
    },
    /// Did not run and will not.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds; none where coming back is useless.
        retry_after_ms: Option<u64>,
    },
    /// May or may not have run; it is never run again under the same key.
    Unknown,
}
