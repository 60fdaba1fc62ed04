use serde::{Deserialize, Serialize};

use crate::model::{InstanceName, Pool, PoolName, RackName, WaveName, ZoneName};

use super::WaveSpec;

/// A change of pools, instances or waves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Creates or replaces a pool. The services it lists must be in no other,
    /// and a stricter budget must be met by what serves now.
    PutPool {
        /// The pool.
        pool: Pool,
    },
    /// Removes a pool that has no instances.
    RemovePool {
        /// The pool.
        pool: PoolName,
    },
    /// An upstream announced itself for the first time.
    Join {
        /// The instance.
        instance: InstanceName,
        /// Its availability zone.
        zone: ZoneName,
        /// Its rack.
        rack: RackName,
        /// The pool it was set up for.
        pool: PoolName,
    },
    /// An upstream that said it leaves for good is gone.
    Leave {
        /// The instance.
        instance: InstanceName,
    },
    /// The leader saw the instance fail (`true`) or return (`false`).
    Health {
        /// The instance.
        instance: InstanceName,
        /// Whether it counts as failed.
        failed: bool,
    },
    /// An operator drains an instance.
    Drain {
        /// The instance.
        instance: InstanceName,
    },
    /// An operator lets a drained instance serve again.
    Undrain {
        /// The instance.
        instance: InstanceName,
    },
    /// Starts a move to another pool by draining the instance.
    StartMove {
        /// The instance.
        instance: InstanceName,
        /// The pool it is to join.
        to: PoolName,
    },
    /// Starts a move that is undone when the borrowing pool can do without it.
    Lend {
        /// The instance.
        instance: InstanceName,
        /// The pool that borrows it.
        to: PoolName,
        /// What it is lent for, in words.
        reason: String,
    },
    /// All dispatchers of the old pool have stopped: the instance changes pool.
    FinishMove {
        /// The instance.
        instance: InstanceName,
        /// The epoch it was drained under.
        epoch: u64,
    },
    /// Undoes a move half way: the instance stays in its old pool.
    AbortMove {
        /// The instance.
        instance: InstanceName,
        /// Why, in words.
        reason: String,
    },
    /// Starts a maintenance wave.
    StartWave {
        /// What it does to which instances.
        spec: WaveSpec,
    },
    /// Ends a wave: what drains for it serves again, what is away may return.
    StopWave {
        /// The wave.
        wave: WaveName,
    },
    /// Drains an instance for a wave.
    BeginAbsence {
        /// The wave.
        wave: WaveName,
        /// The instance.
        instance: InstanceName,
    },
    /// The drain of a wave took too long: the instance serves again and its
    /// turn comes later.
    PutOff {
        /// The instance.
        instance: InstanceName,
        /// Why, in words.
        reason: String,
    },
    /// A drained instance has stopped: it may be rebooted or replaced.
    MarkAway {
        /// The instance.
        instance: InstanceName,
        /// The epoch it was drained under.
        epoch: u64,
        /// The incarnation that was drained; only a later one returns.
        incarnation: u64,
    },
    /// Repair takes on a failed instance.
    RepairStart {
        /// The instance.
        instance: InstanceName,
        /// The incarnation that failed; only a later one returns.
        incarnation: u64,
    },
    /// An instance that was away is back and stable.
    Return {
        /// The instance.
        instance: InstanceName,
        /// Its new incarnation.
        incarnation: u64,
    },
    /// Keeps an instance out until an operator restores it.
    SetAside {
        /// The instance.
        instance: InstanceName,
        /// What was seen, in words.
        reason: String,
    },
    /// An operator gives an instance that was set aside back to its pool.
    Restore {
        /// The instance.
        instance: InstanceName,
    },
}
