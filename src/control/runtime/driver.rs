//! The event loops of control and entry instances: they feed events to the decision logic
//! and carry out its effects.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::yield_now;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::call_bridge::{CallBridge, Incoming, ListenerStatus};
use crate::control::boottime_ms;
use crate::control::{
    Call, Effect, Event, EventKind, Gateway, GatewayEffect, LoopMeter, Machine, MachineOrder,
    MachineOutcome, Node, Order, OrderOutcome, PeerMessage, WallClock,
};
use crate::intake::Hold;
use crate::jobs::TaskId;
use crate::model::{EntryName, InstanceName};
use crate::storage::{self, StorageError};

/// Interval of the control instance's tick. A shorter one than the scheduling pass would
/// cost wake-ups; a longer one would delay orders.
const CONTROL_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the entry instance's tick, which only resends calls and sends hellos.
const ENTRY_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for which events are handled before sockets and timers are polled. It is
/// short compared with the timeouts of calls and links, and many times the cost of polling.
const MAX_BATCH_DURATION: Duration = Duration::from_millis(5);
/// Delay of the tick that sends outcomes, which are collected so that several share a
/// message.
const OUTCOME_FLUSH_DELAY: Duration = Duration::from_millis(4);
/// A larger gap between two reads of the clock means that the process was paused. A tick is
/// then handled before any queued event, so that the decision logic notices the time.
const STALL_THRESHOLD_MS: u64 = 200;
/// Interval at which the monotonic clock is compared with the wall clock, and the status of
/// the voters is published.
const CLOCK_CHECK_INTERVAL_MS: u64 = 1_000;
/// Part of the grace period of a planned stop that is left when open calls are given up.
const STOP_RESERVE_MS: u64 = 700;

/// A boxed future that runs on the process's single thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Access to external systems: the workers, the machine manager and the advisor.
pub trait ExternalSystems {
    /// Sends an order to a worker. The order counts as sent when this is called, not when
    /// the future is first polled: from then on [`Self::abort_orders`] affects it.
    fn order(&self, order: Order) -> LocalFuture<OrderOutcome>;
    /// Sends an order to the machine manager. It also counts as sent when this is called.
    fn order_machine(&self, order: MachineOrder) -> LocalFuture<MachineOutcome>;
    /// Aborts every order without an answer, including those that are delayed on the
    /// network.
    fn abort_orders(&self);
    /// Requests the list of all machines from the machine manager.
    fn list_machines(&self) -> LocalFuture<Option<Vec<Machine>>>;
    /// Asks the advisor which workers may run a step.
    fn advise(
        &self,
        step: TaskId,
        workers: Vec<InstanceName>,
        timeout_ms: u64,
    ) -> LocalFuture<Option<Vec<(InstanceName, String)>>>;
}

/// The sending side of the links to other instances.
pub trait Links {
    /// Queues a message. Delivery is not guaranteed.
    fn send(&self, to: &EntryName, message: &PeerMessage);
}

/// An input of an event loop other than calls and ticks.
#[derive(Debug)]
pub enum Signal {
    /// A peer sent a message.
    Peer(EntryName, PeerMessage),
    /// A peer forwarded a call.
    Call {
        /// The peer.
        from: EntryName,
        /// The id that the answer repeats.
        id: u64,
        /// The call.
        call: Call,
        /// What the call holds while it is queued.
        hold: Hold,
    },
    /// The write with this token is synced to disk.
    Persisted(u64),
    /// The disk has no room; writes wait.
    DiskFull(StorageError),
    /// The disk has room again.
    DiskHasRoom,
    /// The disk failed.
    DiskFailed(StorageError),
    /// The settings name these instances.
    Found(Vec<EntryName>),
    /// A planned stop begins.
    Stop,
}

/// The queues of a control instance's event loop.
#[derive(Clone, Copy)]
enum EventQueue {
    Outcomes,
    Signals,
    Calls,
}

impl EventQueue {
    const COUNT: usize = 3;

    fn next(self) -> Self {
        match self {
            Self::Outcomes => Self::Signals,
            Self::Signals => Self::Calls,
            Self::Calls => Self::Outcomes,
        }
    }
}

/// Runs the event loop of an instance until its planned stop.
pub struct Driver<L> {
    bridge: Arc<CallBridge>,
    calls: UnboundedReceiver<Incoming>,
    signals: UnboundedReceiver<Signal>,
    links: L,
    last_batch_ms: u64,
}

impl<L: Links> Driver<L> {
    /// Creates a driver that receives these calls and signals.
    pub fn new(
        bridge: Arc<CallBridge>,
        calls: UnboundedReceiver<Incoming>,
        signals: UnboundedReceiver<Signal>,
        links: L,
    ) -> Self {
        Self {
            bridge,
            calls,
            signals,
            links,
            last_batch_ms: boottime_ms(),
        }
    }

