//! Loans of instances between pools: to end a wave earlier, or for a pool whose
//! budget stays broken despite repair. Lent instances are returned when they are
//! no longer needed.

use std::collections::BTreeMap;

use crate::model::{Absence, DesiredState, Instance, InstanceName, Pool, PoolName, WaveName};

use super::super::pace::{PoolProgress, exclude_donor, next_loan, next_visit};
use super::super::{Cause, FleetCommand, Wave, WaveSpec};
use super::{Controller, Step};

/// Why an instance is lent.
#[derive(derive_more::Display)]
enum LoanCause<'a> {
    /// A wave ends earlier with it.
    #[display("lent for wave {wave}, which wins {saved_s} s")]
    Wave { wave: &'a WaveName, saved_s: u64 },
    /// The pool's budget stays broken despite repair.
    #[display("lent because the pool's budget stays broken")]
    Broken,
}

impl Controller {
    pub(super) fn lend_for_wave(&mut self, step: &mut Step<'_>, wave: &Wave) {
        let mut progress = pool_progress(step, wave, self.settings.repair_after_ms);
        let WaveSpec {
            weights,
            drain_ms,
            spread_percent,
            ..
        } = &wave.spec;
        while let Some(loan) = next_loan(&progress, weights, *drain_ms, *spread_percent) {
            let cause = LoanCause::Wave {
                wave: &wave.spec.name,
                saved_s: loan.saved_ms / 1_000,
            };
            if self.lend(step, &loan.from, &loan.to, &cause) {
                return;
            }
            exclude_donor(&mut progress, &loan.from);
        }
    }

    /// Proposes to lend an instance that no wave still has to visit. If there is none,
    /// a pool with a broken budget may also borrow a pending one, which the wave then
    /// visits in its new pool.
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
        let gains =
            |instance: &&Instance| room_to.gains_room_from(&instance.rack, &borrower.budget);
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

    /// Returns lent instances once their borrower no longer needs them, and lends to
    /// pools whose budget stays broken despite repair.
    pub(super) fn update_loans(&mut self, step: &mut Step<'_>) {
        let fleet = step.fleet;
        for (name, home) in fleet.loans() {
            let Some(instance) = fleet.instances().get(name) else {
                continue;
            };
            let can_return = instance.pool != *home && self.is_ready(step, name);
            if can_return
                && !has_pending_visits(step, &instance.pool)
                && self.can_spare(step, instance)
            {
                let command = FleetCommand::Lend {
                    instance: name.clone(),
                    to: home.clone(),
                    reason: "taken home".to_owned(),
                };
                self.propose(step, name, command);
            }
        }
        for pool in fleet.broken() {
            self.lend_to_broken_pool(step, pool);
        }
    }

    fn can_spare(&self, step: &mut Step<'_>, instance: &Instance) -> bool {
        let budget = step.fleet.pools().get(&instance.pool).map(|p| p.budget);
        budget.is_some_and(|b| step.room(&instance.pool).holds_without(&instance.rack, &b))
    }

