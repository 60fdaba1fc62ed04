//! Simulates a wave as the controller would run it, without failures.
//!
//! Every pool takes instances out as soon as its budget has room. A pool may lend its
//! spare instances to the pool that finishes last, if that is worth the moves. Each
//! visit costs a scan of the pool's racks if its budget survives a rack, and
//! logarithmic time otherwise.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::model::{Budget, Instance, InstanceName, PoolName};

use super::bounds::{PoolVisits, Visit, moves_bound, rollout_bound_ms};
use super::pace::{Loan, PoolProgress, exclude_donor, next_loan, next_visit};
use super::plan::{Figures, Plan, Step, Work};
use super::{Cause, Fleet, Room, WaveSpec};

/// Plans a wave on the current state of the fleet.
pub fn plan(fleet: &Fleet, spec: &WaveSpec) -> Plan {
    let mut planner = Planner::new(fleet, spec);
    let bounds = planner.visits();
    planner.run();
    planner.finish(&bounds)
}

struct Planner<'a> {
    fleet: &'a Fleet,
    spec: &'a WaveSpec,
    pools: BTreeMap<&'a PoolName, PoolState<'a>>,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    /// Pools that changed since visits were last started in them.
    dirty: BTreeSet<&'a PoolName>,
    steps: Vec<Step>,
    away: u32,
    away_peak: u32,
    now_ms: u64,
    rollout_ms: u64,
    loan_starts_ms: Vec<u64>,
}

struct PoolState<'a> {
    budget: Budget,
    room: Room,
    pending: BTreeSet<&'a InstanceName>,
    /// Serving instances that were visited or need no visit.
    idle: BTreeSet<&'a InstanceName>,
    /// When the instances that are out or moving in are expected, in milliseconds from
    /// the wave's start.
    expected_ms: Vec<u64>,
}

impl<'a> Planner<'a> {
    fn new(fleet: &'a Fleet, spec: &'a WaveSpec) -> Self {
        let mut planner = Self {
            fleet,
            spec,
            pools: BTreeMap::new(),
            events: BinaryHeap::new(),
            dirty: BTreeSet::new(),
            steps: Vec::new(),
            away: 0,
            away_peak: 0,
            now_ms: 0,
            rollout_ms: 0,
            loan_starts_ms: Vec::new(),
        };
        for (name, pool) in fleet.pools() {
            planner.pools.insert(
                name,
                PoolState {
                    budget: pool.budget,
                    room: fleet
                        .tally(name)
                        .map(|t| t.room().clone())
                        .unwrap_or_default(),
                    pending: BTreeSet::new(),
                    idle: BTreeSet::new(),
                    expected_ms: Vec::new(),
                },
            );
            planner.dirty.insert(name);
        }
        for instance in fleet.instances().values() {
            planner.add_instance(instance);
        }
        planner
    }

    fn add_instance(&mut self, instance: &'a Instance) {
        let failed = self.fleet.is_failed(&instance.name);
        let Some(pool) = self.pools.get_mut(&instance.pool) else {
            return;
        };
        if Cause::of(instance, failed).is_some() {
            return;
        }
        if self.spec.selection.holds(instance) {
            pool.pending.insert(&instance.name);
        } else {
            pool.idle.insert(&instance.name);
        }
    }

