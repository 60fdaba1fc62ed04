use std::collections::{BTreeMap, BTreeSet};

use crate::control::{Machine, MachinePhase, Move, MovesPolicy, Policy, State};
use crate::control::{PoolDemand, WorkerUse};
use crate::model::{InstanceName, PoolName};

/// How long a move may take before the machine no longer counts for its new pool.
const ARRIVAL_TIMEOUT_MS: u64 = 4_000;
/// Delay before a refused move is tried again.
const RETRY_DELAY_MS: u64 = 500;
/// Delay before a machine that went to standby may leave it: the platform answers `busy`
/// until its move there is complete.
const STANDBY_DELAY_MS: u64 = 2_000;

/// Machines that are being drained for a move, are moving, or arrived lately.
#[derive(Debug, Default)]
pub(super) struct Transit {
    /// Machines that are being drained for a move.
    draining: BTreeMap<String, Draining>,
    /// Moving machines, each with its destination and the time of its departure.
    moving: BTreeMap<String, (PoolName, u64)>,
    /// Workers whose machines were ordered to move, by machine. A task that starts there ends
    /// with the worker.
    ordered: BTreeMap<String, InstanceName>,
    /// Time at which each machine arrived in its pool.
    arrived_ms: BTreeMap<String, u64>,
    /// Machines that get no new order yet, each with the end of its delay.
    retry_after_ms: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct Draining {
    worker: InstanceName,
    to: PoolName,
    since_ms: u64,
    /// Priority of the entitled work that the machine is drained for, if it is.
    priority: Option<u32>,
}

impl Draining {
    /// Returns how long the drain may take. Entitled work needs the machine for longer than
    /// its runs last, so it is not given back half empty.
    fn longest_ms(&self, policy: &Policy) -> u64 {
        match self.priority {
            Some(_) => policy.arbitration.empty_ms,
            None => policy.moves.empty_ms,
        }
    }
}

impl Transit {
    /// Adds the machines that the platform lists as moving.
    pub(super) fn update_moving(&mut self, now_ms: u64, machines: &[Machine]) {
        for machine in machines.iter().filter(|m| m.phase == MachinePhase::Moving) {
            self.moving
                .entry(machine.name.clone())
                .or_insert_with(|| (machine.pool.clone(), now_ms));
        }
    }

    /// Returns the workers that are closed to new tasks because their machines are about to
    /// move.
    pub(super) fn closed_workers(&self) -> impl Iterator<Item = &InstanceName> {
        let draining = self.draining.values().map(|e| &e.worker);
        draining.chain(self.ordered.values())
    }

    /// Returns the workers that are drained for entitled work, each with its priority.
    pub(super) fn yielding_workers(&self) -> impl Iterator<Item = (&InstanceName, u32)> {
        let draining = self.draining.values();
        draining.filter_map(|e| Some((&e.worker, e.priority?)))
    }

    pub(super) fn is_moving(&self, machine: &str) -> bool {
        self.moving.contains_key(machine)
    }

    /// Returns whether a machine gets no new order yet.
    pub(super) fn is_in_retry_delay(&self, machine: &str) -> bool {
        self.retry_after_ms.contains_key(machine)
    }

    /// Returns whether a machine must not be taken from its pool now.
    pub(super) fn is_pinned(&self, now_ms: u64, machine: &str, policy: &MovesPolicy) -> bool {
        let has_arrived = self.arrived_ms.get(machine);
        has_arrived.is_some_and(|at_ms| now_ms < at_ms + policy.stay_ms)
            || self.draining.contains_key(machine)
            || self.moving.contains_key(machine)
            || self.retry_after_ms.contains_key(machine)
    }

    /// Counts the machines that are moving to a pool or are being drained for that.
    pub(super) fn count_incoming(&self, pool: &PoolName) -> usize {
        let moving = self.moving.values().filter(|(to, _)| to == pool).count();
        moving + self.draining.values().filter(|e| e.to == *pool).count()
    }

    /// Counts the workers whose machines are being drained for a move.
    pub(super) fn count_draining(&self, workers: &[WorkerUse]) -> usize {
        if self.draining.is_empty() {
            return 0;
        }
        let is_draining = |w: &&WorkerUse| {
            let draining = w.machine.and_then(|machine| self.draining.get(machine));
            draining.is_some_and(|e| e.worker == *w.worker)
        };
        workers.iter().filter(is_draining).count()
    }