    /// Lends one instance at a time to a pool whose budget stays broken, from the pool
    /// with the most room.
    fn lend_to_broken_pool(&mut self, step: &mut Step<'_>, pool: &PoolName) {
        let since_ms = self.broken_since_ms.get(pool).copied();
        let broken_ms = since_ms.map_or(0, |since| step.now_ms.saturating_sub(since));
        let incoming = incoming_moves(step).get(pool).copied().unwrap_or(0);
        if broken_ms < self.settings.borrow_after_ms || incoming > 0 {
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

fn pool_progress(step: &mut Step<'_>, wave: &Wave, repair_after_ms: u64) -> Vec<PoolProgress> {
    let incoming = incoming_moves(step);
    let fleet = step.fleet;
    let out = out_durations_ms(step, wave);
    let mut progress = Vec::with_capacity(fleet.pools().len());
    for (name, pool) in fleet.pools() {
        let out_ms = out.get(name).map_or(&[][..], Vec::as_slice);
        // A visit that takes longer than expected raises the estimate before it ends.
        let longest_ms = out_ms.iter().copied().max().unwrap_or(0);
        let visit_ms = wave.pool_visit_ms(name).max(longest_ms);
        let mut slots_ms: Vec<u64> = out_ms.iter().map(|ms| visit_ms - ms).collect();
        let incoming = incoming.get(name).copied().unwrap_or(0);
        slots_ms.extend((0..incoming).map(|_| wave.spec.drain_ms));
        // Uses the room of the fleet without pending proposals, since the instances
        // they take out are not counted as out yet.
        let more = fleet
            .tally(name)
            .map_or(0, |t| t.room().width_bound(&pool.budget));
        slots_ms.extend((0..more).map(|_| 0));
        // Failed instances give their room back after their repair. If they were not
        // counted, a lost rack would cause loans that arrive too late to help.
        let back_ms = repair_after_ms + visit_ms;
        let width = width_after_repairs(step, pool, &slots_ms);
        while slots_ms.len() < width {
            slots_ms.push(back_ms);
        }
        let pending = wave.pending.get(name).map_or(0, |set| set.len());
        progress.push(PoolProgress {
            pool: name.clone(),
            pending: u32::try_from(pending).unwrap_or(u32::MAX),
            slots_ms,
            visit_ms,
            spare: step.room(name).width_bound(&pool.budget),
        });
    }
    progress
}

/// Number of instances of a pool that may be out at the same time once its failed
/// ones are repaired.
fn width_after_repairs(step: &Step<'_>, pool: &Pool, slots_ms: &[u64]) -> usize {
    let Some(used) = step.fleet.budget_use(&pool.name) else {
        return slots_ms.len();
    };
    let of = |cause| used.absent.get(&cause).copied().unwrap_or(0);
    let repairing = of(Cause::Failed) + of(Cause::Repair);
    let busy = slots_ms.iter().filter(|ms| **ms > 0).count();
    let busy = u32::try_from(busy).unwrap_or(u32::MAX);
    let all = used.serving + repairing + busy;
    let full = all.saturating_sub(used.needed + used.worst_loss);
    let now = u32::try_from(slots_ms.len()).unwrap_or(u32::MAX);
    usize::try_from(full.min(now + repairing)).unwrap_or(usize::MAX)
}

/// Times since the instances that the wave has out were taken out, by pool, in
/// milliseconds.
fn out_durations_ms<'a>(step: &Step<'a>, wave: &Wave) -> BTreeMap<&'a PoolName, Vec<u64>> {
    let mut out: BTreeMap<&PoolName, Vec<u64>> = BTreeMap::new();
    for (name, since_unix_ms) in &wave.out {
        if let Some(instance) = step.fleet.instances().get(name) {
            let out_ms = step.observed.unix_ms.saturating_sub(*since_unix_ms);
            out.entry(&instance.pool).or_default().push(out_ms);
        }
    }
    out
}

/// Number of instances that are moving into each pool.
fn incoming_moves<'a>(step: &Step<'a>) -> BTreeMap<&'a PoolName, u32> {
    let mut incoming = BTreeMap::new();
    for name in step.fleet.absent() {
        let duty = step.fleet.instances().get(name).map(|i| &i.duty);
        if let Some(DesiredState::Draining {
            absence: Absence::Move { to },
        }) = duty
        {
            *incoming.entry(to).or_default() += 1;
        }
    }
    incoming
}

/// Whether an active wave still has visits to make in the pool.
fn has_pending_visits(step: &Step<'_>, pool: &PoolName) -> bool {
    let mut waves = step.fleet.waves().values();
    waves.any(|wave| wave.is_active() && wave.pending.contains_key(pool))
}

fn is_pending(step: &Step<'_>, pool: &PoolName, name: &InstanceName) -> bool {
    let mut waves = step.fleet.waves().values().filter(|wave| wave.is_active());
    waves.any(|wave| wave.pending.get(pool).is_some_and(|set| set.contains(name)))
}
