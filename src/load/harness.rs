//! An in-process bench: stand-in workers, an event loop, and an account of what
//! every caller got. It feeds a [`Dispatcher`] and a [`Naive`] alike, for the
//! tests and for `measure load`. It is no model of a cluster: a worker runs what
//! it is given for the time the request needs, and that is all.

use std::collections::BTreeMap;

use crate::model::{
    Capacity, Duty, EntryName, InstanceName, PoolName, RackName, RefusalReason, Standing,
    UpstreamReport, ZoneName,
};

use super::{
    Action, AttemptId, AttemptRefusal, Dispatcher, Input, Naive, Request, RequestId, View,
};

/// Time between two reports of a worker, in milliseconds.
const REPORT_MS: u64 = 1_000;

/// Lease that a report carries, in milliseconds.
const LEASE_MS: u64 = 3_000;

/// Time between two exchanges of load among entry instances, in milliseconds.
const EXCHANGE_MS: u64 = 200;

/// What decides.
#[derive(Debug)]
pub enum Side {
    /// The product.
    Dispatcher(Box<Dispatcher>),
    /// The baseline.
    Naive(Box<Naive>),
}

impl Side {
    /// Feeds one input.
    pub fn handle(&mut self, now_ms: u64, input: Input<'_>) -> Vec<Action> {
        match self {
            Self::Dispatcher(side) => side.handle(now_ms, input),
            Self::Naive(side) => side.handle(now_ms, input),
        }
    }

    fn next_wake_ms(&self) -> Option<u64> {
        match self {
            Self::Dispatcher(side) => side.next_wake_ms(),
            Self::Naive(_) => None,
        }
    }
}

/// How a worker behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Answers after the request's run time times this.
    Works {
        /// 1 for a worker as fast as its pool.
        slowdown: f64,
    },
    /// Answers every request with a failure.
    Fails {
        /// After this many milliseconds.
        after_ms: u64,
    },
    /// Cannot be connected to; what runs is lost.
    Gone,
}

/// A stand-in worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// The pool it was set up for.
    pub pool: PoolName,
    /// What it declares, and has.
    pub capacity: Capacity,
    /// How it behaves.
    pub behaviour: Behaviour,
}

/// How a request ended, for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer.
    Answered,
    /// An answer that tells of a failure.
    FailureAnswered,
    /// Not run.
    Refused(RefusalReason),
    /// May have run.
    Unknown,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Account {
    /// The request.
    pub request: Request,
    /// When it arrived.
    pub arrived_ms: u64,
    /// Time it runs on a worker as fast as its pool.
    pub run_ms: u64,
    /// When and how it ended.
    pub ended: Option<(u64, Ending)>,
    /// Final answers; more than one is a fault of the dispatcher.
    pub answers: u32,
    /// Times a worker started it.
    pub runs: u32,
    /// Times it was sent out.
    pub dispatches: u32,
    entry: usize,
}

impl Account {
    /// Whether the caller got a whole answer before its deadline.
    pub fn is_good(&self) -> bool {
        self.ended
            .is_some_and(|(at, end)| end == Ending::Answered && at <= self.request.deadline_ms)
    }

    /// Time to the final answer, in milliseconds.
    pub fn latency_ms(&self) -> Option<u64> {
        self.ended.map(|(at, _)| at - self.arrived_ms)
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(RequestId),
    Cancel(RequestId),
    End(Attempt),
    Report(InstanceName),
    Exchange,
    Wake(usize),
    Behave(InstanceName, Behaviour),
    View(Box<View>),
    Fresh(bool),
}

#[derive(Clone, Debug)]
struct Attempt {
    request: RequestId,
    attempt: AttemptId,
    worker: InstanceName,
    start_ms: u64,
    result: AttemptResult,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptResult {
    Status(u16),
    Refused(AttemptRefusal),
    Lost,
}

#[derive(Debug)]
struct Host {
    worker: Worker,
    running: u32,
    sequence: u64,
    /// Requests it was sent.
    sent: u64,
}

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

