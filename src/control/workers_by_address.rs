use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::Worker;
use crate::model::InstanceName;

/// The workers by the address where they take orders: two while one is over and its
/// successor is there already.
///
/// It follows from the workers and is no part of a snapshot. Without it each report that
/// changes something walks all workers: when a wave or a cut ends, as many reports come as
/// there are workers, and calls and renewals wait for as many walks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkersByAddress(BTreeMap<SocketAddr, BTreeSet<InstanceName>>);

impl WorkersByAddress {
    /// All these workers.
    pub fn of<'a>(workers: impl Iterator<Item = (&'a InstanceName, &'a Worker)>) -> Self {
        let mut all = Self::default();
        for (name, worker) in workers {
            all.add(worker.report.address, name);
        }
        all
    }

    /// A worker is there.
    pub fn add(&mut self, address: SocketAddr, worker: &InstanceName) {
        let workers = self.0.entry(address).or_default();
        workers.insert(worker.clone());
    }

    /// A worker is not there any more.
    pub fn remove(&mut self, address: SocketAddr, worker: &InstanceName) {
        if let Some(workers) = self.0.get_mut(&address) {
            workers.remove(worker);
            if workers.is_empty() {
                self.0.remove(&address);
            }
        }
    }

    /// Who is there.
    pub fn at(&self, address: SocketAddr) -> impl Iterator<Item = &InstanceName> {
        self.0.get(&address).into_iter().flatten()
    }
}
