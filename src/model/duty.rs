use serde::{Deserialize, Serialize};

use super::{PoolName, WaveName};

/// The desired state of an instance, as decided in the replicated state.
///
/// It does not tell whether the instance is alive: a serving instance may have
/// failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DesiredState {
    /// Accepts requests of its pool.
    Serving,
    /// Gets no new requests; running ones may finish.
    Draining {
        /// Why it drains and what follows.
        absence: Absence,
    },
    /// Runs no requests and is being rebooted, replaced or kept out of service.
    Away {
        /// Why it is away.
        absence: Absence,
    },
}

/// Why an instance was taken out of service.
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
    /// A wave replaces it; it returns with a new incarnation.
    Replace {
        /// The wave.
        wave: WaveName,
    },
    /// It moves to another pool.
    Move {
        /// The pool that it joins.
        to: PoolName,
    },
    /// It did not return from an absence, or returned unhealthy.
    SetAside {
        /// The observed fault, as text for operators.
        reason: String,
    },
    /// An automatic repair restarts or replaces it after a failure.
    Repair,
}
