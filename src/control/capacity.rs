//! Which machines move between pools, and which are off.
//!
//! Answers demand that goes round: each pool in its turn has several times the work
//! that its machines can do, while the others have little. Without moves the pool
//! whose turn it is turns jobs late for the whole turn beside idle machines. Machines
//! that run nothing lasting go from pools with more than they need to those with
//! less; those that nobody needs for a while go to standby, where they are not paid
//! for. A machine that just came stays for a while, so that a short lull moves nothing
//! back and forth.

mod balance;
mod peaks;
mod travel;

use std::collections::{BTreeMap, BTreeSet};

use super::demand::{PoolDemand, WorkerUse};
use super::{Load, Machine, MachinePhase, Offer, Policy, State};
use crate::model::{InstanceName, PoolName};
use balance::Balance;
use peaks::Peaks;
use travel::Travel;

/// How often the pools' balances are told: a turn is several times as long, and tens of
/// pools are tens of lines.
const TELL_MS: u64 = 1_000;

/// A move to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The machine.
    pub machine: String,
    /// The pool that it goes to.
    pub pool: PoolName,
}

/// What the plan for the pools looks at.
#[derive(Clone, Copy, Debug)]
pub struct CapacityWorld<'a> {
    /// The replicated state.
    pub state: &'a State,
    /// What each pool has and has to do.
    pub demand: &'a BTreeMap<PoolName, PoolDemand>,
    /// What is asked of each pool, now and soon.
    pub offers: &'a BTreeMap<PoolName, Offer>,
    /// Workers that are spoken for by others.
    pub busy: &'a BTreeSet<InstanceName>,
    /// Machines that are down for upkeep, or about to be.
    pub taken: &'a BTreeSet<String>,
    /// Machines whose upkeep is due.
    pub due: &'a BTreeSet<String>,
    /// The weights.
    pub policy: &'a Policy,
}

