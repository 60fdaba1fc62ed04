//! Planner for moves of machines between pools and to and from standby.
//!
//! Demand peaks rotate: each pool in its turn has several times the work that its machines
//! can do, while the others have little. Without moves the jobs of that pool are late for
//! the whole peak while machines of other pools are idle. Machines that run no lasting task
//! move from pools with a surplus to pools with a deficit. Machines that no pool needs for
//! a while go to standby, where they are powered off and cost nothing. A machine stays in
//! its new pool for a minimum time, so that a short lull does not move it back and forth.

mod allotment;
mod balance;
mod donors;
mod peaks;
mod transit;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use super::demand::{PoolDemand, WorkerUse};
use super::input::CapacityInput;
use super::machine_move::Move;
use crate::control::{Load, Machine, MachinePhase, OfferedLoad, State};
use crate::model::{InstanceName, PoolName, ZoneName};
pub use allotment::{Allotment, Claim, allot};
use balance::{Balance, Purpose, largest_deficit};
use donors::take_surplus;
use peaks::Peaks;
use transit::Transit;

/// Interval at which the balance of each pool is logged. A demand peak lasts several times
/// as long, and a fleet with tens of pools writes tens of lines each time.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The leader's planner for moves of machines.
#[derive(Debug, Default)]
pub struct Capacity {
    /// Machines that are off.
    standby: BTreeMap<String, Off>,
    /// The zones of all machines, as far as the platform's list names them.
    zones: BTreeMap<String, ZoneName>,
    transit: Transit,
    /// The recent needs of each pool, and what it was expected to need.
    peaks: BTreeMap<PoolName, Peaks>,
    expected_peaks: BTreeMap<PoolName, Peaks>,
    /// The recent allotments of each pool.
    allotted: BTreeMap<PoolName, Peaks>,
    logged_ms: u64,
    /// Number of machines that the choices of machines have looked at.
    visited: u64,
}

/// A machine that is off.
#[derive(Debug, Default)]
struct Off {
    /// Its zone, if the platform's list named it.
    zone: Option<ZoneName>,
}

impl Capacity {
    /// Updates the standby and moving machines from the platform's list of machines.
    pub fn update_machines(&mut self, now_ms: u64, state: &State, machines: &[Machine]) {
        let Some(configuration) = state.configuration() else {
            return;
        };
        let standby = configuration.standby();
        let zones = machines.iter();
        self.zones = zones
            .filter_map(|m| Some((m.name.clone(), m.zone.clone()?)))
            .collect();
        self.standby = machines
            .iter()
            .filter(|m| m.phase == MachinePhase::Up && standby.contains(&m.pool))
            .filter(|m| !self.transit.is_moving(&m.name))
            .map(|m| {
                let zone = m.zone.clone();
                (m.name.clone(), Off { zone })
            })
            .collect();
        self.transit.update_moving(now_ms, machines);
    }

    /// Returns how many machines the choices of machines to move have looked at since the start.
    pub fn visited(&self) -> u64 {
        self.visited
    }

    /// Returns whether a machine is off.
    pub fn is_off(&self, machine: &str) -> bool {
        self.standby.contains_key(machine)
    }

    /// Returns the machines that are off.
    pub fn standby_machines(&self) -> impl Iterator<Item = &String> {
        self.standby.keys()
    }

    /// Returns the workers that are closed to new tasks because their machines are about to
    /// move.
    pub fn closed_workers(&self) -> impl Iterator<Item = &InstanceName> {
        self.transit.closed_workers()
    }

    /// Returns the workers that are drained for entitled work of another pool, each with the
    /// priority of that work.
    pub fn yielding_workers(&self) -> impl Iterator<Item = (&InstanceName, u32)> {
        self.transit.yielding_workers()
    }

    /// Records that the platform accepted a move: the machine is moving or, in a standby pool,
    /// off.
    pub fn record_move(&mut self, now_ms: u64, state: &State, machine: &str, pool: &PoolName) {
        self.standby.remove(machine);
        let to_standby = state
            .configuration()
            .is_some_and(|c| c.standby().contains(pool));
        if to_standby {
            let zone = self.zones.get(machine).cloned();
            self.standby.insert(machine.to_owned(), Off { zone });
        }
        self.transit.record_move(now_ms, machine, pool, to_standby);
    }

    /// Records that the platform refused a move.
    pub fn record_refusal(&mut self, now_ms: u64, machine: &str) {
        self.transit.record_refusal(now_ms, machine);
    }

