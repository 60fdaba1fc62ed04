//! Waves: the next instances to take out, and instances lent between pools.

use std::collections::BTreeMap;

use crate::model::{Absence, Duty, Instance, InstanceName, PoolName};

use super::super::pace::{PoolPace, next_loan, next_visit};
use super::super::{FleetCommand, Wave, WaveState};
use super::{Controller, Step};

impl Controller {
    pub(super) fn run_waves(&mut self, step: &mut Step<'_>) {
        let fleet = step.fleet;
        for wave in fleet.waves().values() {
            if wave.state != WaveState::Running {
                continue;
            }
            for pool in wave.pending.keys() {
                while self.visit(step, wave, pool) {}
            }
            self.lend_for(step, wave);
        }
    }

    /// Proposes the next visit in a pool, if its budget has room.
    fn visit(&mut self, step: &mut Step<'_>, wave: &Wave, pool: &PoolName) -> bool {
        let Some(budget) = step.fleet.pools().get(pool).map(|p| p.budget) else {
            return false;
        };
        let fleet = step.fleet;
        let pending = wave.pending.get(pool).into_iter().flatten();
        let put_off = |name: &InstanceName| wave.put_off.get(name).copied().unwrap_or(0);
        let ready = pending.filter(|name| self.is_ready(step, name));
        let ready: Vec<&InstanceName> = ready.collect();
        // One whose drain failed waits until all others had their turn.
        let least = ready.iter().map(|name| put_off(name)).min();
        let ready = ready
            .into_iter()
            .filter(|name| Some(put_off(name)) == least);
        let ready = ready.filter_map(|name| fleet.instances().get(name));
        let next = next_visit(step.room(pool), &budget, ready);
        let Some(name) = next.map(|instance| instance.name.clone()) else {
            return false;
        };
        let command = FleetCommand::BeginAbsence {
            wave: wave.spec.name.clone(),
            instance: name.clone(),
        };
        self.propose(step, &name, command)
    }

    fn is_ready(&self, step: &Step<'_>, name: &InstanceName) -> bool {
        let serving = step.fleet.instances().get(name);
        serving.is_some_and(|instance| instance.duty == Duty::Serving)
            && !step.fleet.is_failed(name)
            && !self.proposed.contains_key(name)
    }

    fn lend_for(&mut self, step: &mut Step<'_>, wave: &Wave) {
        let paces = paces(step, wave);
        let drain_ms = wave.spec.drain_ms;
        let weights = &wave.spec.weights;
        let Some(loan) = next_loan(&paces, weights, wave.visit_ms(), drain_ms) else {
            return;
        };
        let reason = format!(
            "lent for wave {}, which wins {} s",
            wave.spec.name,
            loan.won_ms / 1_000
        );
        self.lend(step, &loan.from, &loan.to, reason);
    }

    /// Proposes to lend an instance, one that no wave still has to visit first.
    fn lend(&mut self, step: &mut Step<'_>, from: &PoolName, to: &PoolName, reason: String) {
        let Some(budget) = step.fleet.pools().get(from).map(|p| p.budget) else {
            return;
        };
        let free = |instance: &&Instance| {
            self.is_ready(step, &instance.name) && !is_pending(step, from, &instance.name)
        };
        let members: Vec<&Instance> = step.members(from).filter(free).collect();
        let next = next_visit(step.room(from), &budget, members.into_iter());
        let Some(name) = next.map(|instance| instance.name.clone()) else {
            return;
        };
        let command = FleetCommand::Lend {
            instance: name.clone(),
            to: to.clone(),
            reason,
        };
        self.propose(step, &name, command);
    }

