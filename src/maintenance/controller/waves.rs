//! Runs waves: proposes the next instances to take out of service.

use crate::model::{DesiredState, InstanceName, PoolName};

use super::super::pace::next_visit;
use super::super::{FleetCommand, Wave, WaveState};
use super::{Controller, Step};

impl Controller {
    pub(super) fn run_waves(&mut self, step: &mut Step<'_>) {
        let fleet = step.fleet;
        for wave in fleet.waves().values() {
            if wave.state != WaveState::Running {
                continue;
            }
            // Loans come first: a free slot may save more time in the pool that finishes
            // last.
            self.lend_for_wave(step, wave);
            for pool in wave.pending.keys() {
                while self.propose_visit(step, wave, pool) {}
            }
        }
    }

    /// Proposes the next visit in a pool, if its budget has room, and returns whether it
    /// did.
    fn propose_visit(&mut self, step: &mut Step<'_>, wave: &Wave, pool: &PoolName) -> bool {
        let Some(budget) = step.fleet.pools().get(pool).map(|p| p.budget) else {
            return false;
        };
        // Most steps find no room and must not iterate over the pending instances.
        if step.room(pool).width_bound(&budget) == 0 {
            return false;
        }
        let fleet = step.fleet;
        let pending = wave.pending.get(pool).into_iter().flatten();
        let put_off = |name: &InstanceName| wave.put_off.get(name).copied().unwrap_or(0);
        let ready = pending.filter(|name| self.is_ready(step, name));
        let ready: Vec<&InstanceName> = ready.collect();
        // An instance that was put off waits until all others have been visited.
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

    pub(super) fn is_ready(&self, step: &Step<'_>, name: &InstanceName) -> bool {
        let serving = step.fleet.instances().get(name);
        serving.is_some_and(|instance| instance.duty == DesiredState::Serving)
            && !step.fleet.is_failed(name)
            && !self.proposed.contains_key(name)
    }
}