    /// Runs a control instance until its planned stop.
    ///
    /// # Errors
    /// Returns the error if the data folder fails. Nothing that was not synced has been
    /// acknowledged.
    pub async fn run_control(
        mut self,
        mut node: Node,
        disk: Sender<storage::WriteJob>,
        outside: Rc<dyn ExternalSystems>,
        wall: WallClock,
    ) -> Result<(), StorageError> {
        let (completions, mut outcomes) = unbounded_channel();
        let mut tick = interval(CONTROL_TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut next_clock_check_ms = 0;
        let mut meter = LoopMeter::new(Instant::now());
        let runtime = tokio::runtime::Handle::current().metrics();
        loop {
            let mut event = tokio::select! {
                Some(signal) = self.signals.recv() => signal_event(signal)?,
                Some(outcome) = outcomes.recv() => Some(outcome),
                Some(call) = self.calls.recv() => Some(call_event(call)),
                due = tick.tick() => {
                    meter.record_lateness(due.elapsed());
                    Some(Event::Tick)
                }
                // Send outcomes to the leader before the next regular tick.
                () = sleep(OUTCOME_FLUSH_DELAY), if node.has_queued_outcomes() => Some(Event::Tick),
                else => return Ok(()),
            };
            meter.record_queue_length(self.signals.len() + outcomes.len() + self.calls.len());
            if boottime_ms() > self.last_batch_ms + STALL_THRESHOLD_MS {
                let effects = node.handle(boottime_ms(), Event::Tick);
                self.carry_out(effects, &disk, &outside, &completions);
            }
            let batch_began = Instant::now();
            let mut queue = EventQueue::Calls;
            while let Some(next) = event.take() {
                let kind = EventKind::from(&next);
                let began = Instant::now();
                let effects = node.handle(boottime_ms(), next);
                let decided = Instant::now();
                meter.record_event(kind, decided - began);
                if self.carry_out(effects, &disk, &outside, &completions) {
                    self.bridge.abandon_calls();
                    return Ok(());
                }
                let ended = Instant::now();
                meter.record_event(EventKind::Effects, ended - decided);
                if ended - batch_began < MAX_BATCH_DURATION {
                    event = self.next_queued(&mut queue, &mut outcomes)?;
                }
            }
            let now_ms = boottime_ms();
            self.last_batch_ms = now_ms;
            if now_ms >= next_clock_check_ms {
                next_clock_check_ms = now_ms + CLOCK_CHECK_INTERVAL_MS;
                node.compare_clock(now_ms, wall.unix_ms());
                self.bridge.show_quorum(node.quorum_status(now_ms));
            }
            let leads = node.leads(now_ms);
            let leaderless = Duration::from_millis(node.leaderless_ms(now_ms));
            self.bridge
                .metrics()
                .set_leaderless(leaderless.as_secs_f64());
            self.bridge.show(ListenerStatus {
                report_places: node.report_places(now_ms),
                ready: leads,
            });
            let busy = runtime.worker_total_busy_duration(0);
            meter.report(Instant::now(), busy, leads, self.bridge.metrics());
            // Tokio's cooperative budget lets a loop that always finds something in its
            // channels run through about a hundred batches. Answers and heartbeats would
            // meanwhile wait in their sockets and appear late through no fault of their
            // senders.
            if batch_began.elapsed() >= MAX_BATCH_DURATION {
                yield_now().await;
            }
        }
    }

    /// Returns a queued event. The queues are served in turn, because under load one of
    /// them is never empty and would starve the others.
    fn next_queued(
        &mut self,
        last: &mut EventQueue,
        outcomes: &mut UnboundedReceiver<Event>,
    ) -> Result<Option<Event>, StorageError> {
        for _ in 0..EventQueue::COUNT {
            *last = last.next();
            let event = match last {
                EventQueue::Outcomes => outcomes.try_recv().ok(),
                EventQueue::Signals => match self.signals.try_recv() {
                    Ok(signal) => signal_event(signal)?,
                    Err(_) => None,
                },
                EventQueue::Calls => self.calls.try_recv().ok().map(call_event),
            };
            if event.is_some() {
                return Ok(event);
            }
        }
        Ok(None)
    }

    /// Carries out effects. Returns `true` at the end of a planned stop.
    fn carry_out(
        &self,
        effects: Vec<Effect>,
        disk: &Sender<storage::WriteJob>,
        outside: &Rc<dyn ExternalSystems>,
        completions: &UnboundedSender<Event>,
    ) -> bool {
        let mut stopped = false;
        for effect in effects {
            match effect {
                Effect::Answer { id, answer } => self.bridge.answer(id, answer),
                Effect::Send { to, message } => self.links.send(&to, &message),
                Effect::Persist { token, records } => {
                    if disk.send(storage::WriteJob { token, records }).is_err() {
                        tracing::error!("disk: the writer thread has ended");
                    }
                }
                Effect::Order(order) => {
                    let id = order.id;
                    let outcome = outside.order(order);
                    spawn_with_event(completions, outcome, move |outcome| Event::Ordered {
                        id,
                        outcome,
                    });
                }
                Effect::OrderMachine(order) => {
                    let id = order.id;
                    let outcome = outside.order_machine(order);
                    spawn_with_event(completions, outcome, move |outcome| Event::MachineOrdered {
                        id,
                        outcome,
                    });
                }
                Effect::AbortOrders => outside.abort_orders(),
                Effect::ListMachines => {
                    let list = outside.list_machines();
                    spawn_with_event(completions, list, |machines| Event::MachinesListed {
                        machines,
                    });
                }
                Effect::Advise {
                    id,
                    step,
                    workers,
                    timeout_ms,
                } => {
                    let answer = outside.advise(step, workers, timeout_ms);
                    spawn_with_event(completions, answer, move |allowed| Event::Advised {
                        id,
                        allowed,
                    });
                }
                Effect::Count(decision) => self.bridge.metrics().count_decision(decision),
                Effect::Stopped => stopped = true,
            }
        }
        stopped
    }

    /// Runs an entry instance. A planned stop ends when no call is open, or shortly before
    /// `grace_ms` have passed.
    pub async fn run_entry(mut self, mut gateway: Gateway, grace_ms: u64) {
        let mut tick = interval(ENTRY_TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop_by_ms = None;
        loop {
            let now_ms = boottime_ms();
            let effects = tokio::select! {
                Some(signal) = self.signals.recv() => match signal {
                    Signal::Peer(from, message) => gateway.handle_message(boottime_ms(), &from, message),
                    Signal::Found(members) => {
                        gateway.add_seeds(members);
                        Vec::new()
                    }
                    Signal::Stop => {
                        tracing::info!(open = self.bridge.waiting(), "entry: planned stop begins");
                        stop_by_ms = Some(now_ms + grace_ms.saturating_sub(STOP_RESERVE_MS));
                        Vec::new()
                    }
                    Signal::Call { .. }
                    | Signal::Persisted(_)
                    | Signal::DiskFull(_)
                    | Signal::DiskHasRoom
                    | Signal::DiskFailed(_) => Vec::new(),
                },
                Some(call) = self.calls.recv() => {
                    let now_ms = boottime_ms();
                    gateway.add_call(now_ms, call.id, call.call, now_ms + call.patience_ms)
                }
                _ = tick.tick() => gateway.tick(boottime_ms()),
                else => return,
            };
            let abandoned = gateway.abandon(&self.bridge.take_left());
            for effect in effects.into_iter().chain(abandoned) {
                match effect {
                    GatewayEffect::Answer { id, answer } => self.bridge.answer(id, answer),
                    GatewayEffect::Send { to, message } => self.links.send(&to, &message),
                }
            }
            let now_ms = boottime_ms();
            self.bridge.show(ListenerStatus {
                report_places: Vec::new(),
                ready: stop_by_ms.is_none() && gateway.is_ready(now_ms),
            });
            if stop_by_ms.is_some_and(|by| self.bridge.waiting() == 0 || now_ms >= by) {
                self.bridge.abandon_calls();
                return;
            }
        }
    }
}

fn spawn_with_event<T: 'static>(
    completions: &UnboundedSender<Event>,
    work: LocalFuture<T>,
    event: impl FnOnce(T) -> Event + 'static,
) {
    let completions = completions.clone();
    tokio::task::spawn_local(async move {
        // The receiver is gone only if the loop has ended.
        let _ = completions.send(event(work.await));
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
        Signal::Call {
            from,
            id,
            call,
            hold: _,
        } => Event::Peer {
            from,
            message: Box::new(PeerMessage::Call { id, call }),
        },
        Signal::Persisted(token) => Event::Persisted { token },
        Signal::Found(members) => Event::Found { members },
        Signal::DiskFull(err) => {
            tracing::warn!(%err, "disk: lost, nothing is written until it has room");
            Event::DiskFull
        }
        Signal::DiskHasRoom => {
            tracing::info!("disk: regained, it has room again");
            return Ok(None);
        }
        Signal::DiskFailed(err) => {
            tracing::error!(%err, "disk: failed, the instance stops");
            return Err(err);
        }
        Signal::Stop => Event::Stop,
    }))
}
