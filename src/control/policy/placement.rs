use serde::{Deserialize, Serialize};

/// Choice of workers for tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlacementPolicy {
    /// Whether the fullest worker with room is chosen (bin packing), instead of the freest.
    pub pack: bool,
    /// Whether lasting tasks avoid machines that are due for upkeep.
    pub avoid_due: bool,
    /// Whether the tasks of a step are kept in one availability zone while it has room.
    pub keep_zone: bool,
    /// Whether tasks avoid availability zones and racks from which no worker is heard.
    pub avoid_silent: bool,
    /// Most starts in flight at once. Without a bound the first pass of a turn orders
    /// thousands; the leader needs longer to write them than their answer timeout, sends all
    /// of them again and is overloaded by its own retries.
    pub starts_open: usize,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            pack: true,
            avoid_due: true,
            keep_zone: true,
            avoid_silent: true,
            starts_open: 192,
        }
    }
}
