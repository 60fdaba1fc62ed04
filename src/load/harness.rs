//! An in-process bench: stand-in workers, an event loop, and an account of what
//! every caller got. It feeds a [`Dispatcher`] and a [`Naive`] alike, for the
//! tests and for `measure load`. It is no model of a cluster: a worker runs what
//! it is given for the time the request needs, and that is all.
//!
//! [`Dispatcher`]: super::Dispatcher
//! [`Naive`]: super::Naive

mod account;
mod event;
mod host;
mod side;
mod worker;

use std::collections::BTreeMap;

use crate::model::{EntryName, InstanceName};

use super::{Action, Input, Request, RequestId, View};

pub use account::{Account, Ending};
pub use side::Side;
pub use worker::{Behaviour, Worker};

use event::Event;
use host::Host;

/// Time between two exchanges of load among entry instances, in milliseconds.
const EXCHANGE_MS: u64 = 200;

/// The bench.
#[derive(Debug)]
pub struct Harness {
    sides: Vec<Side>,
    hosts: BTreeMap<InstanceName, Host>,
    view: View,
    /// By time, then by the order in which they were added.
    events: BTreeMap<(u64, u64), Event>,
    added: u64,
    accounts: BTreeMap<RequestId, Account>,
    wakes_ms: Vec<u64>,
    faults: Vec<String>,
    now_ms: u64,
}

impl Harness {
    /// A bench whose workers announce themselves at time 0 to all sides.
    pub fn new(view: View, workers: Vec<Worker>, sides: Vec<Side>) -> Self {
        let mut bench = Self {
            wakes_ms: vec![u64::MAX; sides.len()],
            sides,
            hosts: BTreeMap::new(),
            view: View::default(),
            events: BTreeMap::new(),
            added: 0,
            accounts: BTreeMap::new(),
            faults: Vec::new(),
            now_ms: 0,
        };
        bench.set_view(view);
        for worker in workers {
            bench.at(0, Event::Report(worker.name.clone()));
            let host = Host {
                worker: worker.clone(),
                running: 0,
                sequence: 0,
                sent: 0,
            };
            bench.hosts.insert(worker.name, host);
        }
        if bench.sides.len() > 1 {
            bench.at(EXCHANGE_MS, Event::Exchange);
        }
        bench
    }

    /// A request arrives at an entry instance; it needs `run_ms`.
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
        self.at(at_ms, Event::Arrive(id));
    }

    /// The caller goes away.
    pub fn cancel(&mut self, at_ms: u64, id: RequestId) {
        self.at(at_ms, Event::Cancel(id));
    }

    /// A worker changes how it behaves.
    pub fn behave(&mut self, at_ms: u64, worker: &str, behaviour: Behaviour) {
        self.at(at_ms, Event::Behave(worker.into(), behaviour));
    }

    /// The replicated state changes.
    pub fn change(&mut self, at_ms: u64, view: View) {
        self.at(at_ms, Event::View(Box::new(view)));
    }

    /// The leader is heard from, or is not any more.
    pub fn fresh(&mut self, at_ms: u64, fresh: bool) {
        self.at(at_ms, Event::Fresh(fresh));
    }

    /// Plays all events up to a time.
    pub fn run(&mut self, until_ms: u64) {
        while let Some(next) = self.events.first_entry() {
            let (at_ms, _) = *next.key();
            if at_ms > until_ms {
                break;
            }
            let event = next.remove();
            self.now_ms = at_ms;
            self.play(event);
        }
        self.now_ms = until_ms;
    }

    /// What became of every request.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.values()
    }

    /// What became of one request.
    pub fn account(&self, id: u64) -> Option<&Account> {
        self.accounts.get(&RequestId(id))
    }

    /// Requests a worker was sent.
    pub fn sent_to(&self, worker: &str) -> u64 {
        self.hosts.get(worker).map_or(0, |h| h.sent)
    }

    /// Breaches of what must hold for each dispatch.
    pub fn faults(&self) -> &[String] {
        &self.faults
    }

    /// An entry instance's dispatcher.
    pub fn side(&self, entry: usize) -> &Side {
        &self.sides[entry]
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.events.insert((at_ms, self.added), event);
        self.added += 1;
    }

    fn play(&mut self, event: Event) {
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
            Event::End(attempt) => self.end(&attempt),
            Event::Report(name) => self.report(&name),
            Event::Exchange => self.exchange(),
            Event::Wake(entry) => {
                self.wakes_ms[entry] = u64::MAX;
                self.feed(entry, Input::Tick);
            }
            Event::Behave(name, behaviour) => {
                if let Some(host) = self.hosts.get_mut(&name) {
                    host.worker.behaviour = behaviour;
                }
            }
            Event::View(view) => self.set_view(*view),
            Event::Fresh(fresh) => {
                for entry in 0..self.sides.len() {
                    self.feed(entry, Input::ViewFresh(fresh));
                }
            }
        }
    }

    fn set_view(&mut self, view: View) {
        self.view = view;
        for entry in 0..self.sides.len() {
            let view = self.view.clone();
            self.feed(entry, Input::View(view));
        }
    }

    fn feed(&mut self, entry: usize, input: Input<'_>) {
        let actions = self.sides[entry].handle(self.now_ms, input);
        for action in actions {
            self.act(action);
        }
        let Some(wake) = self.sides[entry].next_wake_ms() else {
            return;
        };
        let at_ms = wake.max(self.now_ms + 1);
        if at_ms < self.wakes_ms[entry] {
            self.wakes_ms[entry] = at_ms;
            self.at(at_ms, Event::Wake(entry));
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Dispatch {
                request,
                attempt,
                instance,
                ..
            } => self.start(request, attempt, &instance),
            Action::Deliver { request, .. } => {
                if self.accounts.get(&request).is_none_or(|a| a.runs == 0) {
                    self.faults.push(format!("{request}: delivered, never ran"));
                }
                self.close(request, Ending::Answered);
            }
            Action::Refuse {
                request, reason, ..
            } => {
                let ran = self.accounts.get(&request).is_some_and(|a| a.runs > 0);
                if ran {
                    self.faults.push(format!("{request}: not-run, but it ran"));
                }
                self.close(request, Ending::Refused(reason));
            }
            Action::GiveUpUnknown { request } => self.close(request, Ending::Unknown),
        }
    }

    fn close(&mut self, id: RequestId, ending: Ending) {
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

    fn exchange(&mut self) {
        let now_ms = self.now_ms;
        let load = |side: &Side| match side {
            Side::Dispatcher(side) => side.in_flight(now_ms),
            Side::Naive(_) => Vec::new(),
        };
        let loads: Vec<_> = self.sides.iter().map(load).collect();
        for (from, load) in loads.iter().enumerate() {
            for to in (0..self.sides.len()).filter(|&to| to != from) {
                let input = Input::PeerLoad {
                    peer: EntryName::from(format!("entry-{from}")),
                    in_flight: load.clone(),
                };
                self.feed(to, input);
            }
        }
        self.at(now_ms + EXCHANGE_MS, Event::Exchange);
    }
}