    /// Sends a machine to a pool: returns the move if nothing runs there, or starts to drain
    /// the machine otherwise. `priority` is that of the entitled work that it is for, if it is.
    pub(super) fn send(
        &mut self,
        now_ms: u64,
        worker: &WorkerUse,
        machine: &str,
        to: PoolName,
        priority: Option<u32>,
    ) -> Option<Move> {
        let machine = machine.to_owned();
        if worker.passing > 0 {
            let draining = Draining {
                worker: worker.worker.clone(),
                to,
                since_ms: now_ms,
                priority,
            };
            self.draining.insert(machine, draining);
            return None;
        }
        Some(self.depart(now_ms, machine, Some(worker.worker.clone()), to))
    }

    /// Starts the move of a machine on which nothing can run. `worker` is the one that the move
    /// ends, `None` if the machine is off.
    pub(super) fn depart(
        &mut self,
        now_ms: u64,
        machine: String,
        worker: Option<InstanceName>,
        pool: PoolName,
    ) -> Move {
        if let Some(worker) = &worker {
            self.ordered.insert(machine.clone(), worker.clone());
        }
        self.moving.insert(machine.clone(), (pool.clone(), now_ms));
        Move {
            machine,
            worker,
            pool,
        }
    }

    /// Records that the platform accepted a move: the machine is moving or, with `to_standby`, in
    /// standby.
    pub(super) fn record_move(
        &mut self,
        now_ms: u64,
        machine: &str,
        pool: &PoolName,
        to_standby: bool,
    ) {
        self.draining.remove(machine);
        if to_standby {
            self.moving.remove(machine);
            self.retry_after_ms
                .insert(machine.to_owned(), now_ms + STANDBY_DELAY_MS);
        } else {
            let destination = (pool.clone(), now_ms);
            self.moving.insert(machine.to_owned(), destination);
        }
    }

    /// Records that the platform refused a move.
    pub(super) fn record_refusal(&mut self, now_ms: u64, machine: &str) {
        self.moving.remove(machine);
        self.ordered.remove(machine);
        self.draining.remove(machine);
        self.retry_after_ms
            .insert(machine.to_owned(), now_ms + RETRY_DELAY_MS);
    }

    /// Records the machines that have arrived and drops entries that are out of date.
    pub(super) fn update(
        &mut self,
        now_ms: u64,
        state: &State,
        demand: &BTreeMap<PoolName, PoolDemand>,
    ) {
        for (pool, demand) in demand {
            if self.moving.is_empty() {
                break;
            }
            for machine in demand.workers.iter().filter_map(|w| w.machine) {
                let has_arrived = self.moving.get(machine).is_some_and(|(to, _)| to == pool);
                if has_arrived {
                    self.moving.remove(machine);
                    self.arrived_ms.insert(machine.to_owned(), now_ms);
                }
            }
        }
        self.moving
            .retain(|_, (_, since_ms)| now_ms < *since_ms + ARRIVAL_TIMEOUT_MS);
        self.retry_after_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.ordered
            .retain(|_, worker| state.worker(worker).is_some());
    }

    /// Returns moves for the machines that are drained, and gives up draining those that have
    /// taken too long.
    pub(super) fn take_drained(
        &mut self,
        now_ms: u64,
        demand: &BTreeMap<PoolName, PoolDemand>,
        busy: &BTreeSet<InstanceName>,
        policy: &Policy,
    ) -> Vec<Move> {
        if self.draining.is_empty() {
            return Vec::new();
        }
        let mut runs: BTreeMap<&InstanceName, usize> = BTreeMap::new();
        for w in demand.values().flat_map(|d| &d.workers) {
            if w.machine
                .is_some_and(|machine| self.draining.contains_key(machine))
            {
                runs.insert(w.worker, w.lasting + w.passing);
            }
        }
        let mut drained = Vec::new();
        self.draining
            .retain(|machine, e| match runs.get(&e.worker) {
                Some(0) if !busy.contains(&e.worker) => {
                    drained.push((machine.clone(), e.worker.clone(), e.to.clone()));
                    false
                }
                Some(_) => now_ms < e.since_ms + e.longest_ms(policy),
                None => false,
            });
        let drained = drained.into_iter();
        drained
            .map(|(machine, worker, to)| self.depart(now_ms, machine, Some(worker), to))
            .collect()
    }
}
