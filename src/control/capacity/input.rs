use std::collections::{BTreeMap, BTreeSet};

use super::demand::PoolDemand;
use crate::control::{OfferedLoad, Policy, State};
use crate::model::{InstanceName, PoolName, ZoneName};

/// The inputs of [`super::Capacity::tick`].
#[derive(Clone, Copy, Debug)]
pub struct CapacityInput<'a> {
    /// The replicated state.
    pub state: &'a State,
    /// The workers and the work of each pool.
    pub demand: &'a BTreeMap<PoolName, PoolDemand<'a>>,
    /// The load that arrives at each pool now, and the load that is forecast.
    pub offers: &'a BTreeMap<PoolName, OfferedLoad>,
    /// Cores to keep for the first turn of each pool that had none yet.
    pub awaited: &'a BTreeMap<PoolName, f64>,
    /// Workers that must not be moved now: a start is proposed on them, or they are being
    /// drained for upkeep, or they are ending.
    pub busy: &'a BTreeSet<InstanceName>,
    /// Machines that are being drained or are down for upkeep.
    pub in_upkeep: &'a BTreeSet<String>,
    /// Machines whose upkeep is due.
    pub due: &'a BTreeSet<String>,
    /// Zones from which no worker is heard.
    pub silent_zones: &'a BTreeSet<ZoneName>,
    /// Duration of a round of turns, if there were any.
    pub round_ms: Option<u64>,
    /// How many moves may be ordered now.
    pub moves_max: usize,
    /// The operator's policy.
    pub policy: &'a Policy,
}