/// The leader's plan of who goes where.
#[derive(Debug, Default)]
pub struct Capacity {
    /// Machines that are off, with their standby pools.
    standby: BTreeMap<String, PoolName>,
    travel: Travel,
    /// What each pool needed lately.
    peaks: BTreeMap<PoolName, Peaks>,
    told_ms: u64,
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
            .filter(|m| !self.travel.is_moving(&m.name))
            .map(|m| (m.name.clone(), m.pool.clone()))
            .collect();
        self.travel.listed(now_ms, machines);
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
        self.travel.closed()
    }

    /// A move was done; the machine is on its way.
    pub fn moved(&mut self, now_ms: u64, state: &State, machine: &str, pool: &PoolName) {
        self.standby.remove(machine);
        let off = state
            .configuration()
            .is_some_and(|c| c.standby().contains(pool));
        if off {
            self.standby.insert(machine.to_owned(), pool.clone());
        }
        self.travel.moved(now_ms, machine, pool, off);
    }

    /// A move was refused.
    pub fn refused(&mut self, now_ms: u64, machine: &str) {
        self.travel.refused(now_ms, machine);
    }

    /// What to move now.
    pub fn tick(&mut self, now_ms: u64, world: &CapacityWorld) -> Vec<Move> {
        let Some(configuration) = world.state.configuration() else {
            return Vec::new();
        };
        self.travel.arrivals(now_ms, world.state, world.demand);
        let used: BTreeSet<&PoolName> = configuration.queues.iter().map(|q| &q.pool).collect();
        let off = configuration.standby();
        let mut pools: Vec<Balance> = used
            .iter()
            .filter(|pool| !off.contains(**pool))
            .map(|pool| self.balance(now_ms, pool, world))
            .collect();
        self.tell(now_ms, &pools, world);
        let policy = world.policy;
        let mut moves = self
            .travel
            .empty_ones(now_ms, world.demand, world.busy, &policy.moves);
        if policy.moves.enabled {
            self.fill(now_ms, &mut pools, world, &mut moves);
        }
        if let Some(pool) = off.iter().next().filter(|_| policy.standby.enabled) {
            self.rest(now_ms, &pools, world, pool, &mut moves);
        }
        moves
    }

    fn balance(&mut self, now_ms: u64, pool: &PoolName, world: &CapacityWorld) -> Balance {
        let none = PoolDemand::default();
        let here = world.demand.get(pool).unwrap_or(&none);
        let size = here.size().unwrap_or_else(|| average_size(world.demand));
        let offer = world.offers.get(pool).copied().unwrap_or_default();
        let leaving = self.travel.leaving(&here.workers) + emptied(&here.workers, world.taken);
        let needs = here.needed_machines(&size, &offer, &world.policy.needs);
        let (moves, standby) = (&world.policy.moves, &world.policy.standby);
        let peaks = self.peaks.entry(pool.clone()).or_default();
        peaks.note(now_ms, needs, moves.surplus_ms.max(standby.surplus_ms));
        Balance {
            name: pool.clone(),
            has: here.workers.len() - leaving.min(here.workers.len()),
            coming: self.travel.coming(pool),
            needs,
            keeps: peaks.peak(now_ms, moves.surplus_ms).max(moves.fewest),
            keeps_on: match peaks.is_watched(now_ms, standby.watch_ms) {
                true => peaks.peak(now_ms, standby.surplus_ms).max(standby.fewest),
                false => usize::MAX,
            },
        }
    }

    /// Says how each pool stands, so that a bad minute can be explained later.
    fn tell(&mut self, now_ms: u64, pools: &[Balance], world: &CapacityWorld) {
        if now_ms < self.told_ms + TELL_MS {
            return;
        }
        self.told_ms = now_ms;
        for pool in pools {
            let offer = world.offers.get(&pool.name).copied().unwrap_or_default();
            let demand = world.demand.get(&pool.name);
            tracing::info!(
                pool = %pool.name, has = pool.has, coming = pool.coming, needs = pool.needs,
                off = self.standby.len(),
                idle = demand.map_or(0, PoolDemand::idle),
                lasting = demand.map_or(0.0, |d| d.lasting.cores),
                held = demand.map_or(0.0, |d| d.held.cores),
                work = demand.map_or(0.0, |d| d.work.cores),
                arriving = offer.load.cores,
                rise = offer.rise,
                foreseen = offer.foreseen.cores,
                "capacity: a pool's balance"
            );
        }
    }

    /// Sends machines to the pools with too little, the neediest first.
    fn fill(
        &mut self,
        now_ms: u64,
        pools: &mut [Balance],
        world: &CapacityWorld,
        moves: &mut Vec<Move>,
    ) {
        let mut spare: Vec<Vec<&WorkerUse>> = pools
            .iter()
            .map(
                |pool| match neediest(pools).is_some() && pool.surplus() > 0 {
                    true => self.spare(now_ms, &pool.name, world, false),
                    false => Vec::new(),
                },
            )
            .collect();
        while let Some(needy) = neediest(pools) {
            let to = pools[needy].name.clone();
            let sent = self.give(now_ms, pools, &mut spare, &to, true, moves)
                || self.wake(now_ms, world, &to, moves)
                || self.give(now_ms, pools, &mut spare, &to, false, moves);
            if !sent {
                return;
            }
            pools[needy].coming += 1;
        }
    }

    /// Takes a machine from the pool with the largest surplus; `idle` takes only one on
    /// which nothing runs, which is there a second earlier than one that is emptied.
    fn give(
        &mut self,
        now_ms: u64,
        pools: &mut [Balance],
        spare: &mut [Vec<&WorkerUse>],
        to: &PoolName,
        idle: bool,
        moves: &mut Vec<Move>,
    ) -> bool {
        // A machine whose emptying was given up in this look is spare, but counted as its
        // pool's own from the next look on. A pool with machines on their way could else
        // give more than it counts: the count wraps, and a checked build ends.
        let has_some = |p: &usize| pools[*p].has > 0 && pools[*p].surplus() > 0;
        let givers = (0..pools.len()).filter(has_some);
        let fits = |p: &usize| {
            let easiest = spare[*p].last();
            easiest.is_some_and(|worker| !idle || worker.passing == 0)
        };
        let giver = givers.filter(fits).max_by_key(|p| pools[*p].surplus());
        let Some((giver, worker)) = giver.and_then(|p| Some((p, spare[p].pop()?))) else {
            return false;
        };
        let Some(machine) = worker.machine.clone() else {
            return false;
        };
        pools[giver].has -= 1;
        let sent = self.travel.send(now_ms, worker, machine, to.clone());
        moves.extend(sent);
        true
    }

    /// Takes a machine that is off; one whose upkeep is due had better have it there.
    fn wake(
        &mut self,
        now_ms: u64,
        world: &CapacityWorld,
        to: &PoolName,
        moves: &mut Vec<Move>,
    ) -> bool {
        let free = self
            .standby
            .keys()
            .filter(|m| !self.travel.rests(m) && !world.taken.contains(*m));
        let machine = free.min_by_key(|m| world.due.contains(*m)).cloned();
        let Some(machine) = machine else {
            return false;
        };
        self.standby.remove(&machine);
        moves.push(self.travel.set_out(now_ms, machine, to.clone()));
        true
    }

    /// Machines that nobody needs go off, those whose upkeep is due first.
    fn rest(
        &mut self,
        now_ms: u64,
        pools: &[Balance],
        world: &CapacityWorld,
        off: &PoolName,
        moves: &mut Vec<Move>,
    ) {
        for pool in pools.iter().filter(|pool| pool.idle() > 0) {
            let mut spare = self.spare(now_ms, &pool.name, world, true);
            for _ in 0..pool.idle() {
                let Some(worker) = spare.pop().filter(|w| w.passing == 0) else {
                    break;
                };
                let Some(machine) = worker.machine.clone() else {
                    break;
                };
                let sent = self.travel.send(now_ms, worker, machine, off.clone());
                moves.extend(sent);
            }
        }
    }

    /// The machines of a pool that may be taken away, the easiest last; among equals one
    /// whose upkeep is due, or one whose is not.
    fn spare<'a>(
        &self,
        now_ms: u64,
        pool: &PoolName,
        world: &CapacityWorld<'a>,
        due: bool,
    ) -> Vec<&'a WorkerUse> {
        let stays = |machine: &String| {
            let policy = &world.policy.moves;
            self.travel.stays(now_ms, machine, policy) || world.taken.contains(machine)
        };
        let is_due = |w: &WorkerUse| w.machine.as_ref().is_some_and(|m| world.due.contains(m));
        let workers = world.demand.get(pool).into_iter().flat_map(|d| &d.workers);
        let mut spare: Vec<&WorkerUse> = workers
            .filter(|w| w.lasting == 0 && !world.busy.contains(&w.worker))
            .filter(|w| w.machine.as_ref().is_some_and(|m| !stays(m)))
            .collect();
        spare.sort_by(|a, b| {
            let wrong = |w: &WorkerUse| is_due(w) != due;
            let soonest = a.empties_ms.total_cmp(&b.empties_ms);
            soonest.then(wrong(a).cmp(&wrong(b)))
        });
        spare.reverse();
        spare
    }
}

/// How many of some workers are being emptied of lasting tasks for their upkeep.
///
/// What is stopped there needs a place elsewhere. Counted as the pool's own, such machines
/// hid that it had none: the tasks stayed away, the rest of their steps could not be stopped
/// beside them, and neither the tasks nor the wave went on.
fn emptied(workers: &[WorkerUse], taken: &BTreeSet<String>) -> usize {
    let is_taken = |w: &&WorkerUse| w.machine.as_ref().is_some_and(|m| taken.contains(m));
    let lasting = workers.iter().filter(|w| w.lasting > 0);
    lasting.filter(is_taken).count()
}

/// The pool that lacks the largest part of its need.
fn neediest(pools: &[Balance]) -> Option<usize> {
    (0..pools.len())
        .filter(|p| pools[*p].lack() > 0)
        .max_by_key(|p| pools[*p].lack_per_mille())
}

/// The room of a machine on average.
fn average_size(demand: &BTreeMap<PoolName, PoolDemand>) -> Load {
    let workers: usize = demand.values().map(|d| d.workers.len()).sum();
    let rooms = demand.values().map(|d| d.room);
    let room = rooms.fold(Load::default(), |sum, room| sum.plus(&room));
    room.times(1.0 / workers.max(1) as f64)
}
