use serde::{Deserialize, Serialize};

use super::{PoolName, WaveName};

/// What an instance is meant to be doing, as decided in the replicated state.
///
/// Liveness is not part of it: a serving instance may have failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Duty {
    /// Takes requests of its pool.
    Serving,
    /// Gets nothing new; what runs may finish.
    Draining {
        /// Why it drains and what comes after.
        absence: Absence,
    },
    /// Runs nothing and is being rebooted, replaced or kept out.
    Away {
        /// Why it is away.
        absence: Absence,
    },
}

/// Why an instance is absent from its pool by decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Absence {
    /// An operator drained it.
    Operator,
    /// A wave reboots it.
    Reboot {
        /// The wave.
        wave: WaveName,
    },
    /// A wave replaces it: it returns with a new incarnation.
    Replace {
        /// The wave.
        wave: WaveName,
    },
    /// It moves to another pool.
    Move {
        /// The pool it is to join.
        to: PoolName,
    },
    /// It did not come back, or came back sick.
    SetAside {
        /// What was seen, in words.
        reason: String,
    },
    /// Repair restarts or replaces it after a failure.
    Repair,
}
