use std::collections::{BTreeMap, BTreeSet};

use super::Move;
use crate::control::demand::{PoolDemand, WorkerUse};
use crate::control::{Machine, MachinePhase, MovesPolicy, State};
use crate::model::{InstanceName, PoolName};

/// How long a move may take before the machine is no longer counted for its new pool.
const ARRIVE_MS: u64 = 4_000;
/// Pause before a refused move is tried again.
const RETRY_MS: u64 = 500;
/// Pause before a machine that went off may come back: the keeper says that it is busy
/// for as long as it moves.
const OFF_MS: u64 = 2_000;

/// Machines that are being emptied, on their way, or just came.
#[derive(Debug, Default)]
pub(super) struct Travel {
    /// Machines that are being emptied, with their workers.
    emptying: BTreeMap<String, Emptying>,
    /// Machines on their way, where, and since when.
    moving: BTreeMap<String, (PoolName, u64)>,
    /// Workers whose machines were ordered away: whatever starts there dies with them.
    ordered: BTreeMap<String, InstanceName>,
    /// When machines came to their pools.
    came_ms: BTreeMap<String, u64>,
    /// Machines that are left alone, and until when.
    retry: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct Emptying {
    worker: InstanceName,
    to: PoolName,
    since_ms: u64,
}

impl Travel {
    /// Takes from the keeper's list who is on the way.
    pub(super) fn listed(&mut self, now_ms: u64, machines: &[Machine]) {
        for machine in machines.iter().filter(|m| m.phase == MachinePhase::Moving) {
            self.moving
                .entry(machine.name.clone())
                .or_insert_with(|| (machine.pool.clone(), now_ms));
        }
    }

    /// The workers that take no new tasks.
    pub(super) fn closed(&self) -> impl Iterator<Item = &InstanceName> {
        let emptying = self.emptying.values().map(|e| &e.worker);
        emptying.chain(self.ordered.values())
    }

    pub(super) fn is_moving(&self, machine: &str) -> bool {
        self.moving.contains_key(machine)
    }

    /// Whether a machine is to be left alone.
    pub(super) fn rests(&self, machine: &str) -> bool {
        self.retry.contains_key(machine)
    }

    /// Whether a machine is not to be taken from its pool.
    pub(super) fn stays(&self, now_ms: u64, machine: &str, policy: &MovesPolicy) -> bool {
        let came = self.came_ms.get(machine);
        came.is_some_and(|at_ms| now_ms < at_ms + policy.stay_ms)
            || self.emptying.contains_key(machine)
            || self.moving.contains_key(machine)
            || self.retry.contains_key(machine)
    }

    /// Machines on their way to a pool.
    pub(super) fn coming(&self, pool: &PoolName) -> usize {
        let moving = self.moving.values().filter(|(to, _)| to == pool).count();
        moving + self.emptying.values().filter(|e| e.to == *pool).count()
    }

    /// Those of some workers that are about to go.
    pub(super) fn leaving(&self, workers: &[WorkerUse]) -> usize {
        let leaves = |w: &&WorkerUse| {
            let machine = w.machine.as_ref();
            let emptying = machine.and_then(|machine| self.emptying.get(machine));
            emptying.is_some_and(|e| e.worker == w.worker)
        };
        workers.iter().filter(leaves).count()
    }

    /// Sends a machine; it goes at once if nothing runs there, else it is emptied first.
    pub(super) fn send(
        &mut self,
        now_ms: u64,
        worker: &WorkerUse,
        machine: String,
        to: PoolName,
    ) -> Option<Move> {
        if worker.passing > 0 {
            let emptying = Emptying {
                worker: worker.worker.clone(),
                to,
                since_ms: now_ms,
            };
            self.emptying.insert(machine, emptying);
            return None;
        }
        self.ordered.insert(machine.clone(), worker.worker.clone());
        Some(self.set_out(now_ms, machine, to))
    }

    /// A machine on which nothing can run goes.
    pub(super) fn set_out(&mut self, now_ms: u64, machine: String, pool: PoolName) -> Move {
        self.moving.insert(machine.clone(), (pool.clone(), now_ms));
        Move { machine, pool }
    }

    /// A move was done; the machine is on its way, or off.
    pub(super) fn moved(&mut self, now_ms: u64, machine: &str, pool: &PoolName, off: bool) {
        self.emptying.remove(machine);
        if off {
            self.moving.remove(machine);
            self.retry.insert(machine.to_owned(), now_ms + OFF_MS);
        } else {
            let way = (pool.clone(), now_ms);
            self.moving.insert(machine.to_owned(), way);
        }
    }

    /// A move was refused.
    pub(super) fn refused(&mut self, now_ms: u64, machine: &str) {
        self.moving.remove(machine);
        self.ordered.remove(machine);
        self.emptying.remove(machine);
        self.retry.insert(machine.to_owned(), now_ms + RETRY_MS);
    }

    /// Takes note of who has come, and of who is late.
    pub(super) fn arrivals(
        &mut self,
        now_ms: u64,
        state: &State,
        demand: &BTreeMap<PoolName, PoolDemand>,
    ) {
        for (pool, demand) in demand {
            let machines = demand.workers.iter().filter_map(|w| w.machine.as_ref());
            for machine in machines {
                let came = self.moving.get(machine).is_some_and(|(to, _)| to == pool);
                if came {
                    self.moving.remove(machine);
                    self.came_ms.insert(machine.clone(), now_ms);
                }
            }
        }
        self.moving
            .retain(|_, (_, since_ms)| now_ms < *since_ms + ARRIVE_MS);
        self.retry.retain(|_, until_ms| now_ms < *until_ms);
        self.ordered
            .retain(|_, worker| state.worker(worker).is_some());
    }

    /// Machines that have been emptied go; those that would not empty stay.
    pub(super) fn empty_ones(
        &mut self,
        now_ms: u64,
        demand: &BTreeMap<PoolName, PoolDemand>,
        busy: &BTreeSet<InstanceName>,
        policy: &MovesPolicy,
    ) -> Vec<Move> {
        let mut runs: BTreeMap<&InstanceName, usize> = BTreeMap::new();
        for w in demand.values().flat_map(|d| &d.workers) {
            let machine = w.machine.as_ref();
            if machine.is_some_and(|machine| self.emptying.contains_key(machine)) {
                runs.insert(&w.worker, w.lasting + w.passing);
            }
        }
        let mut go = Vec::new();
        self.emptying
            .retain(|machine, e| match runs.get(&e.worker) {
                Some(0) if !busy.contains(&e.worker) => {
                    go.push((machine.clone(), e.worker.clone(), e.to.clone()));
                    false
                }
                Some(_) => now_ms < e.since_ms + policy.empty_ms,
                None => false,
            });
        let go = go.into_iter();
        go.map(|(machine, worker, to)| {
            self.ordered.insert(machine.clone(), worker);
            self.set_out(now_ms, machine, to)
        })
        .collect()
    }
}
