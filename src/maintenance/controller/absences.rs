//! Drains that wait for their proof, moves that finish or are undone, and
//! instances away that come back or do not.

use crate::model::{Absence, DesiredState, Instance, InstanceName, PoolName, UpstreamState};

use super::super::{FleetCommand, PlatformOrder, StopProof};
use super::repairs::is_leaving;
use super::{Controller, Step, names};

/// Times the declared or learnt time after which a drain is given up, or an
/// instance that does not return is set aside: declared times are off by four.
const LIMIT_TIMES: u64 = 8;

/// Least time of both limits: a second's work may still meet a slow platform.
const LIMIT_MIN_MS: u64 = 60_000;

impl Controller {
    pub(super) fn follow_absences(&mut self, step: &mut Step<'_>) {
        for name in names(step.fleet.absent()) {
            let Some(instance) = step.fleet.instances().get(&name) else {
                continue;
            };
            match &instance.duty {
                DesiredState::Serving => {}
                DesiredState::Draining { absence } => self.follow_drain(step, instance, absence),
                DesiredState::Away { absence } => self.follow_away(step, instance, absence),
            }
        }
    }

    fn follow_drain(&mut self, step: &mut Step<'_>, instance: &Instance, absence: &Absence) {
        if is_leaving(step, &instance.name) {
            self.let_leave(step, &instance.name);
            return;
        }
        let incarnation = step.seen(&instance.name).map(|s| s.report.incarnation);
        let failed = step.fleet.is_failed(&instance.name);
        if let Some(incarnation) = incarnation.filter(|_| !failed) {
            self.order(step, &instance.name, incarnation, PlatformOrder::Drain);
        }
        match absence {
            Absence::Move { to } => self.follow_move(step, instance, to),
            Absence::Reboot { .. } | Absence::Replace { .. } => self.follow_stop(step, instance),
            Absence::Operator | Absence::SetAside { .. } | Absence::Repair => {}
        }
    }

    fn follow_move(&mut self, step: &mut Step<'_>, instance: &Instance, to: &PoolName) {
        let name = &instance.name;
        // A dead instance would take its failure into the new pool, and the old
        // one would not be told that its spare is lost.
        if step.fleet.is_failed(name) {
            let reason = "it failed half way".to_owned();
            let instance = name.clone();
            self.propose(step, name, FleetCommand::AbortMove { instance, reason });
            return;
        }
        let verdict = self.prove(step, instance);
        if verdict.is_ok() && step.fleet.pools().contains_key(to) {
            let command = FleetCommand::FinishMove {
                instance: name.clone(),
                epoch: instance.epoch,
            };
            self.propose(step, name, command);
        }
    }

    fn follow_stop(&mut self, step: &mut Step<'_>, instance: &Instance) {
        let name = &instance.name;
        let incarnation = step.seen(name).map(|s| s.report.incarnation);
        let verdict = self.prove(step, instance);
        // A silent instance is restarted without proof: what ran on it is lost
        // already. One that fails what it is given but answers is not silent.
        let lost = step.fleet.is_failed(name) && !self.is_heard(step, name);
        let stopped = verdict.is_ok() || lost;
        if let Some(incarnation) = incarnation.filter(|_| stopped) {
            let command = FleetCommand::MarkAway {
                instance: name.clone(),
                epoch: instance.epoch,
                incarnation,
            };
            self.propose(step, name, command);
            return;
        }
        let drain_ms = self.declared(step, instance).0;
        if self.is_overdue(step, name, limit_ms(drain_ms)) {
            let reason = verdict
                .err()
                .unwrap_or_else(|| "it was never heard".to_owned());
            let instance = name.clone();
            self.propose(step, name, FleetCommand::PutOff { instance, reason });
        }
    }

    /// Feeds the instance's proof; if there is none yet, what it waits for.
    fn prove(&mut self, step: &Step<'_>, instance: &Instance) -> Result<(), String> {
        let name = &instance.name;
        let index = step.observed.applied_index;
        let fresh = || StopProof::new(instance.epoch, index);
        let proof = self.proofs.entry(name.clone()).or_insert_with(fresh);
        if proof.epoch() != instance.epoch {
            *proof = fresh();
        }
        if let Some(seen) = step.seen(name) {
            proof.hear(seen);
        }
        let verdict = proof.verdict(step.now_ms, &self.settings, name, step.observed);
        if verdict.is_stopped() {
            Ok(())
        } else {
            Err(verdict.to_string())
        }
    }

