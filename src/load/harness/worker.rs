//! Configuration of simulated workers.

use crate::model::{Capacity, InstanceName, PoolName, RackName, ZoneName};

/// How a worker responds to requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers after the request's run time, multiplied by the slowdown.
    Works {
        /// Factor on the run time; 1 is a worker at its pool's normal speed.
        slowdown: f64,
    },
    /// Answers every request with a failure.
    Fails {
        /// Time from the start to the failure, in milliseconds.
        after_ms: u64,
    },
    /// Refuses connections; requests that run there are lost.
    Gone,
}

/// A simulated worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Instance name.
    pub name: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// Pool that it is configured for.
    pub pool: PoolName,
    /// Capacity that it reports, and actually has.
    pub capacity: Capacity,
    /// How it responds to requests.
    pub behaviour: Behaviour,
}