    /// Returns the moves to order now.
    pub fn tick(&mut self, now_ms: u64, world: &CapacityInput) -> Vec<Move> {
        let Some(configuration) = world.state.configuration() else {
            return Vec::new();
        };
        self.transit.update(now_ms, world.state, world.demand);
        let used: BTreeSet<&PoolName> = configuration.queues.iter().map(|q| &q.pool).collect();
        let standby_pools = configuration.standby();
        let mut pools: Vec<Balance> = used
            .iter()
            .filter(|pool| !standby_pools.contains(**pool))
            .map(|pool| self.balance(now_ms, pool, world))
            .collect();
        let policy = world.policy;
        if policy.arbitration.enabled && configuration.ranks_work() {
            self.arbitrate(now_ms, &mut pools, world);
        }
        self.log_balances(now_ms, &pools, world);
        // These are empty and closed to work already, so they come before the others.
        let mut moves = self
            .transit
            .take_drained(now_ms, world.demand, world.busy, policy);
        let left = |moves: &[Move]| world.moves_max.saturating_sub(moves.len());
        if policy.moves.enabled {
            let moves_max = left(&moves);
            moves.extend(self.fill_deficits(now_ms, &mut pools, world, moves_max));
        }
        if let Some(pool) = standby_pools
            .iter()
            .next()
            .filter(|_| policy.standby.enabled)
        {
            let moves_max = left(&moves);
            moves.extend(self.move_to_standby(now_ms, &pools, world, pool, moves_max));
        }
        moves
    }

    fn balance(&mut self, now_ms: u64, pool: &PoolName, world: &CapacityInput) -> Balance {
        let none = PoolDemand::default();
        let demand = world.demand.get(pool).unwrap_or(&none);
        let size = demand.size().unwrap_or_else(|| average_size(world.demand));
        let offer = world.offers.get(pool).copied().unwrap_or_default();
        let leaving = self.transit.count_draining(&demand.workers)
            + draining_for_upkeep(&demand.workers, world.in_upkeep);
        let expects = demand.needed_machines(&size, &offer, &world.policy.needs);
        let certain = OfferedLoad {
            foreseen: Load::default(),
            ..offer
        };
        let needs = demand.needed_machines(&size, &certain, &world.policy.needs);
        let (moves, standby) = (&world.policy.moves, &world.policy.standby);
        let overdue = demand.overdue_machines(&size, &certain, &world.policy.needs);
        let peaks = self.peaks.entry(pool.clone()).or_default();
        peaks.record(now_ms, needs, moves.surplus_ms);
        let keep = peaks.peak(now_ms, moves.surplus_ms).max(moves.fewest);
        let peaks = self.expected_peaks.entry(pool.clone()).or_default();
        let awaited = world.awaited.get(pool).copied().unwrap_or(0.0);
        let awaited = Load::of_cores(awaited).count(&size).ceil() as usize;
        let standby_surplus_ms = standby.surplus_over_ms(world.round_ms);
        peaks.record(now_ms, expects.max(overdue), standby_surplus_ms);
        Balance {
            name: pool.clone(),
            has: demand.workers.len() - leaving.min(demand.workers.len()),
            incoming: self.transit.count_incoming(pool),
            needs,
            overdue: overdue.max(needs),
            expects,
            keep,
            keep_powered: match peaks.covers(now_ms, standby.watch_ms) {
                true => {
                    let peak = peaks.peak(now_ms, standby_surplus_ms);
                    peak.max(awaited).max(standby.fewest)
                }
                false => usize::MAX,
            },
            allotment: None,
        }
    }

    /// Limits the pools to their allotments if all machines together are fewer than they need.
    fn arbitrate(&mut self, now_ms: u64, pools: &mut [Balance], world: &CapacityInput) {
        let claims: Vec<Claim> = pools
            .iter()
            .map(|pool| Claim::of_pool(pool, world))
            .collect();
        let powered: usize = pools.iter().map(|pool| pool.has + pool.incoming).sum();
        let machines = powered + self.standby.len();
        let rest_part = world.policy.arbitration.rest_part;
        let Some(allotments) = allot(&claims, machines, rest_part) else {
            self.allotted.clear();
            return;
        };
        let kept_ms = world.policy.moves.surplus_ms;
        for (pool, allotment) in pools.iter_mut().zip(allotments) {
            let peaks = self.allotted.entry(pool.name.clone()).or_default();
            peaks.record(now_ms, allotment.machines, kept_ms);
            pool.limit(allotment, peaks.peak(now_ms, kept_ms));
        }
    }

