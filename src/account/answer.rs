use serde::Deserialize;

/// Result of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request ran, and the upstream answered.
    Done {
        /// HTTP status from the upstream.
        status: u16,
        /// Proof in the body, or `None` if the body is not a complete proof.
        proof: Option<Proof>,
    },
    /// The request was refused and did not run.
    NotRun {
        /// Reason of the refusal.
        reason: String,
        /// Whether the answer has a `Retry-After` header.
        has_retry_after: bool,
    },
    /// The request may have run.
    Unknown,
    /// A patient job was accepted and stored durably.
    Accepted {
        /// Path at which its state can be polled.
        location: String,
    },
    /// A patient job is queued or running.
    Pending,
    /// A patient job is unknown to the entry instance.
    NotFound,
    /// The connection ended or the call timed out before a complete answer.
    CutOff,
    /// No entry instance accepted a connection.
    NoEntry,
    /// The caller cancelled the request.
    Cancelled,
    /// The answer doesn't follow the protocol.
    Malformed {
        /// HTTP status of the answer.
        status: u16,
    },
}

/// Proof of a run, which a stand-in upstream returns in its answer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Proof {
    /// SHA-256 of the request's body, in hexadecimal.
    pub echo: String,
    /// Request key.
    pub key: Option<String>,
    /// Instance that ran the request.
    pub instance: String,
    /// Number of the run on that instance.
    pub run: u64,
}

impl Answer {
    /// Returns whether the answer settles the outcome for the caller.
    pub fn is_final(&self) -> bool {
        matches!(
            self,
            Self::Done { .. } | Self::NotRun { .. } | Self::Unknown | Self::Cancelled
        )
    }
}