    fn follow_away(&mut self, step: &mut Step<'_>, instance: &Instance, absence: &Absence) {
        if matches!(absence, Absence::SetAside { .. } | Absence::Operator) {
            return;
        }
        let name = &instance.name;
        let left = step.fleet.record(name).map_or(0, |r| r.left_incarnation);
        if let Some(incarnation) = self.back_as(step, name, left) {
            let instance = name.clone();
            let command = FleetCommand::Return {
                instance,
                incarnation,
            };
            self.propose(step, name, command);
            return;
        }
        let away_ms = self.declared(step, instance).1;
        if self.is_overdue(step, name, limit_ms(away_ms)) {
            let instance = name.clone();
            let reason = format!("it did not return within {} s", limit_ms(away_ms) / 1_000);
            self.propose(step, name, FleetCommand::SetAside { instance, reason });
            return;
        }
        if !self.heard_back.contains_key(name) {
            let order = self.away_order(step, name, absence, away_ms);
            self.order(step, name, left, order);
        }
    }

    fn is_heard(&self, step: &Step<'_>, name: &InstanceName) -> bool {
        let seen = step.seen(name);
        seen.is_some_and(|s| s.is_fresh(step.now_ms, self.settings.failed_after_ms))
    }

    /// A sick instance that still answers drains first, or its restart would cut
    /// off what still runs on it. A reboot without effect for half the time it is given becomes a
    /// replacement: the machine may be beyond a restart.
    fn away_order(
        &self,
        step: &Step<'_>,
        name: &InstanceName,
        absence: &Absence,
        away_ms: u64,
    ) -> PlatformOrder {
        let left = step.fleet.record(name).map_or(0, |r| r.left_incarnation);
        let busy = step.seen(name).is_some_and(|seen| {
            seen.report.incarnation == left && seen.report.running > 0 && self.is_heard(step, name)
        });
        let replace = matches!(absence, Absence::Replace { .. });
        if busy && step.since_ms(name) < limit_ms(away_ms) / 4 {
            PlatformOrder::Drain
        } else if replace || self.is_overdue(step, name, limit_ms(away_ms) / 2) {
            PlatformOrder::Replace
        } else {
            PlatformOrder::Reboot
        }
    }

    /// The incarnation under which an instance is back and was stable.
    fn back_as(&mut self, step: &Step<'_>, name: &InstanceName, left: u64) -> Option<u64> {
        let back = step.seen(name).filter(|seen| {
            seen.report.incarnation > left
                && seen.report.standing != UpstreamState::Leaving
                && !seen.sick
                && seen.is_fresh(step.now_ms, self.settings.failed_after_ms)
        });
        let Some(incarnation) = back.map(|seen| seen.report.incarnation) else {
            self.heard_back.remove(name);
            return None;
        };
        let heard = self.heard_back.entry(name.clone());
        let heard = heard.or_insert((incarnation, step.now_ms));
        // One that restarts again and again never becomes stable.
        if heard.0 != incarnation {
            *heard = (incarnation, step.now_ms);
        }
        let stable = step.now_ms.saturating_sub(heard.1) >= self.settings.stable_ms / 2;
        stable.then_some(incarnation)
    }

    /// Declared times of an instance's drain and absence, the longer of the
    /// declared and the learnt one.
    fn declared(&self, step: &Step<'_>, instance: &Instance) -> (u64, u64) {
        let wave = match &instance.duty {
            DesiredState::Draining { absence } | DesiredState::Away { absence } => match absence {
                Absence::Reboot { wave } | Absence::Replace { wave } => Some(wave),
                _ => None,
            },
            DesiredState::Serving => None,
        };
        let wave = wave.and_then(|name| step.fleet.waves().get(name));
        let Some(wave) = wave else {
            let repair_ms = self.settings.repair_limit_ms / LIMIT_TIMES;
            return (0, repair_ms);
        };
        let learnt_ms = wave.visit_ms();
        let drain_ms = wave.spec.drain_ms.max(learnt_ms / 2);
        (drain_ms, wave.spec.absence_ms.max(learnt_ms))
    }
}

fn limit_ms(expected_ms: u64) -> u64 {
    (LIMIT_TIMES * expected_ms).max(LIMIT_MIN_MS)
}