    /// Logs the balance of each pool, so that late jobs can be explained afterwards.
    fn log_balances(&mut self, now_ms: u64, pools: &[Balance], world: &CapacityInput) {
        if now_ms < self.logged_ms + LOG_INTERVAL_MS {
            return;
        }
        self.logged_ms = now_ms;
        for pool in pools {
            let offer = world.offers.get(&pool.name).copied().unwrap_or_default();
            let demand = world.demand.get(&pool.name);
            tracing::info!(
                pool = %pool.name, has = pool.has, coming = pool.incoming, needs = pool.needs,
                overdue = pool.overdue,
                expects = pool.expects,
                off = self.standby.len(),
                idle = demand.map_or(0, PoolDemand::idle),
                lasting = demand.map_or(0.0, |d| d.lasting.cores),
                held = demand.map_or(0.0, |d| d.held.cores),
                work = demand.map_or(0.0, |d| d.work.cores),
                arriving = offer.load.cores,
                rise = offer.rise,
                foreseen = offer.foreseen.cores,
                entitled = demand.map_or(0.0, |d| d.entitled_work().cores),
                beyond_share = demand.map_or(0.0, PoolDemand::beyond_share_part),
                allotted = pool.allotment.map(|a| a.machines),
                "capacity: a pool's balance"
            );
        }
    }

    /// Sends machines to the pools with a deficit, the one with the largest relative deficit
    /// first, until as many moves are to be ordered as are allowed. The rest is decided anew in
    /// the next tick, by the needs of then.
    fn fill_deficits(
        &mut self,
        now_ms: u64,
        pools: &mut [Balance],
        world: &CapacityInput,
        moves_max: usize,
    ) -> Vec<Move> {
        let mut moves = Vec::new();
        for purpose in Purpose::ALL {
            let moves_left = moves_max - moves.len();
            moves.extend(self.fill(now_ms, pools, world, purpose, moves_left));
        }
        moves
    }

    fn fill(
        &mut self,
        now_ms: u64,
        pools: &mut [Balance],
        world: &CapacityInput,
        purpose: Purpose,
        moves_max: usize,
    ) -> Vec<Move> {
        let mut moves = Vec::new();
        if largest_deficit(pools, purpose).is_none() {
            return moves;
        }
        let preempts = world.policy.preemption.enabled
            && pools.iter().any(|pool| pool.entitled_deficit().is_some());
        let mut spare: Vec<Vec<&WorkerUse>> = pools
            .iter()
            .map(|pool| match pool.surplus(purpose) > 0 {
                true => self.spare(now_ms, &pool.name, world, false, preempts),
                false => Vec::new(),
            })
            .collect();
        let mut off = self.available_standby(world);
        while let Some(needy) = largest_deficit(pools, purpose) {
            if moves.len() >= moves_max {
                break;
            }
            let to = pools[needy].name.clone();
            let priority = pools[needy].entitled_deficit();
            let idle = take_surplus(pools, &mut spare, purpose, true);
            let from_standby = match idle {
                Some(_) => None,
                None => off.pop(),
            };
            if let Some(machine) = from_standby {
                self.standby.remove(&machine);
                moves.push(self.transit.depart(now_ms, machine, None, to));
            } else {
                let busy = || take_surplus(pools, &mut spare, purpose, false);
                let Some((worker, machine)) = idle.or_else(busy) else {
                    break;
                };
                moves.extend(self.transit.send(now_ms, worker, machine, to, priority));
            }
            pools[needy].incoming += 1;
        }
        moves
    }

    /// Returns the machines in standby that can be fetched, the best one last. Machines whose
    /// upkeep is due come last: they are better serviced while they are off. A machine in a
    /// zone from which nobody is heard would run where no work reaches it.
    fn available_standby(&mut self, world: &CapacityInput) -> Vec<String> {
        self.visited += self.standby.len() as u64;
        let is_reachable = |off: &Off| {
            let zone = off.zone.as_ref();
            zone.is_none_or(|zone| !world.silent_zones.contains(zone))
        };
        let free = self.standby.iter().filter(|(machine, off)| {
            is_reachable(off)
                && !self.transit.is_in_retry_delay(machine)
                && !world.in_upkeep.contains(*machine)
        });
        let (due, mut free): (Vec<String>, Vec<String>) = free
            .map(|(machine, _)| machine.clone())
            .partition(|machine| world.due.contains(machine));
        free.reverse();
        due.into_iter().rev().chain(free).collect()
    }

