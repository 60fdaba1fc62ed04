//! A fleet of machines with their workers and their keeper, in simulated time.

mod keeping;
mod orders;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;

use super::{Counts, Due, FakeMachine, Ledger, MachineState, RuleBreak, TaskTruth};
use crate::control::{Call, Effect, Event, OrderOutcome, Place};
use crate::jobs::{JobId, JobSpec};
use crate::model::PoolName;

/// Time of a call to a worker, the keeper or the disk and back.
const CALL_MS: u64 = 2;
/// How often a worker reports.
const REPORT_MS: u64 = 1_500;
/// Between the reports of two workers.
const REPORT_APART_MS: u64 = 7;

/// What the keeper of machines does with orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Keeper {
    /// It takes none, and lists nothing.
    Refuses,
    /// It carries them out.
    Works {
        /// How long a move takes.
        move_ms: u64,
        /// How long an upkeep takes.
        upkeep_ms: u64,
        /// Pools whose machines are off.
        standby: BTreeSet<PoolName>,
    },
}

/// A fleet of machines.
///
/// Its owner has the control instance: it takes the events from here, one by one, gives
/// them to the instance, and hands back what that wants done.
#[derive(Debug)]
pub struct Emulator {
    now_ms: u64,
    keeper: Keeper,
    machines: Vec<FakeMachine>,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    /// What is on its way to the control instance.
    events: BTreeMap<u64, Event>,
    drawn: u64,
    /// The machine that is asked next whether its report is due.
    reporter: usize,
    /// Machines whose worker has just begun.
    fresh: VecDeque<usize>,
    /// Upkeeps that were done, by wave and machine.
    kept: BTreeSet<(u64, String)>,
    ledger: Ledger,
}

impl Emulator {
    /// A fleet of these machines at time 0; all but those in standby pools are up.
    pub fn new(machines: Vec<FakeMachine>, keeper: Keeper) -> Self {
        let mut emulator = Self {
            now_ms: 0,
            keeper,
            machines,
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            drawn: 0,
            reporter: 0,
            fresh: VecDeque::new(),
            kept: BTreeSet::new(),
            ledger: Ledger::default(),
        };
        for place in 0..emulator.machines.len() {
            if !emulator.is_standby(&emulator.machines[place].pool) {
                emulator.machines[place].boot();
            }
        }
        emulator
    }

    /// The present time.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// All machines.
    pub fn machines(&self) -> &[FakeMachine] {
        &self.machines
    }

    /// What became of the tasks.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The same, to be changed.
    pub fn ledger_mut(&mut self) -> &mut Ledger {
        &mut self.ledger
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.ledger.counts()
    }

    /// A number that was not drawn before.
    pub fn draw(&mut self) -> u64 {
        self.drawn += 1;
        self.drawn
    }

    /// A millisecond goes by; its events are to be taken next.
    pub fn advance(&mut self) {
        self.now_ms += 1;
        self.reporter = 0;
    }

    /// The next event of this millisecond.
    pub fn next_event(&mut self) -> Option<Event> {
        while let Some(Reverse((at_ms, ..))) = self.due.peek()
            && *at_ms <= self.now_ms
        {
            if let Some(Reverse((_, _, due))) = self.due.pop()
                && let Some(event) = self.happen(due)
            {
                return Some(event);
            }
        }
        self.next_report()
    }

    /// A caller hands in a job, under a number that is the job's name and the call's;
    /// `truths` hold how each task behaves, by step.
    pub fn hand_in(
        &mut self,
        number: u64,
        place: Place,
        spec: Arc<JobSpec>,
        truths: Vec<Vec<TaskTruth>>,
    ) -> Event {
        let job = JobId::from(number);
        self.ledger.hand_in(job, Arc::clone(&spec), truths);
        let spec = Some(spec);
        let call = Call::Submit { place, spec };
        Event::Call { id: number, call }
    }

    /// Carries out what the control instance wants done.
    ///
    /// # Errors
    /// The promise that is broken by it.
    pub fn carry_out(&mut self, effect: Effect) -> Result<(), RuleBreak> {
        match effect {
            Effect::Persist { token, .. } => self.later(CALL_MS, Event::Persisted { token }),
            Effect::Order(order) => self.order(order)?,
            Effect::OrderMachine(order) => self.order_machine(order),
            Effect::ListMachines => self.list_machines(),
            Effect::Advise { id, .. } => self.later(CALL_MS, Event::Advised { id, allowed: None }),
            Effect::Answer { .. }
            | Effect::Send { .. }
            | Effect::AbortOrders
            | Effect::Count(_)
            | Effect::Stopped => {}
        }
        Ok(())
    }

    /// The control instance is lost with all that is on its way to it.
    pub fn lose_control(&mut self) {
        self.events.clear();
        for machine in &mut self.machines {
            if let Some(worker) = machine.worker_mut() {
                worker.waiting = None;
            }
        }
    }

    fn next_report(&mut self) -> Option<Event> {
        if let Some(place) = self.fresh.pop_front() {
            return self.report(place).or_else(|| self.next_report());
        }
        while self.reporter < self.machines.len() {
            let place = self.reporter;
            self.reporter += 1;
            let shifted_ms = self.now_ms + place as u64 * REPORT_APART_MS;
            if (shifted_ms.is_multiple_of(REPORT_MS) || self.now_ms == 1)
                && let Some(event) = self.report(place)
            {
                return Some(event);
            }
        }
        None
    }

    fn report(&self, place: usize) -> Option<Event> {
        let report = self.machines[place].report(self.now_ms)?;
        let call = Call::Report(Arc::new(report));
        Some(Event::Call { id: 0, call })
    }

    fn happen(&mut self, due: Due) -> Option<Event> {
        match due {
            Due::Arrives(number) => return self.events.remove(&number),
            Due::Ends(place, task, attempt) => self.run_over(place, task, attempt),
            Due::Waited(place, id) => self.waited(place, id),
            Due::Back(place) => self.back(place),
        }
        None
    }

    fn back(&mut self, place: usize) {
        if self.is_standby(&self.machines[place].pool) {
            self.machines[place].state = MachineState::Off;
        } else {
            self.machines[place].boot();
            self.fresh.push_back(place);
        }
    }

    fn is_standby(&self, pool: &PoolName) -> bool {
        match &self.keeper {
            Keeper::Refuses => false,
            Keeper::Works { standby, .. } => standby.contains(pool),
        }
    }

    fn answer(&mut self, id: u64, outcome: OrderOutcome) {
        self.later(CALL_MS, Event::Ordered { id, outcome });
    }

    fn later(&mut self, after_ms: u64, event: Event) {
        let number = self.draw();
        self.events.insert(number, event);
        self.schedule(after_ms, Due::Arrives(number));
    }

    fn schedule(&mut self, after_ms: u64, due: Due) {
        let number = self.draw();
        self.due
            .push(Reverse((self.now_ms + after_ms, number, due)));
    }
}
