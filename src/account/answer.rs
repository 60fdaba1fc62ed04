use serde::Deserialize;

/// What one call brought its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Ran, with the upstream's whole answer.
    Done {
        /// The upstream's status.
        status: u16,
        /// The proof in the body, none if the body is not a whole proof.
        proof: Option<Proof>,
    },
    /// Did not run.
    NotRun {
        /// The reason given.
        reason: String,
        /// Whether it says when to come back.
        come_back: bool,
    },
    /// May have run.
    Unknown,
    /// A patient job is durable.
    Accepted {
        /// Where to ask for it.
        location: String,
    },
    /// A patient job waits or runs.
    Pending,
    /// A patient job is not known there.
    NotFound,
    /// The connection ended or the time ran out before a whole answer.
    CutOff,
    /// No entry instance took the connection.
    NoEntry,
    /// The caller went away.
    Cancelled,
    /// An answer outside the protocol.
    Malformed {
        /// Its status.
        status: u16,
    },
}

/// What a stand-in says it ran.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Proof {
    /// SHA-256 of the request's body, in hexadecimal.
    pub echo: String,
    /// The request key.
    pub key: Option<String>,
    /// The instance that ran it.
    pub instance: String,
    /// The number of the run there.
    pub run: u64,
}

impl Answer {
    /// Whether the caller now knows all it will.
    pub fn is_final(&self) -> bool {
        matches!(
            self,
            Self::Done { .. } | Self::NotRun { .. } | Self::Unknown | Self::Cancelled
        )
    }
}