    fn visits(&self) -> Vec<PoolVisits> {
        let takes_ms = self.spec.visit_ms();
        let visit = |instance: &Instance| Visit {
            rack: instance.rack.clone(),
            takes_ms,
        };
        let instances = self.fleet.instances();
        let visits = |pool: &PoolState<'_>| PoolVisits {
            visits: pool
                .pending
                .iter()
                .filter_map(|i| instances.get(*i))
                .map(visit)
                .collect(),
            room: pool.room.clone(),
            budget: pool.budget,
        };
        self.pools.values().map(visits).collect()
    }

    /// Runs the simulation. Steps that end at the same time are handled together, so
    /// that a free slot may be lent before its own pool uses it again.
    fn run(&mut self) {
        loop {
            while self.start_next_loan() {}
            while let Some(name) = self.dirty.pop_first() {
                self.start_visits(name);
            }
            let Some(Reverse((at_ms, _))) = self.events.peek() else {
                return;
            };
            self.now_ms = *at_ms;
            while let Some(step) = self.next_ended() {
                self.end_step(step);
            }
        }
    }

    fn next_ended(&mut self) -> Option<usize> {
        let Reverse((at_ms, step)) = *self.events.peek()?;
        if at_ms > self.now_ms {
            return None;
        }
        self.events.pop();
        Some(step)
    }

    fn start_visits(&mut self, name: &'a PoolName) {
        loop {
            let fleet = self.fleet;
            let Some(pool) = self.pools.get_mut(name) else {
                return;
            };
            let candidates = pool
                .pending
                .iter()
                .filter_map(|i| fleet.instances().get(*i));
            let Some(next) = next_visit(&pool.room, &pool.budget, candidates) else {
                return;
            };
            pool.pending.remove(&next.name);
            pool.room.remove_serving(&next.rack);
            pool.expected_ms.push(self.now_ms + self.spec.visit_ms());
            self.start(next, name, Work::Visit, self.spec.visit_ms());
        }
    }

    fn start(&mut self, instance: &Instance, pool: &PoolName, work: Work, takes_ms: u64) {
        let end_ms = self.now_ms + takes_ms;
        self.events.push(Reverse((end_ms, self.steps.len())));
        self.steps.push(Step {
            start_ms: self.now_ms,
            end_ms,
            instance: instance.name.clone(),
            pool: pool.clone(),
            work,
        });
        self.away += 1;
        self.away_peak = self.away_peak.max(self.away);
    }

    fn end_step(&mut self, index: usize) {
        let step = &self.steps[index];
        let Some(instance) = self.fleet.instances().get(&step.instance) else {
            return;
        };
        let home = match &step.work {
            Work::Visit => &step.pool,
            Work::Lend(to) => to,
        };
        let Some((name, pool)) = self
            .pools
            .get_key_value(home)
            .map(|(name, _)| (*name, home))
        else {
            return;
        };
        let visit = step.work == Work::Visit;
        if let Some(state) = self.pools.get_mut(pool) {
            if !visit {
                state.room.add_member(&instance.rack);
            }
            state.room.add_serving(&instance.rack);
            state.idle.insert(&instance.name);
            let expected = state.expected_ms.iter().position(|ms| *ms == step.end_ms);
            if let Some(expected) = expected {
                state.expected_ms.swap_remove(expected);
            }
        }
        if visit {
            self.away -= 1;
            self.rollout_ms = self.now_ms;
        }
        self.dirty.insert(name);
    }

    /// Starts the next loan that is worth its cost and returns whether there was one.
    fn start_next_loan(&mut self) -> bool {
        let visit_ms = self.spec.visit_ms();
        let pools = self.pools.iter();
        let progress = pools.map(|(name, pool)| pool.progress(name, self.now_ms, visit_ms));
        let mut progress: Vec<PoolProgress> = progress.collect();
        let WaveSpec {
            weights,
            drain_ms,
            spread_percent,
            ..
        } = self.spec;
        while let Some(loan) = next_loan(&progress, weights, *drain_ms, *spread_percent) {
            if let Some(next) = self.choose_instance(&loan) {
                self.start_loan(next, loan);
                return true;
            }
            exclude_donor(&mut progress, &loan.from);
        }
        false
    }

    /// Chooses an instance that the donor can spare and that gives the borrower room.
    fn choose_instance(&self, loan: &Loan) -> Option<&'a Instance> {
        let (donor, borrower) = (self.pools.get(&loan.from)?, self.pools.get(&loan.to)?);
        let fleet = self.fleet;
        let idle = donor.idle.iter().filter_map(|i| fleet.instances().get(*i));
        let idle = idle.filter(|i| borrower.room.gains_room_from(&i.rack, &borrower.budget));
        next_visit(&donor.room, &donor.budget, idle)
    }

    fn start_loan(&mut self, next: &'a Instance, loan: Loan) {
        let drain_ms = self.spec.drain_ms;
        if let Some(donor) = self.pools.get_mut(&loan.from) {
            donor.idle.remove(&next.name);
            donor.room.remove_serving(&next.rack);
            donor.room.remove_member(&next.rack);
        }
        if let Some(borrower) = self.pools.get_mut(&loan.to) {
            borrower.expected_ms.push(self.now_ms + drain_ms);
        }
        self.loan_starts_ms.push(self.now_ms);
        self.start(next, &loan.from, Work::Lend(loan.to), drain_ms);
    }

    fn finish(self, visits: &[PoolVisits]) -> Plan {
        let work_ms: u64 = visits
            .iter()
            .flat_map(|v| &v.visits)
            .map(|v| v.takes_ms)
            .sum();
        let done = self.steps.iter().filter(|s| s.work == Work::Visit).count();
        let done_ms = u64::try_from(done).unwrap_or(u64::MAX) * self.spec.visit_ms();
        let lent_ms: u64 = self
            .loan_starts_ms
            .iter()
            .map(|at| self.rollout_ms.saturating_sub(*at))
            .sum();
        let moves = 2 * u32::try_from(self.loan_starts_ms.len()).unwrap_or(u32::MAX);
        let bound_ms = rollout_bound_ms(visits, moves / 2).unwrap_or(0);
        let at_once = work_ms.div_ceil(self.rollout_ms.max(1));
        Plan {
            wave: self.spec.name.clone(),
            stuck: self.stuck(),
            expected: Figures {
                rollout_ms: self.rollout_ms,
                moves,
                buffer_instance_ms: done_ms + lent_ms,
                buffer_peak: self.away_peak,
            },
            bound: Figures {
                rollout_ms: bound_ms,
                moves: moves_bound(visits, self.rollout_ms),
                buffer_instance_ms: work_ms,
                buffer_peak: u32::try_from(at_once).unwrap_or(u32::MAX),
            },
            latest_ms: self.rollout_ms * u64::from(100 + self.spec.spread_percent) / 100,
            steps: self.steps,
        }
    }

    fn stuck(&self) -> Vec<String> {
        let left = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.pending.is_empty());
        left.filter_map(|(name, pool)| {
            let used = self.fleet.budget_use(name)?;
            Some(format!("{} instances left, {used}", pool.pending.len()))
        })
        .collect()
    }
}

impl PoolState<'_> {
    fn progress(&self, name: &PoolName, now_ms: u64, visit_ms: u64) -> PoolProgress {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let more = self.room.width_bound(&self.budget);
        let expected = self.expected_ms.iter();
        let mut slots_ms: Vec<u64> = expected.map(|ms| ms - now_ms).collect();
        slots_ms.extend((0..more).map(|_| 0));
        PoolProgress {
            pool: name.clone(),
            pending: count(self.pending.len()),
            slots_ms,
            visit_ms,
            spare: more.min(count(self.idle.len())),
        }
    }
}
