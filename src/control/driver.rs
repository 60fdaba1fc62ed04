//! The loops that feed events to the decisions and carry out what they want.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::yield_now;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::desk::{Board, Desk, Incoming};
use super::steady::steady_ms;
use super::{
    Effect, Event, EventKind, Gateway, GatewayEffect, LoopMeter, Machine, MachineOrder,
    MachineOutcome, Node, Order, OrderOutcome, PeerMessage, WallClock,
};
use crate::jobs::TaskId;
use crate::model::{EntryName, InstanceName};
use crate::storage::{self, StorageError};

/// How often time is fed to a control instance: finer than a scheduler's pass would
/// cost wake-ups, coarser would hold back orders.
const CONTROL_TICK: Duration = Duration::from_millis(20);
/// How often time is fed to an entry instance: it only resends and greets.
const ENTRY_TICK: Duration = Duration::from_millis(50);
/// How long events are taken in one go before sockets and timers are looked at: short
/// beside the limits of calls and links, many times what a look costs.
const GO: Duration = Duration::from_millis(5);
/// How often time is fed to a control instance while outcomes wait for others to leave
/// with them.
const GATHER: Duration = Duration::from_millis(4);
/// A gap between two looks at the clock that means that the process stood still:
/// time has to pass for the decisions before anything that waited is handled.
const GAP_MS: u64 = 200;
/// How often the time of day is compared.
const COMPARE_MS: u64 = 1_000;
/// What is left of the grace of a planned stop when open calls are given up.
const STOP_RESERVE_MS: u64 = 700;

/// A future on the process's one thread.
pub type Local<T> = Pin<Box<dyn Future<Output = T>>>;

/// What lies outside of the system: workers, the keeper of machines, the advisor.
pub trait Outside {
    /// Carries out an order to a worker. It counts as given at once, not when the future
    /// first runs: [`Self::abort_orders`] reaches it from here on.
    fn order(&self, order: Order) -> Local<OrderOutcome>;
    /// Carries out an order to the keeper of the machines, given at once as well.
    fn order_machine(&self, order: MachineOrder) -> Local<MachineOutcome>;
    /// Throws away every order that has no answer, also what has left and is held up on
    /// its way.
    fn abort_orders(&self);
    /// Asks the keeper for the list of all machines.
    fn list_machines(&self) -> Local<Option<Vec<Machine>>>;
    /// Asks the advisor which workers may run a step.
    fn advise(
        &self,
        step: TaskId,
        workers: Vec<InstanceName>,
        timeout_ms: u64,
    ) -> Local<Option<Vec<(InstanceName, String)>>>;
}

/// Sends messages to other instances.
pub trait Links {
    /// Queues a message; it may be lost.
    fn send(&self, to: &EntryName, message: &PeerMessage);
}

/// What reaches a loop beside calls and time.
#[derive(Debug)]
pub enum Signal {
    /// A peer sent a message.
    Peer(EntryName, PeerMessage),
    /// The disk synced a write.
    Persisted(u64),
    /// The disk failed.
    DiskFailed(StorageError),
    /// Other instances are known from the settings.
    Found(Vec<EntryName>),
    /// A planned stop begins.
    Stop,
}

/// Where events of a control instance wait.
#[derive(Clone, Copy)]
enum Queue {
    Outcomes,
    Signals,
    Calls,
}

impl Queue {
    const COUNT: usize = 3;

    fn next(self) -> Self {
        match self {
            Self::Outcomes => Self::Signals,
            Self::Signals => Self::Calls,
            Self::Calls => Self::Outcomes,
        }
    }
}

/// Runs an instance until its planned stop.
pub struct Driver<L> {
    desk: Arc<Desk>,
    calls: UnboundedReceiver<Incoming>,
    signals: UnboundedReceiver<Signal>,
    links: L,
    last_ms: u64,
}

impl<L: Links> Driver<L> {
    /// A driver for these calls and signals.
    pub fn new(
        desk: Arc<Desk>,
        calls: UnboundedReceiver<Incoming>,
        signals: UnboundedReceiver<Signal>,
        links: L,
    ) -> Self {
        Self {
            desk,
            calls,
            signals,
            links,
            last_ms: steady_ms(),
        }
    }

