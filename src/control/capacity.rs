//! Which machines move between pools.
//!
//! Answers demand that goes round: each pool in its turn has several times the work
//! that its machines can do, while the others have little. Without moves the pool
//! whose turn it is turns jobs late for the whole turn beside idle machines. Machines
//! that run nothing lasting go from pools with more than they need to those with
//! less; those that nobody needs for a while go to standby, where they are not paid
//! for. A machine that just came stays for a while, so that a short lull moves nothing
//! back and forth.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::demand::{PoolDemand, WorkerUse};
use super::{Machine, MachinePhase, State, Turns};
use crate::model::{InstanceName, PoolName};

/// A machine that came to a pool stays at least so long: a move takes 1.5 s in which
/// the machine does nothing, so a shorter stay is mostly travel.
const STAY_MS: u64 = 2_500;
/// A pool must have had too much for so long before it gives machines away: a gap
/// between two arrivals is shorter.
const SURPLUS_MS: u64 = 400;
/// A pool must have had too much for so long before its machines go to standby: a
/// machine-second in a pool costs about as much as a move, there and back two.
const STANDBY_MS: u64 = 3_000;
/// What all pools together needed at most in this time, they keep: demand that goes
/// round comes back, and a machine that is off is missed for longer than a short job
/// may wait.
const PEAK_MS: u64 = 20_000;
/// Machines kept beyond that peak.
const SPARE_MACHINES: usize = 3;
/// Machines that a pool keeps whatever its need, if it has them.
const FEWEST_MACHINES: usize = 3;
/// A machine that is being emptied for a move goes when it is empty, or after this
/// stays where it is: its work took longer than the surplus can be trusted.
const EMPTY_MS: u64 = 1_200;
/// How long a move may take before the machine is no longer counted for its new pool.
const ARRIVE_MS: u64 = 4_000;
/// Pause before a refused move is tried again.
const RETRY_MS: u64 = 500;
/// How many moves may be on their way to one pool at once.
const MOVES_MAX: usize = 20;

/// A move to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The machine.
    pub machine: String,
    /// The pool that it goes to.
    pub pool: PoolName,
}

/// The leader's plan of who goes where.
#[derive(Debug, Default)]
pub struct Capacity {
    /// Machines that are off, with their standby pools.
    standby: BTreeMap<String, PoolName>,
    /// Machines that are being emptied, their workers, and where they go.
    emptying: BTreeMap<String, (InstanceName, PoolName, u64)>,
    /// Machines on their way, where, and since when.
    moving: BTreeMap<String, (PoolName, u64)>,
    /// Workers whose machines were ordered away: whatever starts there dies with them.
    ordered: BTreeMap<String, InstanceName>,
    /// When machines came to their pools.
    came_ms: BTreeMap<String, u64>,
    /// Since when pools have had too much.
    surplus_since: BTreeMap<PoolName, u64>,
    retry: BTreeMap<String, u64>,
    /// What all pools needed together, with the times: falling, so that the first is
    /// the peak.
    peaks: VecDeque<(u64, usize)>,
    /// Since when needs are watched.
    watched_since: Option<u64>,
}

impl Capacity {
    /// Takes the keeper's list: who is off.
    pub fn listed(&mut self, now_ms: u64, state: &State, machines: &[Machine]) {
        let Some(configuration) = state.configuration() else {
            return;
        };
        let standby = configuration.standby();
        self.standby = machines
            .iter()
            .filter(|m| m.phase == MachinePhase::Up && standby.contains(&m.pool))
            .filter(|m| !self.moving.contains_key(&m.name))
            .map(|m| (m.name.clone(), m.pool.clone()))
            .collect();
        for machine in machines.iter().filter(|m| m.phase == MachinePhase::Moving) {
            self.moving
                .entry(machine.name.clone())
                .or_insert_with(|| (machine.pool.clone(), now_ms));
        }
    }

    /// Whether a machine is off.
    pub fn is_off(&self, machine: &str) -> bool {
        self.standby.contains_key(machine)
    }

