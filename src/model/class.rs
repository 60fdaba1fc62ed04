use serde::{Deserialize, Serialize};

/// The service class of a request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A person is waiting for the answer.
    #[display("urgent")]
    Urgent,
    /// The request may wait, but must finish exactly once.
    #[display("patient")]
    Patient,
}