    /// Runs a control instance.
    ///
    /// # Errors
    /// The data folder failed; what was not synced was not answered.
    pub async fn run_control(
        mut self,
        mut node: Node,
        disk: Sender<storage::Job>,
        outside: Rc<dyn Outside>,
        wall: WallClock,
    ) -> Result<(), StorageError> {
        let (done, mut outcomes) = unbounded_channel();
        let mut tick = interval(CONTROL_TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut compare_ms = 0;
        let mut meter = LoopMeter::new(Instant::now());
        let runtime = tokio::runtime::Handle::current().metrics();
        loop {
            let mut event = tokio::select! {
                Some(signal) = self.signals.recv() => signal_event(signal)?,
                Some(outcome) = outcomes.recv() => Some(outcome),
                Some(call) = self.calls.recv() => Some(call_event(call)),
                due = tick.tick() => {
                    meter.late(due.elapsed());
                    Some(Event::Tick)
                }
                // Outcomes for the leader leave before the next tick.
                () = sleep(GATHER), if node.gathers() => Some(Event::Tick),
                else => return Ok(()),
            };
            meter.waiting(self.signals.len() + outcomes.len() + self.calls.len());
            if steady_ms() > self.last_ms + GAP_MS {
                let effects = node.handle(steady_ms(), Event::Tick);
                self.carry_out(effects, &disk, &outside, &done);
            }
            let go_began = Instant::now();
            let mut queue = Queue::Calls;
            while let Some(next) = event.take() {
                let kind = EventKind::from(&next);
                let began = Instant::now();
                let effects = node.handle(steady_ms(), next);
                let decided = Instant::now();
                meter.handled(kind, decided - began);
                if self.carry_out(effects, &disk, &outside, &done) {
                    self.desk.give_up();
                    return Ok(());
                }
                let ended = Instant::now();
                meter.handled(EventKind::Effects, ended - decided);
                if ended - go_began < GO {
                    event = self.waiting(&mut queue, &mut outcomes)?;
                }
            }
            let now_ms = steady_ms();
            self.last_ms = now_ms;
            if now_ms >= compare_ms {
                compare_ms = now_ms + COMPARE_MS;
                node.compare_clock(now_ms, wall.unix_ms());
            }
            let leads = node.leads(now_ms);
            let leaderless = Duration::from_millis(node.leaderless_ms(now_ms));
            self.desk.metrics().leaderless(leaderless.as_secs_f64());
            self.desk.show(Board {
                report_places: node.report_places(now_ms),
                ready: leads,
            });
            let busy = runtime.worker_total_busy_duration(0);
            meter.report(Instant::now(), busy, leads, self.desk.metrics());
            // Channels let a loop that always finds something in them go on through a
            // hundred goes. Answers and heartbeats would wait in their sockets meanwhile,
            // and be late through no fault of their senders.
            if go_began.elapsed() >= GO {
                yield_now().await;
            }
        }
    }

    /// An event that waits. The queues take turns: under load one of them is never
    /// empty, and would hold up the others.
    fn waiting(
        &mut self,
        last: &mut Queue,
        outcomes: &mut UnboundedReceiver<Event>,
    ) -> Result<Option<Event>, StorageError> {
        for _ in 0..Queue::COUNT {
            *last = last.next();
            let event = match last {
                Queue::Outcomes => outcomes.try_recv().ok(),
                Queue::Signals => match self.signals.try_recv() {
                    Ok(signal) => signal_event(signal)?,
                    Err(_) => None,
                },
                Queue::Calls => self.calls.try_recv().ok().map(call_event),
            };
            if event.is_some() {
                return Ok(event);
            }
        }
        Ok(None)
    }

    /// `true` at the end of a planned stop.
    fn carry_out(
        &self,
        effects: Vec<Effect>,
        disk: &Sender<storage::Job>,
        outside: &Rc<dyn Outside>,
        done: &UnboundedSender<Event>,
    ) -> bool {
        let mut stopped = false;
        for effect in effects {
            match effect {
                Effect::Answer { id, answer } => self.desk.answer(id, answer),
                Effect::Send { to, message } => self.links.send(&to, &message),
                Effect::Persist { token, records } => {
                    if disk.send(storage::Job { token, records }).is_err() {
                        tracing::error!("disk: its thread has ended");
                    }
                }
                Effect::Order(order) => {
                    let id = order.id;
                    let outcome = outside.order(order);
                    spawn(done, outcome, move |outcome| Event::Ordered { id, outcome });
                }
                Effect::OrderMachine(order) => {
                    let id = order.id;
                    let outcome = outside.order_machine(order);
                    spawn(done, outcome, move |outcome| Event::MachineOrdered {
                        id,
                        outcome,
                    });
                }
                Effect::AbortOrders => outside.abort_orders(),
                Effect::ListMachines => {
                    let list = outside.list_machines();
                    spawn(done, list, |machines| Event::MachinesListed { machines });
                }
                Effect::Advise {
                    id,
                    step,
                    workers,
                    timeout_ms,
                } => {
                    let answer = outside.advise(step, workers, timeout_ms);
                    spawn(done, answer, move |allowed| Event::Advised { id, allowed });
                }
                Effect::Count(decision) => self.desk.metrics().decided(decision),
                Effect::Stopped => stopped = true,
            }
        }
        stopped
    }

    /// Runs an entry instance; a planned stop ends when no call is open, or just
    /// before `grace_ms` are over.
    pub async fn run_entry(mut self, mut gateway: Gateway, grace_ms: u64) {
        let mut tick = interval(ENTRY_TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop_by_ms = None;
        loop {
            let now_ms = steady_ms();
            let effects = tokio::select! {
                Some(signal) = self.signals.recv() => match signal {
                    Signal::Peer(from, message) => gateway.message(steady_ms(), &from, message),
                    Signal::Found(members) => {
                        gateway.add_seeds(members);
                        Vec::new()
                    }
                    Signal::Stop => {
                        tracing::info!(open = self.desk.waiting(), "entry: planned stop begins");
                        stop_by_ms = Some(now_ms + grace_ms.saturating_sub(STOP_RESERVE_MS));
                        Vec::new()
                    }
                    Signal::Persisted(_) | Signal::DiskFailed(_) => Vec::new(),
                },
                Some(call) = self.calls.recv() => {
                    let now_ms = steady_ms();
                    gateway.call(now_ms, call.id, call.call, now_ms + call.patience_ms)
                }
                _ = tick.tick() => gateway.tick(steady_ms()),
                else => return,
            };
            for effect in effects {
                match effect {
                    GatewayEffect::Answer { id, answer } => self.desk.answer(id, answer),
                    GatewayEffect::Send { to, message } => self.links.send(&to, &message),
                }
            }
            let now_ms = steady_ms();
            self.desk.show(Board {
                report_places: Vec::new(),
                ready: stop_by_ms.is_none() && gateway.is_ready(now_ms),
            });
            if stop_by_ms.is_some_and(|by| self.desk.waiting() == 0 || now_ms >= by) {
                self.desk.give_up();
                return;
            }
        }
    }
}

fn spawn<T: 'static>(
    done: &UnboundedSender<Event>,
    work: Local<T>,
    event: impl FnOnce(T) -> Event + 'static,
) {
    let done = done.clone();
    tokio::task::spawn_local(async move {
        // The loop has ended if nobody takes it.
        let _ = done.send(event(work.await));
    });
}

fn call_event(call: Incoming) -> Event {
    Event::Call {
        id: call.id,
        call: call.call,
    }
}

fn signal_event(signal: Signal) -> Result<Option<Event>, StorageError> {
    Ok(Some(match signal {
        Signal::Peer(from, message) => Event::Peer {
            from,
            message: Box::new(message),
        },
        Signal::Persisted(token) => Event::Persisted { token },
        Signal::Found(members) => Event::Found { members },
        Signal::DiskFailed(err) => return Err(err),
        Signal::Stop => Event::Stop,
    }))
}