    /// The machines that are off.
    pub fn standby(&self) -> impl Iterator<Item = &String> {
        self.standby.keys()
    }

    /// The workers that take no new tasks.
    pub fn closed(&self) -> impl Iterator<Item = &InstanceName> {
        let emptying = self.emptying.values().map(|(worker, ..)| worker);
        emptying.chain(self.ordered.values())
    }

    /// A move was done; the machine is on its way.
    pub fn moved(&mut self, now_ms: u64, state: &State, machine: &str, pool: &PoolName) {
        self.emptying.remove(machine);
        self.standby.remove(machine);
        let off = state
            .configuration()
            .is_some_and(|c| c.standby().contains(pool));
        if off {
            self.standby.insert(machine.to_owned(), pool.clone());
            self.moving.remove(machine);
            self.retry
                .insert(machine.to_owned(), now_ms + ARRIVE_MS / 2);
        } else {
            self.moving
                .insert(machine.to_owned(), (pool.clone(), now_ms));
        }
    }

    /// A move was refused.
    pub fn refused(&mut self, now_ms: u64, machine: &str) {
        self.moving.remove(machine);
        self.ordered.remove(machine);
        self.emptying.remove(machine);
        self.retry.insert(machine.to_owned(), now_ms + RETRY_MS);
    }

    /// What to move now. `busy` machines are spoken for by others.
    pub fn tick(
        &mut self,
        now_ms: u64,
        state: &State,
        demand: &BTreeMap<PoolName, PoolDemand>,
        turns: &Turns,
        busy: &BTreeSet<InstanceName>,
    ) -> Vec<Move> {
        let Some(configuration) = state.configuration() else {
            return Vec::new();
        };
        self.arrivals(now_ms, demand);
        self.ordered
            .retain(|_, worker| state.worker(worker).is_some());
        let used: BTreeSet<&PoolName> = configuration.queues.iter().map(|q| &q.pool).collect();
        let off = configuration.standby();
        let mut pools: Vec<Balance> = used
            .iter()
            .filter(|pool| !off.contains(**pool))
            .map(|pool| self.balance(now_ms, pool, demand, turns))
            .collect();
        for pool in &pools {
            if pool.surplus() > 0 {
                self.surplus_since
                    .entry(pool.name.clone())
                    .or_insert(now_ms);
            } else {
                self.surplus_since.remove(&pool.name);
            }
        }
        let mut moves = self.empty_ones(now_ms, demand, busy);
        self.give(now_ms, &mut pools, demand, busy, &mut moves);
        self.wake(now_ms, &mut pools, &mut moves);
        let needs = pools.iter().map(|p| p.needs.max(FEWEST_MACHINES)).sum();
        self.watch(now_ms, needs);
        if let Some(pool) = off.iter().next() {
            self.rest(now_ms, &pools, demand, busy, pool, &mut moves);
        }
        moves
    }

