//! An in-process discrete-event simulation with simulated workers, an event loop and
//! an account of each request's outcome. The tests and `measure load` run both a
//! [`Dispatcher`] and a [`Naive`] in it. It doesn't model a cluster's network or
//! machines: a worker only occupies a slot for the run time of each request.
//!
//! [`Dispatcher`]: super::Dispatcher
//! [`Naive`]: super::Naive

mod account;
mod event;
mod side;
mod worker;
mod worker_state;

use std::collections::BTreeMap;

use crate::model::{EntryName, InstanceName};

use super::{Action, Input, Request, RequestId, View};

pub use account::{Account, Ending};
pub use side::Side;
pub use worker::{Behaviour, Worker};

use event::Event;
use worker_state::WorkerState;

/// Interval at which the entry instances tell each other their load, in milliseconds.
const LOAD_EXCHANGE_INTERVAL_MS: u64 = 200;

/// A simulation of entry instances and workers.
#[derive(Debug)]
pub struct Harness {
    dispatchers: Vec<Side>,
    workers: BTreeMap<InstanceName, WorkerState>,
    view: View,
    /// Scheduled events by time, then by the order in which they were scheduled.
    events: BTreeMap<(u64, u64), Event>,
    scheduled_events: u64,
    accounts: BTreeMap<RequestId, Account>,
    next_wakes_ms: Vec<u64>,
    faults: Vec<String>,
    now_ms: u64,
}

impl Harness {
    /// Returns a simulation whose workers report to all dispatchers at time 0.
    pub fn new(view: View, workers: Vec<Worker>, dispatchers: Vec<Side>) -> Self {
        let mut simulation = Self {
            next_wakes_ms: vec![u64::MAX; dispatchers.len()],
            dispatchers,
            workers: BTreeMap::new(),
            view: View::default(),
            events: BTreeMap::new(),
            scheduled_events: 0,
            accounts: BTreeMap::new(),
            faults: Vec::new(),
            now_ms: 0,
        };
        simulation.set_view(view);
        for worker in workers {
            simulation.schedule(0, Event::Report(worker.name.clone()));
            let state = WorkerState {
                worker: worker.clone(),
                running: 0,
                sequence: 0,
                sent: 0,
            };
            simulation.workers.insert(worker.name, state);
        }
        if simulation.dispatchers.len() > 1 {
            simulation.schedule(LOAD_EXCHANGE_INTERVAL_MS, Event::LoadExchange);
        }
        simulation
    }

    /// Schedules the arrival of a request, with a run time of `run_ms`, at the entry
    /// instance with index `entry`.
    pub fn offer(&mut self, at_ms: u64, entry: usize, request: Request, run_ms: u64) {
        let id = request.id;
        let account = Account {
            request,
            arrived_ms: at_ms,
            run_ms,
            ended: None,
            answers: 0,
            runs: 0,
            dispatches: 0,
            entry,
        };
        self.accounts.insert(id, account);
        self.schedule(at_ms, Event::Arrive(id));
    }

    /// Schedules the cancellation of a request by its caller.
    pub fn cancel(&mut self, at_ms: u64, id: RequestId) {
        self.schedule(at_ms, Event::Cancel(id));
    }

    /// Schedules a change of a worker's behaviour.
    pub fn behave(&mut self, at_ms: u64, worker: &str, behaviour: Behaviour) {
        self.schedule(at_ms, Event::Behave(worker.into(), behaviour));
    }

    /// Schedules a change of the replicated state.
    pub fn change(&mut self, at_ms: u64, view: View) {
        self.schedule(at_ms, Event::View(Box::new(view)));
    }

    /// Schedules a change of whether the dispatchers' view of the replicated state is
    /// fresh, that is, whether the leader is heard from.
    pub fn fresh(&mut self, at_ms: u64, fresh: bool) {
        self.schedule(at_ms, Event::Fresh(fresh));
    }

    /// Runs all events up to and including `until_ms`.
    pub fn run(&mut self, until_ms: u64) {
        while let Some(next) = self.events.first_entry() {
            let (at_ms, _) = *next.key();
            if at_ms > until_ms {
                break;
            }
            let event = next.remove();
            self.now_ms = at_ms;
            self.handle_event(event);
        }
        self.now_ms = until_ms;
    }

