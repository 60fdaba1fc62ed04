use crate::model::{EntryName, ZoneName};

/// Fixed settings of a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadSettings {
    /// The availability zone of the entry instance.
    pub home: ZoneName,
    /// Name of the entry instance.
    pub me: EntryName,
    /// Seed of every random choice; the same inputs with the same seed give the same
    /// actions.
    pub seed: u64,
}