    fn watch(&mut self, now_ms: u64, needs: usize) {
        self.watched_since.get_or_insert(now_ms);
        while self.peaks.back().is_some_and(|(_, lower)| *lower <= needs) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now_ms, needs));
        while self
            .peaks
            .front()
            .is_some_and(|(at, _)| now_ms > at + PEAK_MS)
        {
            self.peaks.pop_front();
        }
    }

    /// Machines that may go off: what is there beyond the peak of the last while; none
    /// while that has not been watched in full.
    fn idle(&self, now_ms: u64, pools: &[Balance]) -> usize {
        let whole = self.watched_since.is_some_and(|at| now_ms >= at + PEAK_MS);
        let peak = self.peaks.front().map_or(usize::MAX, |(_, peak)| *peak);
        let there: usize = pools.iter().map(|p| p.has + p.coming).sum();
        if !whole {
            return 0;
        }
        there.saturating_sub(peak.saturating_add(SPARE_MACHINES))
    }

    fn arrivals(&mut self, now_ms: u64, demand: &BTreeMap<PoolName, PoolDemand>) {
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
            .retain(|_, (_, since)| now_ms < *since + ARRIVE_MS);
        self.retry.retain(|_, until| now_ms < *until);
    }

    fn balance(
        &self,
        now_ms: u64,
        pool: &PoolName,
        demand: &BTreeMap<PoolName, PoolDemand>,
        turns: &Turns,
    ) -> Balance {
        let none = PoolDemand::default();
        let here = demand.get(pool).unwrap_or(&none);
        let size = match here.workers.len() {
            0 => average_cores(demand),
            count => here.cores / count as f64,
        };
        let rate = turns.rate_cores(now_ms, pool).unwrap_or(0.0);
        let next = turns.next(now_ms).filter(|(next, _)| *next == pool);
        let foreseen = rate.max(next.map_or(0.0, |(_, cores)| cores));
        let leaving = self
            .emptying
            .values()
            .filter(|(worker, ..)| here.workers.iter().any(|w| w.worker == *worker));
        Balance {
            name: pool.clone(),
            has: here.workers.len() - leaving.count().min(here.workers.len()),
            coming: self.moving.values().filter(|(to, _)| to == pool).count()
                + self
                    .emptying
                    .values()
                    .filter(|(_, to, _)| to == pool)
                    .count(),
            needs: here.needed_machines(size, foreseen),
        }
    }

    /// Machines that have been emptied go; those that would not empty stay.
    fn empty_ones(
        &mut self,
        now_ms: u64,
        demand: &BTreeMap<PoolName, PoolDemand>,
        busy: &BTreeSet<InstanceName>,
    ) -> Vec<Move> {
        let runs = |worker: &InstanceName| {
            let mut all = demand.values().flat_map(|d| &d.workers);
            all.find(|w| w.worker == *worker)
                .map(|w| w.lasting + w.passing)
        };
        let mut moves = Vec::new();
        let mut stay = Vec::new();
        for (machine, (worker, pool, since_ms)) in &self.emptying {
            match runs(worker) {
                Some(0) if !busy.contains(worker) => moves.push(Move {
                    machine: machine.clone(),
                    pool: pool.clone(),
                }),
                Some(_) if now_ms < since_ms + EMPTY_MS => {}
                Some(_) | None => stay.push(machine.clone()),
            }
        }
        for machine in stay {
            self.emptying.remove(&machine);
        }
        for moved in &moves {
            if let Some((worker, ..)) = self.emptying.remove(&moved.machine) {
                self.ordered.insert(moved.machine.clone(), worker);
            }
            self.moving
                .insert(moved.machine.clone(), (moved.pool.clone(), now_ms));
        }
        moves
    }

    /// From pools with too much to those with too little, the neediest first.
    fn give(
        &mut self,
        now_ms: u64,
        pools: &mut [Balance],
        demand: &BTreeMap<PoolName, PoolDemand>,
        busy: &BTreeSet<InstanceName>,
        moves: &mut Vec<Move>,
    ) {
        loop {
            let Some(needy) = neediest(pools) else {
                return;
            };
            let to = pools[needy].name.clone();
            let giver = (0..pools.len())
                .filter(|p| pools[*p].surplus() > 0)
                .filter(|p| self.has_surplus_for(now_ms, &pools[*p].name, SURPLUS_MS))
                .filter(|p| self.pick(now_ms, &pools[*p].name, demand, busy).is_some())
                .max_by_key(|p| pools[*p].surplus());
            let Some(giver) = giver else {
                return;
            };
            let from = pools[giver].name.clone();
            let Some(worker) = self.pick(now_ms, &from, demand, busy) else {
                return;
            };
            let Some(machine) = worker.machine.clone() else {
                return;
            };
            pools[giver].has -= 1;
            pools[needy].coming += 1;
            self.send(now_ms, worker, machine, to, moves);
        }
    }

    /// Machines that are off come to pools that still have too little.
    fn wake(&mut self, now_ms: u64, pools: &mut [Balance], moves: &mut Vec<Move>) {
        while let Some(needy) = neediest(pools) {
            let free = self
                .standby
                .keys()
                .find(|m| !self.retry.contains_key(*m))
                .cloned();
            let Some(machine) = free else {
                return;
            };
            let pool = pools[needy].name.clone();
            pools[needy].coming += 1;
            self.standby.remove(&machine);
            self.moving.insert(machine.clone(), (pool.clone(), now_ms));
            moves.push(Move { machine, pool });
        }
    }

    /// Machines that nobody needs go off.
    fn rest(
        &mut self,
        now_ms: u64,
        pools: &[Balance],
        demand: &BTreeMap<PoolName, PoolDemand>,
        busy: &BTreeSet<InstanceName>,
        off: &PoolName,
        moves: &mut Vec<Move>,
    ) {
        for pool in pools.iter().take(self.idle(now_ms, pools)) {
            if pool.surplus() == 0 || !self.has_surplus_for(now_ms, &pool.name, STANDBY_MS) {
                continue;
            }
            let Some(worker) = self.pick(now_ms, &pool.name, demand, busy) else {
                continue;
            };
            if let Some(machine) = worker.machine.clone()
                && worker.passing == 0
            {
                self.send(now_ms, worker, machine, off.clone(), moves);
            }
        }
    }

    fn has_surplus_for(&self, now_ms: u64, pool: &PoolName, for_ms: u64) -> bool {
        let since = self.surplus_since.get(pool);
        since.is_some_and(|since| now_ms >= since + for_ms)
    }

    /// The machine of a pool that is given away most easily.
    fn pick<'a>(
        &self,
        now_ms: u64,
        pool: &PoolName,
        demand: &'a BTreeMap<PoolName, PoolDemand>,
        busy: &BTreeSet<InstanceName>,
    ) -> Option<&'a WorkerUse> {
        let stays = |machine: &String| {
            let came = self.came_ms.get(machine);
            came.is_some_and(|at| now_ms < at + STAY_MS)
                || self.emptying.contains_key(machine)
                || self.moving.contains_key(machine)
                || self.retry.contains_key(machine)
        };
        let workers = demand.get(pool)?.workers.iter();
        workers
            .filter(|w| w.lasting == 0 && !busy.contains(&w.worker))
            .filter(|w| w.machine.as_ref().is_some_and(|m| !stays(m)))
            .min_by_key(|w| w.passing)
    }

    fn send(
        &mut self,
        now_ms: u64,
        worker: &WorkerUse,
        machine: String,
        pool: PoolName,
        moves: &mut Vec<Move>,
    ) {
        if worker.passing == 0 {
            self.ordered.insert(machine.clone(), worker.worker.clone());
            self.moving.insert(machine.clone(), (pool.clone(), now_ms));
            moves.push(Move { machine, pool });
        } else {
            let emptying = (worker.worker.clone(), pool, now_ms);
            self.emptying.insert(machine, emptying);
        }
    }
}

/// A pool's machines against its need.
#[derive(Debug)]
struct Balance {
    name: PoolName,
    has: usize,
    coming: usize,
    needs: usize,
}

impl Balance {
    fn surplus(&self) -> usize {
        let keeps = self.needs.max(FEWEST_MACHINES);
        (self.has + self.coming).saturating_sub(keeps)
    }

    fn lack(&self) -> usize {
        self.needs.saturating_sub(self.has + self.coming)
    }
}

/// The pool that lacks the largest part of its need.
fn neediest(pools: &[Balance]) -> Option<usize> {
    (0..pools.len())
        .filter(|p| pools[*p].lack() > 0 && pools[*p].coming < MOVES_MAX)
        .max_by_key(|p| pools[*p].lack() * 1_000 / pools[*p].needs.max(1))
}

fn average_cores(demand: &BTreeMap<PoolName, PoolDemand>) -> f64 {
    let workers: usize = demand.values().map(|d| d.workers.len()).sum();
    let cores: f64 = demand.values().map(|d| d.cores).sum();
    cores / workers.max(1) as f64
}
