//! Waves: the next instances to take out, and instances lent between pools.

use std::collections::BTreeMap;

use crate::model::{Absence, Duty, Instance, InstanceName, PoolName, WaveName};

use super::super::pace::{PoolPace, next_loan, next_visit};
use super::super::{Cause, FleetCommand, Wave, WaveSpec, WaveState};
use super::{Controller, Step};

/// Why an instance is lent.
#[derive(derive_more::Display)]
enum LoanCause<'a> {
    /// A wave ends earlier by it.
    #[display("lent for wave {wave}, which wins {won_s} s")]
    Wave { wave: &'a WaveName, won_s: u64 },
    /// Repair could not make the pool whole.
    #[display("lent because the pool's budget stays broken")]
    Broken,
}

impl Controller {
    pub(super) fn run_waves(&mut self, step: &mut Step<'_>) {
        let fleet = step.fleet;
        for wave in fleet.waves().values() {
            if wave.state != WaveState::Running {
                continue;
            }
            // A free slot may be worth more to the pool that is last.
            self.lend_for(step, wave);
            for pool in wave.pending.keys() {
                while self.visit(step, wave, pool) {}
            }
        }
    }

    /// Proposes the next visit in a pool, if its budget has room.
    fn visit(&mut self, step: &mut Step<'_>, wave: &Wave, pool: &PoolName) -> bool {
        let Some(budget) = step.fleet.pools().get(pool).map(|p| p.budget) else {
            return false;
        };
        // Most steps find no room: they must not walk the pool's pending ones.
        if step.room(pool).width_bound(&budget) == 0 {
            return false;
        }
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
        let paces = paces(step, wave, self.settings.borrow_after_ms);
        let WaveSpec {
            weights,
            drain_ms,
            spread_percent,
            ..
        } = &wave.spec;
        let Some(loan) = next_loan(&paces, weights, *drain_ms, *spread_percent) else {
            return;
        };
        let cause = LoanCause::Wave {
            wave: &wave.spec.name,
            won_s: loan.won_ms / 1_000,
        };
        self.lend(step, &loan.from, &loan.to, &cause);
    }

    /// Proposes to lend an instance that no wave still has to visit; to a broken
    /// pool, if need be, also one that takes its turn along.
    fn lend(&mut self, step: &mut Step<'_>, from: &PoolName, to: &PoolName, cause: &LoanCause<'_>) {
        let pools = step.fleet.pools();
        let (Some(donor), Some(borrower)) = (pools.get(from), pools.get(to)) else {
            return;
        };
        let room_to = step.room(to).clone();
        let gains = |instance: &&Instance| room_to.gains_by(&instance.rack, &borrower.budget);
        let ready = |instance: &&Instance| self.is_ready(step, &instance.name);
        let members: Vec<&Instance> = step.members(from).filter(gains).filter(ready).collect();
        let visited = |instance: &&Instance| !is_pending(step, from, &instance.name);
        let visited: Vec<&Instance> = members.iter().copied().filter(visited).collect();
        let room = step.room(from);
        let mut next = next_visit(room, &donor.budget, visited.into_iter());
        if matches!(cause, LoanCause::Broken) {
            next = next.or_else(|| next_visit(room, &donor.budget, members.into_iter()));
        }
        let Some(name) = next.map(|instance| instance.name.clone()) else {
            return;
        };
        let command = FleetCommand::Lend {
            instance: name.clone(),
            to: to.clone(),
            reason: cause.to_string(),
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
            self.lend(step, from, pool, &LoanCause::Broken);
        }
    }
}

fn paces(step: &mut Step<'_>, wave: &Wave, mend_ms: u64) -> Vec<PoolPace> {
    let coming = coming(step);
    let fleet = step.fleet;
    let out = out_ms(step, wave);
    let mut paces = Vec::with_capacity(fleet.pools().len());
    for (name, pool) in fleet.pools() {
        let out_ms = out.get(name).map_or(&[][..], Vec::as_slice);
        // A visit that takes longer than expected tells so before its end.
        let longest_ms = out_ms.iter().copied().max().unwrap_or(0);
        let visit_ms = wave.pool_visit_ms(name).max(longest_ms);
        let mut slots_ms: Vec<u64> = out_ms.iter().map(|ms| visit_ms - ms).collect();
        let coming = coming.get(name).copied().unwrap_or(0);
        slots_ms.extend((0..coming).map(|_| wave.spec.drain_ms));
        // What is free in the fleet, open proposals not taken off: those are not
        // among the ones that are out yet.
        let more = fleet
            .tally(name)
            .map_or(0, |t| t.room().width_bound(&pool.budget));
        slots_ms.extend((0..more).map(|_| 0));
        // A pool that is stuck over failed instances gets its room back by repair.
        if slots_ms.is_empty() && is_mending(step, name) {
            slots_ms.push(mend_ms);
        }
        let pending = wave.pending.get(name).map_or(0, |set| set.len());
        paces.push(PoolPace {
            pool: name.clone(),
            pending: u32::try_from(pending).unwrap_or(u32::MAX),
            slots_ms,
            visit_ms,
            spare: step.room(name).width_bound(&pool.budget),
        });
    }
    paces
}

fn is_mending(step: &Step<'_>, pool: &PoolName) -> bool {
    let absent = step.fleet.budget_use(pool).map(|used| used.absent);
    let mending = |cause: &Cause| matches!(cause, Cause::Failed | Cause::Repair);
    absent.is_some_and(|absent| absent.keys().any(mending))
}

/// By pool: how long each instance that the wave has out is out already.
fn out_ms<'a>(step: &Step<'a>, wave: &Wave) -> BTreeMap<&'a PoolName, Vec<u64>> {
    let mut out: BTreeMap<&PoolName, Vec<u64>> = BTreeMap::new();
    for (name, since_unix_ms) in &wave.out {
        if let Some(instance) = step.fleet.instances().get(name) {
            let out_ms = step.observed.unix_ms.saturating_sub(*since_unix_ms);
            out.entry(&instance.pool).or_default().push(out_ms);
        }
    }
    out
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