    /// Returns the accounts of all requests.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.values()
    }

    /// Returns the account of one request.
    pub fn account(&self, id: u64) -> Option<&Account> {
        self.accounts.get(&RequestId(id))
    }

    /// Returns the number of attempts sent to a worker.
    pub fn sent_to(&self, worker: &str) -> u64 {
        self.workers.get(worker).map_or(0, |w| w.sent)
    }

    /// Returns the violations of the invariants of dispatches and answers.
    pub fn faults(&self) -> &[String] {
        &self.faults
    }

    /// Returns the dispatcher of the entry instance with index `entry`.
    pub fn side(&self, entry: usize) -> &Side {
        &self.dispatchers[entry]
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.events.insert((at_ms, self.scheduled_events), event);
        self.scheduled_events += 1;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => {
                if let Some(account) = self.accounts.get(&id) {
                    let (entry, request) = (account.entry, account.request.clone());
                    self.feed(entry, Input::Offer(request));
                }
            }
            Event::Cancel(id) => {
                if let Some(entry) = self.accounts.get(&id).map(|a| a.entry) {
                    self.feed(entry, Input::Cancel(id));
                }
            }
            Event::AttemptEnd(attempt) => self.end_attempt(&attempt),
            Event::Report(name) => self.send_report(&name),
            Event::LoadExchange => self.exchange_loads(),
            Event::Wake(entry) => {
                self.next_wakes_ms[entry] = u64::MAX;
                self.feed(entry, Input::Tick);
            }
            Event::Behave(name, behaviour) => {
                if let Some(state) = self.workers.get_mut(&name) {
                    state.worker.behaviour = behaviour;
                }
            }
            Event::View(view) => self.set_view(*view),
            Event::Fresh(fresh) => {
                for entry in 0..self.dispatchers.len() {
                    self.feed(entry, Input::ViewFresh(fresh));
                }
            }
        }
    }

    fn set_view(&mut self, view: View) {
        self.view = view;
        for entry in 0..self.dispatchers.len() {
            let view = self.view.clone();
            self.feed(entry, Input::View(view));
        }
    }

    fn feed(&mut self, entry: usize, input: Input<'_>) {
        let actions = self.dispatchers[entry].handle(self.now_ms, input);
        for action in actions {
            self.apply(action);
        }
        let Some(wake) = self.dispatchers[entry].next_wake_ms() else {
            return;
        };
        let at_ms = wake.max(self.now_ms + 1);
        if at_ms < self.next_wakes_ms[entry] {
            self.next_wakes_ms[entry] = at_ms;
            self.schedule(at_ms, Event::Wake(entry));
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Dispatch {
                request,
                attempt,
                instance,
                ..
            } => self.start_attempt(request, attempt, &instance),
            Action::Deliver { request, .. } => {
                if self.accounts.get(&request).is_none_or(|a| a.runs == 0) {
                    self.faults
                        .push(format!("{request}: delivered, but it never ran"));
                }
                self.record_ending(request, Ending::Answered);
            }
            Action::Refuse {
                request, reason, ..
            } => {
                let ran = self.accounts.get(&request).is_some_and(|a| a.runs > 0);
                if ran {
                    self.faults
                        .push(format!("{request}: refused as not-run, but it ran"));
                }
                self.record_ending(request, Ending::Refused(reason));
            }
            Action::GiveUpUnknown { request } => self.record_ending(request, Ending::Unknown),
        }
    }

    fn record_ending(&mut self, id: RequestId, ending: Ending) {
        let now_ms = self.now_ms;
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        account.answers += 1;
        if account.answers > 1 {
            self.faults.push(format!("{id}: answered twice"));
        }
        account.ended = Some((now_ms, ending));
    }

    fn exchange_loads(&mut self) {
        let now_ms = self.now_ms;
        let load = |side: &Side| match side {
            Side::Dispatcher(dispatcher) => dispatcher.in_flight(now_ms),
            Side::Naive(_) => Vec::new(),
        };
        let loads: Vec<_> = self.dispatchers.iter().map(load).collect();
        for (from, load) in loads.iter().enumerate() {
            for to in (0..self.dispatchers.len()).filter(|&to| to != from) {
                let input = Input::PeerLoad {
                    peer: EntryName::from(format!("entry-{from}")),
                    in_flight: load.clone(),
                };
                self.feed(to, input);
            }
        }
        self.schedule(now_ms + LOAD_EXCHANGE_INTERVAL_MS, Event::LoadExchange);
    }
}
