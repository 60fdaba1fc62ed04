//! Maintenance waves: their pending instances, the instances they have out of
//! service, and pauses because of a broken budget.

use std::collections::BTreeMap;

use crate::model::{Absence, DesiredState, InstanceName, PoolName, WaveName};

use super::super::{Trail, WaveSpec, WaveState};
use super::absences::wrong_duty;
use super::{Fleet, FleetRefusal, Wave};

/// Most ended waves kept for `explain`.
const MAX_ENDED_WAVES: usize = 32;

/// Number of times that the visit of an instance is put off before the wave skips
/// it: after three failed drains, minutes apart, its work is unlikely to end.
const MAX_PUT_OFFS: u32 = 3;

impl Fleet {
    pub(super) fn start_wave(
        &mut self,
        at_unix_ms: u64,
        spec: &WaveSpec,
    ) -> Result<(), FleetRefusal> {
        if self.waves.contains_key(&spec.name) {
            return Err(wave_refusal(&spec.name, "that name was used before"));
        }
        let mut wave = self.new_wave(at_unix_ms, spec);
        if wave.pending.is_empty() {
            return Err(wave_refusal(&spec.name, "no instance is selected"));
        }
        let (kind, chosen, count) = (spec.kind, &spec.selection, wave.pending_len());
        let text = format!("started: {kind} {chosen}, {count} instances");
        wave.trail.note(at_unix_ms, text);
        self.waves.insert(spec.name.clone(), wave);
        self.prune_ended_waves();
        self.update_wave_states(at_unix_ms);
        Ok(())
    }

    fn new_wave(&self, at_unix_ms: u64, spec: &WaveSpec) -> Wave {
        let mut wave = Wave {
            spec: spec.clone(),
            state: WaveState::Running,
            started_unix_ms: at_unix_ms,
            ended_unix_ms: None,
            pending: BTreeMap::new(),
            out: BTreeMap::new(),
            done: 0,
            left_out: BTreeMap::new(),
            put_off: BTreeMap::new(),
            seen: BTreeMap::new(),
            trail: Trail::default(),
        };
        for instance in self.instances.values() {
            if !spec.selection.holds(instance) {
                continue;
            }
            match &instance.duty {
                DesiredState::Away {
                    absence: Absence::SetAside { reason },
                } => {
                    wave.left_out.insert(instance.name.clone(), reason.clone());
                }
                _ => wave.add_pending(&instance.pool, &instance.name),
            }
        }
        wave
    }

    pub(super) fn stop_wave(
        &mut self,
        at_unix_ms: u64,
        name: &WaveName,
    ) -> Result<(), FleetRefusal> {
        let wave = self.active_wave(name)?;
        wave.state = WaveState::Stopped;
        wave.ended_unix_ms = Some(at_unix_ms);
        wave.pending.clear();
        wave.trail.note(at_unix_ms, "stopped by an operator");
        let out: Vec<InstanceName> = wave.out.keys().cloned().collect();
        for name in out {
            self.cancel_drain(at_unix_ms, &name, "its wave was stopped");
        }
        Ok(())
    }

    pub(super) fn begin_absence(
        &mut self,
        at_unix_ms: u64,
        wave: &WaveName,
        name: &InstanceName,
    ) -> Result<(), FleetRefusal> {
        let instance = self.instance(name)?;
        self.check_serves(instance)?;
        let pool = instance.pool.clone();
        let found = self.waves.get(wave);
        let found = found.ok_or_else(|| FleetRefusal::UnknownWave(wave.clone()))?;
        if found.state != WaveState::Running {
            return Err(wave_refusal(wave, &found.state.to_string()));
        }
        let is_pending = found
            .pending
            .get(&pool)
            .is_some_and(|set| set.contains(name));
        if !is_pending {
            return Err(wave_refusal(wave, "the instance's turn is not to come"));
        }
        self.check_absence(instance)?;
        let absence = found.absence();
        if let Some(found) = self.waves.get_mut(wave) {
            found.remove_pending(&pool, name);
            found.out.insert(name.clone(), at_unix_ms);
        }
        let note = format!("drains for wave {wave}");
        self.change(at_unix_ms, name, &note, |instance| {
            instance.duty = DesiredState::Draining { absence };
        });
        Ok(())
    }

    pub(super) fn put_off(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        reason: &str,
    ) -> Result<(), FleetRefusal> {
        let instance = self.instance(name)?;
        let wave = match &instance.duty {
            DesiredState::Draining { absence } => wave_of(absence).cloned(),
            _ => None,
        };
        let Some(wave) = wave else {
            return Err(wrong_duty(instance, "no wave drains it"));
        };
        let pool = instance.pool.clone();
        if let Some(wave) = self.waves.get_mut(&wave) {
            wave.out.remove(name);
            let times = wave.put_off.entry(name.clone()).or_default();
            *times += 1;
            if *times >= MAX_PUT_OFFS {
                let text = format!("put off {times} times: {reason}");
                wave.trail
                    .note(at_unix_ms, format!("leaves out {name}, {text}"));
                wave.left_out.insert(name.clone(), text);
            } else if wave.is_active() {
                wave.add_pending(&pool, name);
            }
        }
        self.return_to_service(at_unix_ms, name, &pool, &format!("put off: {reason}"));
        self.update_wave_states(at_unix_ms);
        Ok(())
    }

