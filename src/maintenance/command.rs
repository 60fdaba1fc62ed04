use serde::{Deserialize, Serialize};

use crate::model::{InstanceName, Pool, PoolName, RackName, WaveName, ZoneName};

use super::WaveSpec;

/// A change of pools, instances or waves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Creates or replaces a pool. No other pool may carry its services, and the
    /// instances that serve now must meet a stricter budget.
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
    /// Removes an upstream that reported that it leaves for good.
    Leave {
        /// The instance.
        instance: InstanceName,
    },
    /// The leader detected that the instance failed or recovered.
    Health {
        /// The instance.
        instance: InstanceName,
        /// `true` if it failed, `false` if it recovered.
        failed: bool,
    },
    /// An operator drains an instance.
    Drain {
        /// The instance.
        instance: InstanceName,
    },
    /// An operator returns a drained instance to service.
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
    /// Starts a temporary move: the instance is returned once the borrowing pool
    /// no longer needs it.
    Lend {
        /// The instance.
        instance: InstanceName,
        /// The pool that borrows it.
        to: PoolName,
        /// Why it is lent, as text.
        reason: String,
    },
    /// All dispatchers of the old pool have stopped: the instance changes pool.
    FinishMove {
        /// The instance.
        instance: InstanceName,
        /// The epoch it was drained under.
        epoch: u64,
    },
    /// Aborts a move in progress: the instance stays in its old pool.
    AbortMove {
        /// The instance.
        instance: InstanceName,
        /// The reason, as text.
        reason: String,
    },
    /// Starts a maintenance wave.
    StartWave {
        /// Its settings.
        spec: WaveSpec,
    },
    /// Stops a wave: instances that drain for it return to service, and instances
    /// that are away may still return.
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
    /// Cancels a wave's drain that took too long: the instance returns to service
    /// and is visited later.
    PutOff {
        /// The instance.
        instance: InstanceName,
        /// The reason, as text.
        reason: String,
    },
    /// Records that a drained instance has stopped and may be rebooted or replaced.
    MarkAway {
        /// The instance.
        instance: InstanceName,
        /// The epoch it was drained under.
        epoch: u64,
        /// The incarnation that was drained; only a later one may return.
        incarnation: u64,
    },
    /// Starts the repair of a failed instance.
    RepairStart {
        /// The instance.
        instance: InstanceName,
        /// The incarnation that failed; only a later one may return.
        incarnation: u64,
    },
    /// Returns an instance that was away and is stable again to service.
    Return {
        /// The instance.
        instance: InstanceName,
        /// Its new incarnation.
        incarnation: u64,
    },
    /// Excludes an instance from service until an operator restores it.
    SetAside {
        /// The instance.
        instance: InstanceName,
        /// The reason, as text.
        reason: String,
    },
    /// An operator returns an instance that was set aside to its pool.
    Restore {
        /// The instance.
        instance: InstanceName,
    },
}