    /// Moves machines that no pool needs to standby, those whose upkeep is due first. Each pool
    /// gets a part of the allowed moves by how many machines it does not need.
    fn move_to_standby(
        &mut self,
        now_ms: u64,
        pools: &[Balance],
        world: &CapacityInput,
        standby: &PoolName,
        moves_max: usize,
    ) -> Vec<Move> {
        let mut moves = Vec::new();
        let unneeded: usize = pools.iter().map(Balance::unneeded).sum();
        let moves_max = moves_max.min(unneeded);
        for pool in pools.iter().filter(|pool| pool.unneeded() > 0) {
            let share = (pool.unneeded() * moves_max).div_ceil(unneeded);
            let share = share.min(pool.unneeded()).min(moves_max - moves.len());
            if share == 0 {
                continue;
            }
            let mut spare = self.spare(now_ms, &pool.name, world, true, false);
            for _ in 0..share {
                let Some(worker) = spare.pop().filter(|w| w.passing == 0) else {
                    break;
                };
                let Some(machine) = worker.machine else {
                    break;
                };
                let sent = self
                    .transit
                    .send(now_ms, worker, machine, standby.clone(), None);
                moves.extend(sent);
            }
        }
        moves
    }

    /// Returns the workers of a pool whose machines may be moved, the one that is free soonest
    /// last. Among equals, machines whose upkeep is due are preferred if `due`, others if not.
    /// With `preempts`, runs whose progress is saved when they are stopped delay no machine.
    fn spare<'a>(
        &mut self,
        now_ms: u64,
        pool: &PoolName,
        world: &CapacityInput<'a>,
        due: bool,
        preempts: bool,
    ) -> Vec<&'a WorkerUse<'a>> {
        let is_kept = |machine: &str| {
            let policy = &world.policy.moves;
            self.transit.is_pinned(now_ms, machine, policy) || world.in_upkeep.contains(machine)
        };
        let is_due = |w: &WorkerUse| w.machine.is_some_and(|m| world.due.contains(m));
        let workers = world.demand.get(pool).map_or(&[][..], |d| &d.workers);
        self.visited += workers.len() as u64;
        let mut spare: Vec<&WorkerUse> = workers
            .iter()
            .filter(|w| w.lasting == 0 && !world.busy.contains(w.worker))
            .filter(|w| w.machine.is_some_and(|m| !is_kept(m)))
            .collect();
        spare.sort_by(|a, b| {
            let is_unfavored = |w: &WorkerUse| is_due(w) != due;
            let clearest = match preempts {
                true => a.clear_in_ms.total_cmp(&b.clear_in_ms),
                false => Ordering::Equal,
            };
            let soonest = clearest.then(a.idle_in_ms.total_cmp(&b.idle_in_ms));
            soonest.then(is_unfavored(a).cmp(&is_unfavored(b)))
        });
        spare.reverse();
        spare
    }
}

/// Counts the workers that still run lasting tasks while their machines are being
/// drained for upkeep.
///
/// The tasks that are stopped there need room elsewhere. While such machines counted as
/// available, the pool did not ask for others: the stopped tasks found no worker, the
/// disruption budgets of their steps blocked further stops, and neither the tasks nor the
/// wave made progress.
fn draining_for_upkeep(workers: &[WorkerUse], in_upkeep: &BTreeSet<String>) -> usize {
    if in_upkeep.is_empty() {
        return 0;
    }
    let is_in_upkeep = |w: &&WorkerUse| w.machine.is_some_and(|m| in_upkeep.contains(m));
    let lasting = workers.iter().filter(|w| w.lasting > 0);
    lasting.filter(is_in_upkeep).count()
}

/// Returns the average capacity of a machine.
fn average_size(demand: &BTreeMap<PoolName, PoolDemand<'_>>) -> Load {
    let workers: usize = demand.values().map(|d| d.workers.len()).sum();
    let rooms = demand.values().map(|d| d.room);
    let room = rooms.fold(Load::default(), |sum, room| sum.plus(&room));
    room.times(1.0 / workers.max(1) as f64)
}