    /// Records that an instance returned, either from the wave's own absence or from a
    /// repair, which replaces the visit of a pending reboot wave.
    pub(super) fn record_return_in_waves(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        pool: &PoolName,
        absence: &Absence,
    ) {
        for wave in self.waves.values_mut() {
            wave.record_return(pool, name, at_unix_ms);
            let restarted = *absence == Absence::Repair;
            let is_reboot_wave = matches!(wave.absence(), Absence::Reboot { .. });
            if restarted && is_reboot_wave && wave.is_active() && wave.remove_pending(pool, name) {
                wave.done += 1;
            }
        }
        self.update_wave_states(at_unix_ms);
    }

    /// Removes an instance that waves can no longer visit; they continue without it.
    pub(super) fn drop_from_waves(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        pool: &PoolName,
        reason: &str,
    ) {
        for wave in self.waves.values_mut() {
            let was_listed = wave.out.remove(name).is_some() | wave.remove_pending(pool, name);
            if was_listed {
                wave.left_out.insert(name.clone(), reason.to_owned());
                wave.trail
                    .note(at_unix_ms, format!("leaves out {name}: {reason}"));
            }
        }
        self.update_wave_states(at_unix_ms);
    }

    /// Moves a pending instance to its new pool.
    pub(super) fn move_in_waves(&mut self, name: &InstanceName, from: &PoolName, to: &PoolName) {
        for wave in self.waves.values_mut() {
            if wave.remove_pending(from, name) {
                wave.add_pending(to, name);
            }
        }
    }

    /// Pauses waves that still have to visit a pool whose budget is broken, because
    /// the wave itself may have caused the failures; resumes them once the budget
    /// holds; and ends waves that have nothing left to do.
    pub(super) fn update_wave_states(&mut self, at_unix_ms: u64) {
        let names: Vec<WaveName> = self.active_waves().cloned().collect();
        for name in names {
            let paused = self
                .waves
                .get(&name)
                .and_then(|wave| self.paused_state(wave));
            let Some(wave) = self.waves.get_mut(&name) else {
                continue;
            };
            let next = next_state(wave, paused);
            if next == wave.state {
                continue;
            }
            wave.trail.note(at_unix_ms, next.to_string());
            if next == WaveState::Done {
                wave.ended_unix_ms = Some(at_unix_ms);
            }
            wave.state = next;
        }
    }

    fn active_waves(&self) -> impl Iterator<Item = &WaveName> {
        let active = |(_, wave): &(&WaveName, &Wave)| wave.is_active();
        self.waves.iter().filter(active).map(|(name, _)| name)
    }

    /// Returns the paused state of a wave if a pending pool's budget is broken. A wave
    /// that is paused already for such a pool keeps its reason, since the budget use
    /// changes with each failure.
    fn paused_state(&self, wave: &Wave) -> Option<WaveState> {
        let is_blocked_by =
            |pool: &PoolName| self.broken.contains(pool) && wave.pending.contains_key(pool);
        if let WaveState::Paused { pool, .. } = &wave.state
            && is_blocked_by(pool)
        {
            return Some(wave.state.clone());
        }
        let pool = self.broken.iter().find(|pool| is_blocked_by(pool))?.clone();
        let why = self.budget_use(&pool)?.to_string();
        Some(WaveState::Paused { pool, why })
    }

    fn cancel_drain(&mut self, at_unix_ms: u64, name: &InstanceName, note: &str) {
        let Some(instance) = self.instances.get(name) else {
            return;
        };
        if !matches!(instance.duty, DesiredState::Draining { .. }) {
            return;
        }
        let pool = instance.pool.clone();
        for wave in self.waves.values_mut() {
            wave.out.remove(name);
        }
        self.return_to_service(at_unix_ms, name, &pool, note);
    }

    fn active_wave(&mut self, name: &WaveName) -> Result<&mut Wave, FleetRefusal> {
        let found = self.waves.get_mut(name);
        let found = found.ok_or_else(|| FleetRefusal::UnknownWave(name.clone()))?;
        if found.is_active() {
            Ok(found)
        } else {
            Err(wave_refusal(name, &found.state.to_string()))
        }
    }

    fn prune_ended_waves(&mut self) {
        let ended = |wave: &&Wave| !wave.is_active() && wave.out.is_empty();
        let count = self.waves.values().filter(ended).count();
        if count <= MAX_ENDED_WAVES {
            return;
        }
        let oldest = self.waves.values().filter(ended);
        let oldest = oldest.min_by_key(|wave| (wave.ended_unix_ms, &wave.spec.name));
        let oldest = oldest.map(|wave| wave.spec.name.clone());
        if let Some(name) = oldest {
            self.waves.remove(&name);
        }
    }
}

fn next_state(wave: &Wave, paused: Option<WaveState>) -> WaveState {
    match paused {
        Some(paused) => paused,
        None if wave.pending.is_empty() && wave.out.is_empty() => WaveState::Done,
        None => WaveState::Running,
    }
}

fn wave_of(absence: &Absence) -> Option<&WaveName> {
    match absence {
        Absence::Reboot { wave } | Absence::Replace { wave } => Some(wave),
        _ => None,
    }
}

fn wave_refusal(wave: &WaveName, why: &str) -> FleetRefusal {
    FleetRefusal::Wave {
        wave: wave.clone(),
        why: why.to_owned(),
    }
}
