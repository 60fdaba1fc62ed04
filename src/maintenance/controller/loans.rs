//! Instances lent between pools: for a wave that ends earlier by it, or to a pool
//! that repair could not make whole; and taken home when they are not needed.

use std::collections::BTreeMap;

use crate::model::{Absence, DesiredState, Instance, InstanceName, Pool, PoolName, WaveName};

use super::super::pace::{PoolPace, next_loan, next_visit, no_spare};
use super::super::{Cause, FleetCommand, Wave, WaveSpec};
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
    pub(super) fn lend_for(&mut self, step: &mut Step<'_>, wave: &Wave) {
        let mut paces = paces(step, wave, self.settings.repair_after_ms);
        let WaveSpec {
            weights,
            drain_ms,
            spread_percent,
            ..
        } = &wave.spec;
        while let Some(loan) = next_loan(&paces, weights, *drain_ms, *spread_percent) {
            let cause = LoanCause::Wave {
                wave: &wave.spec.name,
                won_s: loan.won_ms / 1_000,
            };
            if self.lend(step, &loan.from, &loan.to, &cause) {
                return;
            }
            no_spare(&mut paces, &loan.from);
        }
    }

    /// Proposes to lend an instance that no wave still has to visit; to a broken
    /// pool, if need be, also one that takes its turn along.
    fn lend(
        &mut self,
        step: &mut Step<'_>,
        from: &PoolName,
        to: &PoolName,
        cause: &LoanCause<'_>,
    ) -> bool {
        let pools = step.fleet.pools();
        let (Some(donor), Some(borrower)) = (pools.get(from), pools.get(to)) else {
            return false;
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
            return false;
        };
        let command = FleetCommand::Lend {
            instance: name.clone(),
            to: to.clone(),
            reason: cause.to_string(),
        };
        self.propose(step, &name, command)
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
        let pools = step.fleet.pools().iter().filter(|(name, _)| *name != pool);
        let spare = pools.map(|(name, donor)| (step.room(name).width_bound(&donor.budget), name));
        let mut donors: Vec<(u32, &PoolName)> = spare.collect();
        donors.sort_by(|a, b| b.cmp(a));
        for (_, from) in donors.into_iter().filter(|(spare, _)| *spare > 0) {
            if self.lend(step, from, pool, &LoanCause::Broken) {
                return;
            }
        }
    }
}

fn paces(step: &mut Step<'_>, wave: &Wave, repair_after_ms: u64) -> Vec<PoolPace> {
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
        // Failed instances give their room back after their repair; without them
        // a lost rack would be made up for by loans that come too late.
        let back_ms = repair_after_ms + visit_ms;
        let width = width_when_mended(step, pool, &slots_ms);
        while slots_ms.len() < width {
            slots_ms.push(back_ms);
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

/// How many instances of a pool may be out at once when its failed ones are back.
fn width_when_mended(step: &Step<'_>, pool: &Pool, slots_ms: &[u64]) -> usize {
    let Some(used) = step.fleet.budget_use(&pool.name) else {
        return slots_ms.len();
    };
    let of = |cause| used.absent.get(&cause).copied().unwrap_or(0);
    let mending = of(Cause::Failed) + of(Cause::Repair);
    let busy = slots_ms.iter().filter(|ms| **ms > 0).count();
    let busy = u32::try_from(busy).unwrap_or(u32::MAX);
    let all = used.serving + mending + busy;
    let full = all.saturating_sub(used.needed + used.worst_loss);
    let now = u32::try_from(slots_ms.len()).unwrap_or(u32::MAX);
    usize::try_from(full.min(now + mending)).unwrap_or(usize::MAX)
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
        if let Some(DesiredState::Draining {
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
