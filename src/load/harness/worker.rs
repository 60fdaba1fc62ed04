//! Stand-in workers and how they behave.

use crate::model::{Capacity, InstanceName, PoolName, RackName, ZoneName};

/// How a worker behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers after the request's run time times this.
    Works {
        /// 1 for a worker as fast as its pool.
        slowdown: f64,
    },
    /// Answers every request with a failure.
    Fails {
        /// After this many milliseconds.
        after_ms: u64,
    },
    /// Cannot be connected to; what runs is lost.
    Gone,
}

/// A stand-in worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// The pool it was set up for.
    pub pool: PoolName,
    /// What it declares, and has.
    pub capacity: Capacity,
    /// How it behaves.
    pub behaviour: Behaviour,
}
