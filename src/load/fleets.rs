//! Builds fleets for the test bench, with pools spread over availability zones.

use crate::model::{
    Budget, Capacity, Class, Demand, DesiredState, FailureDomain, Instance, Pool, Service, ZoneName,
};

use super::View;
use super::harness::{Behaviour, Worker};

const WORKERS_PER_RACK: usize = 4;

/// Capacity of a typical worker: 16 cores, 64 GB, 8 slots, 64 connections.
pub const WORKER: Capacity = Capacity {
    cores: 16,
    memory_mib: 65_536,
    accelerators: 0,
    slots: 8,
    connections: 64,
};

/// Returns a service whose requests need one core.
pub fn service(name: &str, class: Class, run_ms: u64) -> Service {
    Service {
        name: name.into(),
        class,
        demand: Demand {
            cores: 1,
            memory_mib: 1_024,
            accelerators: 0,
            run_ms,
        },
    }
}

/// Adds a pool of `n` workers of equal capacity, spread evenly over the zones. Returns
/// the workers.
pub fn pool(
    view: &mut View,
    name: &str,
    services: Vec<Service>,
    zones: &[&str],
    n: usize,
) -> Vec<Worker> {
    for service in &services {
        view.carriers.insert(service.name.clone(), name.into());
    }
    let pool = Pool {
        name: name.into(),
        budget: Budget {
            min_available: 0,
            survive: FailureDomain::None,
        },
        services,
    };
    view.pools.insert(name.into(), pool);
    let mut workers = Vec::with_capacity(n);
    for i in 0..n {
        let zone = zones[i % zones.len()];
        let rack = format!("{zone}-r{}", i / zones.len() / WORKERS_PER_RACK);
        let worker = Worker {
            name: format!("{name}-{i}").into(),
            zone: ZoneName::from(zone),
            rack: rack.into(),
            pool: name.into(),
            capacity: WORKER,
            behaviour: Behaviour::Works { slowdown: 1.0 },
        };
        let instance = Instance {
            name: worker.name.clone(),
            zone: worker.zone.clone(),
            rack: worker.rack.clone(),
            pool: worker.pool.clone(),
            epoch: 1,
            duty: DesiredState::Serving,
        };
        view.instances.insert(worker.name.clone(), instance);
        workers.push(worker);
    }
    workers
}
