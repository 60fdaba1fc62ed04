//! Orders to workers.

use super::super::{FakeMachine, MachineState, RuleBreak, RunningTask};
use super::{Due, Emulator};
use crate::control::{Event, Order, OrderKind, OrderOutcome, Rejection};
use crate::jobs::{RunResult, TaskId};

impl Emulator {
    pub(super) fn order(&mut self, order: Order) -> Result<(), RuleBreak> {
        let found = FakeMachine::place_of(order.address);
        let Some(place) = found.filter(|place| *place < self.machines.len()) else {
            return Ok(());
        };
        let id = order.id;
        let outcome = match self.machines[place].worker() {
            None => {
                let outcome = OrderOutcome::Unanswered;
                self.later(order.timeout_ms, Event::Ordered { id, outcome });
                return Ok(());
            }
            Some(worker) if worker.name != order.worker => OrderOutcome::Rejected {
                reason: Rejection::Incarnation,
                clock_ms: None,
            },
            Some(_) => match order.kind {
                OrderKind::Start { task, attempt, .. } => {
                    self.start(place, task, attempt)?;
                    self.carried_out()
                }
                OrderKind::Renew {
                    acknowledged,
                    wait_ms,
                    ..
                } => {
                    let given_up_ms = self.now_ms + order.timeout_ms;
                    self.renew(place, id, given_up_ms, acknowledged, wait_ms);
                    return Ok(());
                }
                OrderKind::Stop { task, attempt } => {
                    self.end(place, task, attempt, RunResult::Stopped);
                    self.carried_out()
                }
                OrderKind::Throttle { .. } => self.carried_out(),
            },
        };
        self.answer(id, outcome);
        Ok(())
    }

    fn carried_out(&self) -> OrderOutcome {
        OrderOutcome::Done {
            clock_ms: Some(self.now_ms),
        }
    }

    fn start(&mut self, place: usize, task: TaskId, attempt: u32) -> Result<(), RuleBreak> {
        let now_ms = self.now_ms;
        let MachineState::Up(worker) = &mut self.machines[place].state else {
            return Ok(());
        };
        // The same start again, as its answer was lost with a leader.
        if worker.running.contains_key(&(task, attempt)) {
            return Ok(());
        }
        let run = self.ledger.start(now_ms, task)?;
        let spec = self.ledger.spec(task.job);
        let unknown = RuleBreak::Unknown { task };
        let step = spec.and_then(|spec| spec.steps.get(usize::from(task.step)));
        let demand = step.ok_or(unknown)?.reserved();
        let running = RunningTask {
            began_ms: now_ms,
            percent_ms: run.percent_ms,
            ending: run.ending,
            demand,
        };
        worker.running.insert((task, attempt), running);
        let used = worker.used();
        if !self.machines[place].capacity.fits(&used) {
            return Err(RuleBreak::Capacity { task, now_ms });
        }
        self.schedule(run.takes_ms, Due::Ends(place, task, attempt));
        Ok(())
    }

    fn renew(&mut self, place: usize, id: u64, given_up_ms: u64, acknowledged: u64, wait_ms: u64) {
        let Some(worker) = self.machines[place].worker_mut() else {
            return;
        };
        worker.ended.retain(|end| end.number > acknowledged);
        if worker.ended.is_empty() && wait_ms > 0 {
            worker.waiting = Some((id, given_up_ms));
            self.schedule(wait_ms, Due::Waited(place, id));
        } else {
            self.list(place, id);
        }
    }

    pub(super) fn waited(&mut self, place: usize, id: u64) {
        let Some(worker) = self.machines[place].worker_mut() else {
            return;
        };
        if worker.waiting.is_some_and(|(waiting, _)| waiting == id) {
            worker.waiting = None;
            self.list(place, id);
        }
    }

    /// A run went on to its end, unless it was stopped or lost before.
    pub(super) fn run_over(&mut self, place: usize, task: TaskId, attempt: u32) {
        let worker = self.machines[place].worker();
        let run = worker.and_then(|worker| worker.running.get(&(task, attempt)));
        if let Some(ending) = run.map(|run| run.ending) {
            self.end(place, task, attempt, ending);
        }
    }

    fn end(&mut self, place: usize, task: TaskId, attempt: u32, ending: RunResult) {
        let Some(worker) = self.machines[place].worker_mut() else {
            return;
        };
        if !worker.end(task, attempt, ending) {
            return;
        }
        let waiting = worker.waiting.take();
        self.ledger.end(task, ending);
        if let Some((id, _)) = waiting {
            self.list(place, id);
        }
    }

    fn list(&mut self, place: usize, id: u64) {
        if let Some(worker) = self.machines[place].worker() {
            let listed = worker.list(self.now_ms);
            self.answer(id, listed);
        }
    }
}