    /// A worker gets a request: runs, refuses or fails it.
    fn start(&mut self, id: RequestId, attempt: AttemptId, name: &InstanceName) {
        self.check(id, name);
        let now_ms = self.now_ms;
        let (Some(host), Some(account)) = (self.hosts.get_mut(name), self.accounts.get_mut(&id))
        else {
            return;
        };
        account.dispatches += 1;
        host.sent += 1;
        let full = host.running >= host.worker.capacity.slots;
        let (result, after_ms) = match host.worker.behaviour {
            Behaviour::Gone => (AttemptResult::Refused(AttemptRefusal::ConnectFailed), 1),
            _ if full => (AttemptResult::Refused(AttemptRefusal::Busy), 1),
            Behaviour::Works { slowdown } => {
                let run_ms = (account.run_ms as f64 * slowdown) as u64;
                (AttemptResult::Status(200), run_ms.max(1))
            }
            Behaviour::Fails { after_ms } => (AttemptResult::Status(500), after_ms),
        };
        if matches!(result, AttemptResult::Status(_)) {
            host.running += 1;
            account.runs += 1;
            if account.runs > 1 && !account.request.idempotent {
                self.faults.push(format!("{id}: ran twice"));
            }
        }
        let end = Attempt {
            request: id,
            attempt,
            worker: name.clone(),
            start_ms: now_ms,
            result,
        };
        self.at(now_ms + after_ms, Event::End(end));
    }

    /// What must hold of every dispatch.
    fn check(&mut self, id: RequestId, name: &InstanceName) {
        let service = self.accounts.get(&id).map(|a| &a.request.service);
        let carrier = service.and_then(|s| self.view.carriers.get(s));
        let instance = self.view.instances.get(name);
        if carrier != instance.map(|i| &i.pool) {
            self.faults
                .push(format!("{id}: sent to {name} of another pool"));
        }
        if instance.is_none_or(|i| i.duty != Duty::Serving) {
            self.faults
                .push(format!("{id}: sent to {name}, not serving"));
        }
    }

    fn end(&mut self, end: &Attempt) {
        let Some(host) = self.hosts.get_mut(&end.worker) else {
            return;
        };
        let mut result = end.result;
        if let AttemptResult::Status(_) = result {
            host.running = host.running.saturating_sub(1);
            if host.worker.behaviour == Behaviour::Gone {
                result = AttemptResult::Lost;
            }
        }
        let Some(entry) = self.accounts.get(&end.request).map(|a| a.entry) else {
            return;
        };
        let (request, attempt) = (end.request, end.attempt);
        let run_us = (self.now_ms - end.start_ms) * 1_000;
        let answers = self.answers(request);
        let input = match result {
            AttemptResult::Status(status) => Input::Finished {
                request,
                attempt,
                status,
                run_us,
            },
            AttemptResult::Refused(refusal) => Input::Refused {
                request,
                attempt,
                refusal,
            },
            AttemptResult::Lost => Input::Lost {
                request,
                attempt,
                run_us,
            },
        };
        self.feed(entry, input);
        let delivered = self.answers(request) > answers;
        if delivered && result == AttemptResult::Status(500) {
            self.relabel(request);
        }
    }

    fn answers(&self, id: RequestId) -> u32 {
        self.accounts.get(&id).map_or(0, |a| a.answers)
    }

    fn relabel(&mut self, id: RequestId) {
        if let Some(account) = self.accounts.get_mut(&id)
            && let Some((_, ending @ Ending::Answered)) = &mut account.ended
        {
            *ending = Ending::FailureAnswered;
        }
    }

    fn report(&mut self, name: &InstanceName) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let next = self.now_ms + REPORT_MS;
        if host.worker.behaviour == Behaviour::Gone {
            self.at(next, Event::Report(name.clone()));
            return;
        }
        host.sequence += 1;
        let worker = &host.worker;
        let report = UpstreamReport {
            instance: worker.name.clone(),
            incarnation: 1,
            sequence: host.sequence,
            address: String::new(),
            zone: worker.zone.clone(),
            rack: worker.rack.clone(),
            pool: worker.pool.clone(),
            capacity: worker.capacity,
            pool_epoch: 1,
            standing: Standing::Serving,
            running: host.running,
            usage_age_ms: 0,
        };
        for entry in 0..self.sides.len() {
            let input = Input::Report {
                report: &report,
                lease_until_ms: self.now_ms + LEASE_MS,
            };
            self.feed(entry, input);
        }
        self.at(next, Event::Report(name.clone()));
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
