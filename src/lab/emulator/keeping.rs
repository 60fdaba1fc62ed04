//! The keeper of machines: moves, upkeeps, and machines that are lost.

use super::super::MachineState;
use super::{CALL_MS, Due, Emulator, Keeper};
use crate::control::{
    Event, MachineOrder, MachineOrderKind, MachineOutcome, MachinePhase, OrderOutcome,
};
use crate::jobs::RunResult;

impl Emulator {
    /// A machine is lost without a word, and is back as another incarnation after a while.
    /// One that is off or away already is left alone.
    pub fn crash(&mut self, place: usize, down_ms: u64) {
        if self.machines[place].worker().is_some() {
            self.take_away(place, MachinePhase::Down, down_ms);
        }
    }

    pub(super) fn list_machines(&mut self) {
        let machines = match self.keeper {
            Keeper::Refuses => None,
            Keeper::Works { .. } => Some(self.machines.iter().map(|m| m.listed()).collect()),
        };
        self.later(CALL_MS, Event::MachinesListed { machines });
    }

    pub(super) fn order_machine(&mut self, order: MachineOrder) {
        let id = order.id;
        let outcome = self.machine_ordered(order);
        self.later(CALL_MS, Event::MachineOrdered { id, outcome });
    }

    fn machine_ordered(&mut self, order: MachineOrder) -> MachineOutcome {
        let Keeper::Works {
            move_ms, upkeep_ms, ..
        } = self.keeper
        else {
            return MachineOutcome::Overloaded;
        };
        let mut machines = self.machines.iter();
        let Some(place) = machines.position(|m| m.name() == order.machine) else {
            return MachineOutcome::NoSuchMachine;
        };
        if let MachineOrderKind::Upkeep { wave } = order.kind
            && self.kept.contains(&(wave, order.machine.clone()))
        {
            return MachineOutcome::Done;
        }
        if matches!(self.machines[place].state, MachineState::Away(_)) {
            return MachineOutcome::Busy;
        }
        match order.kind {
            MachineOrderKind::Upkeep { wave } => {
                self.kept.insert((wave, order.machine));
                self.take_away(place, MachinePhase::Upkeep, upkeep_ms);
            }
            MachineOrderKind::Move { pool } => {
                self.machines[place].pool = pool;
                self.ledger.moved();
                self.take_away(place, MachinePhase::Moving, move_ms);
            }
        }
        MachineOutcome::Done
    }

    /// All that runs on the machine ends with its worker; who waits for an answer of it
    /// gets none.
    fn take_away(&mut self, place: usize, phase: MachinePhase, for_ms: u64) {
        let away = MachineState::Away(phase);
        let before = std::mem::replace(&mut self.machines[place].state, away);
        self.schedule(for_ms, Due::Back(place));
        let MachineState::Up(worker) = before else {
            return;
        };
        for (task, _) in worker.running.keys() {
            self.ledger.end(*task, RunResult::Lapsed);
        }
        for end in worker.ended.iter().filter(|e| e.ending == RunResult::Done) {
            self.ledger.doubt(end.task);
        }
        if let Some((id, given_up_ms)) = worker.waiting {
            let outcome = OrderOutcome::Unanswered;
            let after_ms = given_up_ms.saturating_sub(self.now_ms);
            self.later(after_ms, Event::Ordered { id, outcome });
        }
    }
}
