//! Follows absent instances: drains until they are proved or time out, moves until
//! they finish or are aborted, and away instances until they return or time out.

use crate::model::{Absence, DesiredState, Instance, InstanceName, PoolName, UpstreamState};

use super::super::{FleetCommand, PlatformOrder, StopProof};
use super::repairs::is_leaving;
use super::{Controller, Step, collect_names};

/// Timeout of drains and absences as a multiple of the declared or learned time,
/// since declared times are wrong by up to a factor of four.
const TIMEOUT_FACTOR: u64 = 8;

/// Least timeout of drains and absences: even with short declared times, the
/// platform may be slow.
const MIN_TIMEOUT_MS: u64 = 60_000;

impl Controller {
    pub(super) fn follow_absences(&mut self, step: &mut Step<'_>) {
        for name in collect_names(step.fleet.absent()) {
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
            self.remove_leaving(step, &instance.name);
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
        // A failed instance would carry its failure into the new pool, and the old
        // pool's budget would not count the loss.
        if step.fleet.is_failed(name) {
            let reason = "it failed half way".to_owned();
            let instance = name.clone();
            self.propose(step, name, FleetCommand::AbortMove { instance, reason });
            return;
        }
        let verdict = self.check_stopped(step, instance);
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
        let verdict = self.check_stopped(step, instance);
        // A failed instance that sends no reports is restarted without proof, because
        // its requests are lost already. One that still reports needs the proof,
        // even if it fails its requests.
        let lost = step.fleet.is_failed(name) && !self.has_recent_report(step, name);
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
        let drain_ms = self.expected_times_ms(step, instance).0;
        if self.is_overdue(step, name, timeout_ms(drain_ms)) {
            let reason = verdict
                .err()
                .unwrap_or_else(|| "it was never heard".to_owned());
            let instance = name.clone();
            self.propose(step, name, FleetCommand::PutOff { instance, reason });
        }
    }

    /// Records the instance's last report in its stop proof and checks the proof.
    ///
    /// # Errors
    /// Returns what the proof still waits for, as text.
    fn check_stopped(&mut self, step: &Step<'_>, instance: &Instance) -> Result<(), String> {
        let name = &instance.name;
        let index = step.observed.applied_index;
        let new_proof = || StopProof::new(instance.epoch, index);
        let proof = self.proofs.entry(name.clone()).or_insert_with(new_proof);
        if proof.epoch() != instance.epoch {
            *proof = new_proof();
        }
        if let Some(seen) = step.seen(name) {
            proof.record_report(seen);
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
        if let Some(incarnation) = self.stable_incarnation(step, name, left) {
            let instance = name.clone();
            let command = FleetCommand::Return {
                instance,
                incarnation,
            };
            self.propose(step, name, command);
            return;
        }
        let away_ms = self.expected_times_ms(step, instance).1;
        if self.is_overdue(step, name, timeout_ms(away_ms)) {
            let instance = name.clone();
            let reason = format!("it did not return within {} s", timeout_ms(away_ms) / 1_000);
            self.propose(step, name, FleetCommand::SetAside { instance, reason });
            return;
        }
        if !self.returned_since.contains_key(name) {
            let order = self.away_order(step, name, absence, away_ms);
            self.order(step, name, left, order);
        }
    }

    fn has_recent_report(&self, step: &Step<'_>, name: &InstanceName) -> bool {
        let seen = step.seen(name);
        seen.is_some_and(|s| s.is_fresh(step.now_ms, self.settings.failed_after_ms))
    }

    /// Returns the order for an away instance. One that still reports running requests
    /// drains first, because a restart would abort them. A reboot without effect for
    /// half the timeout becomes a replacement, since the machine may be broken.
    fn away_order(
        &self,
        step: &Step<'_>,
        name: &InstanceName,
        absence: &Absence,
        away_ms: u64,
    ) -> PlatformOrder {
        let left = step.fleet.record(name).map_or(0, |r| r.left_incarnation);
        let busy = step.seen(name).is_some_and(|seen| {
            seen.report.incarnation == left
                && seen.report.running > 0
                && self.has_recent_report(step, name)
        });
        let replace = matches!(absence, Absence::Replace { .. });
        if busy && step.since_ms(name) < timeout_ms(away_ms) / 4 {
            PlatformOrder::Drain
        } else if replace || self.is_overdue(step, name, timeout_ms(away_ms) / 2) {
            PlatformOrder::Replace
        } else {
            PlatformOrder::Reboot
        }
    }

    /// Returns the incarnation under which an instance has been back for the stable
    /// time, if it has.
    fn stable_incarnation(
        &mut self,
        step: &Step<'_>,
        name: &InstanceName,
        left: u64,
    ) -> Option<u64> {
        let back = step.seen(name).filter(|seen| {
            seen.report.incarnation > left
                && seen.report.standing != UpstreamState::Leaving
                && !seen.sick
                && seen.is_fresh(step.now_ms, self.settings.failed_after_ms)
        });
        let Some(incarnation) = back.map(|seen| seen.report.incarnation) else {
            self.returned_since.remove(name);
            return None;
        };
        let returned = self.returned_since.entry(name.clone());
        let returned = returned.or_insert((incarnation, step.now_ms));
        // An instance that restarts repeatedly never becomes stable.
        if returned.0 != incarnation {
            *returned = (incarnation, step.now_ms);
        }
        let stable = step.now_ms.saturating_sub(returned.1) >= self.settings.stable_ms / 2;
        stable.then_some(incarnation)
    }

    /// Expected times of an instance's drain and absence: the longer of the declared
    /// and the learned one each.
    fn expected_times_ms(&self, step: &Step<'_>, instance: &Instance) -> (u64, u64) {
        let wave = match &instance.duty {
            DesiredState::Draining { absence } | DesiredState::Away { absence } => match absence {
                Absence::Reboot { wave } | Absence::Replace { wave } => Some(wave),
                _ => None,
            },
            DesiredState::Serving => None,
        };
        let wave = wave.and_then(|name| step.fleet.waves().get(name));
        let Some(wave) = wave else {
            let repair_ms = self.settings.repair_timeout_ms / TIMEOUT_FACTOR;
            return (0, repair_ms);
        };
        let learned_ms = wave.visit_ms();
        let drain_ms = wave.spec.drain_ms.max(learned_ms / 2);
        (drain_ms, wave.spec.absence_ms.max(learned_ms))
    }
}

fn timeout_ms(expected_ms: u64) -> u64 {
    (TIMEOUT_FACTOR * expected_ms).max(MIN_TIMEOUT_MS)
}
