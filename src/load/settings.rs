use crate::model::{EntryName, ZoneName};

/// What a dispatcher is told once, at its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadSettings {
    /// The availability zone of the entry instance.
    pub home: ZoneName,
    /// The entry instance.
    pub me: EntryName,
    /// Seed of every random choice; the same inputs under the same seed give
    /// the same actions.
    pub seed: u64,
}