    /// Takes lent instances home once their borrower can do without them, and
    /// lends to pools that repair could not make whole.
    pub(super) fn settle_loans(&mut self, step: &mut Step<'_>) {
        let fleet = step.fleet;
        for (name, home) in fleet.loans() {
            let Some(instance) = fleet.instances().get(name) else {
                continue;
            };
            let settled = instance.pool != *home && self.is_ready(step, name);
            if settled && !is_wanted(step, &instance.pool) && self.can_spare(step, instance) {
                let command = FleetCommand::Lend {
                    instance: name.clone(),
                    to: home.clone(),
                    reason: "taken home".to_owned(),
                };
                self.propose(step, name, command);
            }
        }
        for pool in fleet.broken() {
            self.mend(step, pool);
        }
    }

    fn can_spare(&self, step: &mut Step<'_>, instance: &Instance) -> bool {
        let budget = step.fleet.pools().get(&instance.pool).map(|p| p.budget);
        budget.is_some_and(|b| step.room(&instance.pool).holds_without(&instance.rack, &b))
    }

    /// Lends one instance at a time to a pool that stays broken, from the pool
    /// with the most to spare.
    fn mend(&mut self, step: &mut Step<'_>, pool: &PoolName) {
        let since_ms = self.broken_since_ms.get(pool).copied();
        let broken_ms = since_ms.map_or(0, |since| step.now_ms.saturating_sub(since));
        let coming = coming(step).get(pool).copied().unwrap_or(0);
        if broken_ms < self.settings.borrow_after_ms || coming > 0 {
            return;
        }
        let mut donor: Option<(u32, &PoolName)> = None;
        for (name, candidate) in step.fleet.pools() {
            let spare = step.room(name).width_bound(&candidate.budget);
            if name != pool && spare > donor.map_or(0, |(most, _)| most) {
                donor = Some((spare, name));
            }
        }
        if let Some((_, from)) = donor {
            self.lend(
                step,
                from,
                pool,
                format!("lent because {pool} stays broken"),
            );
        }
    }
}

fn paces(step: &mut Step<'_>, wave: &Wave) -> Vec<PoolPace> {
    let coming = coming(step);
    let fleet = step.fleet;
    let mut out: BTreeMap<&PoolName, u32> = BTreeMap::new();
    for name in wave.out.keys() {
        if let Some(instance) = fleet.instances().get(name) {
            *out.entry(&instance.pool).or_default() += 1;
        }
    }
    let mut paces = Vec::with_capacity(fleet.pools().len());
    for (name, pool) in fleet.pools() {
        let more = step.room(name).width_bound(&pool.budget);
        let out = out.get(name).copied().unwrap_or(0);
        let pending = wave.pending.get(name).map_or(0, |set| set.len());
        let pending = u32::try_from(pending).unwrap_or(u32::MAX);
        let coming = coming.get(name).copied().unwrap_or(0);
        paces.push(PoolPace {
            pool: name.clone(),
            pending,
            out,
            width: out + more + coming,
            // A pool that still has visits to make lends nothing of its own.
            spare: if is_wanted(step, name) { 0 } else { more },
        });
    }
    paces
}

/// Instances on their way into each pool.
fn coming<'a>(step: &Step<'a>) -> BTreeMap<&'a PoolName, u32> {
    let mut coming = BTreeMap::new();
    for name in step.fleet.absent() {
        let duty = step.fleet.instances().get(name).map(|i| &i.duty);
        if let Some(Duty::Draining {
            absence: Absence::Move { to },
        }) = duty
        {
            *coming.entry(to).or_default() += 1;
        }
    }
    coming
}

/// Whether an active wave still has visits to make in the pool.
fn is_wanted(step: &Step<'_>, pool: &PoolName) -> bool {
    let mut waves = step.fleet.waves().values();
    waves.any(|wave| wave.is_active() && wave.pending.contains_key(pool))
}

fn is_pending(step: &Step<'_>, pool: &PoolName, name: &InstanceName) -> bool {
    let mut waves = step.fleet.waves().values().filter(|wave| wave.is_active());
    waves.any(|wave| wave.pending.get(pool).is_some_and(|set| set.contains(name)))
}
