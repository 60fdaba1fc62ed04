//! Instances with little processor time, by a model of what their work costs.
//!
//! An instance with a processor handles one event after the other, each when the one
//! before is through. Meanwhile answers of workers wait for their turn, and an order whose
//! time is over when the turn of its answer comes counts as unanswered.
//! Costs are microseconds of a leader's 0.35 cores, by the log of a loaded leader: with 360
//! workers and 1,325 active jobs it spends 25 to 50 ms in a tick.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand::Rng;
use rosemarygauge::control::{Effect, Event, Order, OrderKind, OrderOutcome};
use rosemarygauge::model::EntryName;

use super::{Flying, STEP_MS, World};

/// Between two ticks at least.
const TICK_MS: u64 = 20;
/// A tick of a leader that looks at nothing but its workers.
const TICK_US: u64 = 600;
/// A thing that a recurring look walks over.
pub const LOOK_US: u64 = 4;
/// Sending an order to a worker.
const ORDER_US: u64 = 50;
/// Reading a worker's answer.
const ANSWER_US: u64 = 70;
/// Reading a worker's listing.
const LISTING_US: u64 = 110;
/// A peer's message, with what is sent to peers for it.
const PEER_US: u64 = 100;
/// A call by a worker or a caller.
const CALL_US: u64 = 50;
/// A write that is synced, and anything else.
const OTHER_US: u64 = 20;
/// Orders on their way to one worker; more wait for an answer.
const ORDERS_PER_WORKER: usize = 4;
/// How often a worker that holds a renewal looks whether something ended.
pub(super) const HELD_MS: u64 = 20;

/// The processor of an instance, with the events that wait for it.
#[derive(Default)]
pub struct Processor {
    /// What it has taken up is through by then.
    busy_until_us: u64,
    tick_ms: u64,
    /// Events that came.
    inbox: Vec<Event>,
    /// Events of the turn that it is at.
    turn: VecDeque<Event>,
    /// Orders without an answer.
    open: BTreeMap<u64, Open>,
    by_worker: BTreeMap<SocketAddr, OrdersToWorker>,
    /// What it has worked in all.
    pub worked_us: u64,
    pub ticks: u64,
    pub ticks_us: u64,
    pub unanswered: u64,
}

struct Open {
    address: SocketAddr,
    until_us: u64,
}

/// Orders to one worker.
#[derive(Default)]
struct OrdersToWorker {
    under_way: Vec<u64>,
    waiting: VecDeque<Order>,
}

impl Processor {
    fn new(now_ms: u64) -> Self {
        Self {
            busy_until_us: now_ms * 1_000,
            tick_ms: now_ms,
            ..Self::default()
        }
    }

    pub(super) fn receive(&mut self, event: Event) {
        // Time is asked for, it does not queue up.
        if !matches!(event, Event::Tick) {
            self.inbox.push(event);
        }
    }

    /// The next event and when its turn comes, if that is not after `now_ms`.
    fn next(&mut self, now_ms: u64) -> Option<(u64, Event)> {
        if self.busy_until_us > now_ms * 1_000 {
            return None;
        }
        if self.turn.is_empty() {
            self.begin_turn(now_ms);
        }
        let event = self.turn.pop_front()?;
        Some((self.busy_until_us, event))
    }

    /// Takes up all that has come, time first, then in the order of the process's loop.
    fn begin_turn(&mut self, now_ms: u64) {
        // It had nothing to do before the present step.
        self.busy_until_us = self.busy_until_us.max((now_ms - STEP_MS) * 1_000);
        let from_ms = self.busy_until_us / 1_000;
        let due_ms = self.tick_ms + TICK_MS;
        if due_ms <= from_ms || (self.inbox.is_empty() && due_ms <= now_ms) {
            self.tick_ms = due_ms.max(from_ms);
            self.busy_until_us = self.busy_until_us.max(due_ms * 1_000);
            self.turn.push_back(Event::Tick);
        }
        let mut events = std::mem::take(&mut self.inbox);
        events.sort_by_key(|event| match event {
            Event::Call { .. } => 2,
            Event::Peer { .. } | Event::Persisted { .. } => 1,
            _ => 0,
        });
        self.turn.extend(events);
    }

    /// The event as the process sees it at this time, and the worker that is free for the
    /// next order; none for an answer that nobody waits for any more.
    fn seen(&mut self, at_us: u64, event: Event) -> Option<(Event, Option<SocketAddr>)> {
        let Event::Ordered { id, outcome } = event else {
            return Some((event, None));
        };
        let open = self.open.remove(&id)?;
        let outcome = match at_us > open.until_us {
            true => OrderOutcome::Unanswered,
            false => outcome,
        };
        self.unanswered += u64::from(outcome == OrderOutcome::Unanswered);
        let orders = self.by_worker.entry(open.address).or_default();
        orders.under_way.retain(|under_way| *under_way != id);
        orders.waiting.retain(|waiting| waiting.id != id);
        Some((Event::Ordered { id, outcome }, Some(open.address)))
    }

    /// The next order to a worker, if its turn has come.
    fn freed(&mut self, address: SocketAddr) -> Option<Order> {
        let orders = self.by_worker.get_mut(&address)?;
        if orders.under_way.len() >= ORDERS_PER_WORKER {
            return None;
        }
        let order = orders.waiting.pop_front()?;
        orders.under_way.push(order.id);
        Some(order)
    }
}

/// What an event costs beside the looks and orders that come of it.
fn cost_us(event: &Event) -> u64 {
    match event {
        Event::Tick => TICK_US,
        Event::Ordered { outcome, .. } => match outcome {
            OrderOutcome::Listed { .. } | OrderOutcome::Since { .. } => LISTING_US,
            OrderOutcome::Done { .. } | OrderOutcome::Rejected { .. } => ANSWER_US,
            OrderOutcome::Unanswered | OrderOutcome::NotSent => OTHER_US,
        },
        Event::Peer { .. } => PEER_US,
        Event::Call { .. } => CALL_US,
        _ => OTHER_US,
    }
}

impl World {
    /// The processor of an instance that has a limited one.
    pub fn processor(&self, at: &EntryName) -> &Processor {
        &self.processors[at]
    }

    /// The things that an instance's recurring looks walked over.
    pub fn visited(&self, at: &EntryName) -> u64 {
        self.controls[at].node.as_ref().map_or(0, |n| n.visited())
    }

    /// A process that starts has nothing to do yet.
    pub(super) fn renew_processor(&mut self, at: &EntryName) {
        if self.look_us.is_some() {
            self.processors
                .insert(at.clone(), Processor::new(self.now_ms));
        }
    }

    /// Lets the instances with processors work up to now.
    pub(super) fn work(&mut self) {
        for at in self.processors.keys().cloned().collect::<Vec<_>>() {
            while let Some((at_us, event)) = self.next_event(&at) {
                self.work_on(&at, at_us, event);
            }
        }
    }

    fn next_event(&mut self, at: &EntryName) -> Option<(u64, Event)> {
        let control = &self.controls[at];
        if control.node.is_none() || control.frozen {
            return None;
        }
        self.processors.get_mut(at)?.next(self.now_ms)
    }

    fn work_on(&mut self, at: &EntryName, at_us: u64, event: Event) {
        let Some(processor) = self.processors.get_mut(at) else {
            return;
        };
        let Some((event, freed)) = processor.seen(at_us, event) else {
            return;
        };
        let ticks = matches!(event, Event::Tick);
        let mut worked_us = cost_us(&event);
        let before = self.visited(at);
        let effects = self.decide(at, at_us / 1_000, event);
        worked_us += (self.visited(at) - before) * self.look_us.unwrap_or(0);
        let orders = effects.iter().filter(|e| matches!(e, Effect::Order(_)));
        worked_us += orders.count() as u64 * ORDER_US;
        let Some(processor) = self.processors.get_mut(at) else {
            return;
        };
        processor.busy_until_us = at_us + worked_us;
        processor.worked_us += worked_us;
        processor.ticks += u64::from(ticks);
        processor.ticks_us += if ticks { worked_us } else { 0 };
        self.work_left_ms = (processor.busy_until_us / 1_000).saturating_sub(self.now_ms);
        self.carry_out_all(at, effects);
        if let Some(address) = freed {
            self.send_freed(at, address);
        }
        self.work_left_ms = 0;
    }

    /// Takes an order to a worker: returns it if it leaves at once.
    pub(super) fn leaves(&mut self, from: &EntryName, start: u64, order: Order) -> Option<Order> {
        let at_us = (self.now_ms + self.work_left_ms) * 1_000;
        let Some(processor) = self.processors.get_mut(from) else {
            return Some(order);
        };
        let open = Open {
            address: order.address,
            until_us: at_us + order.timeout_ms * 1_000,
        };
        processor.open.insert(order.id, open);
        let over = Flying::Ordered {
            to: from.clone(),
            start,
            id: order.id,
            outcome: OrderOutcome::Unanswered,
        };
        let address = order.address;
        let timeout_ms = order.timeout_ms;
        let orders = processor.by_worker.entry(address).or_default();
        orders.waiting.push_back(order);
        let order = processor.freed(address);
        self.fly(timeout_ms, over);
        order
    }

    fn send_freed(&mut self, at: &EntryName, address: SocketAddr) {
        let start = self.starts[at];
        while let Some(order) = self.processors.get_mut(at).and_then(|p| p.freed(address)) {
            self.send_order(at.clone(), start, order);
        }
    }

    /// What is left of a renewal that its worker goes on to hold, as nothing has ended.
    pub(super) fn held(&self, order: &Order, outcome: &OrderOutcome) -> Option<Order> {
        let OrderOutcome::Listed { ended, .. } = outcome else {
            return None;
        };
        let mut order = order.clone();
        let OrderKind::Renew { wait_ms, .. } = &mut order.kind else {
            return None;
        };
        if self.look_us.is_none() || !ended.is_empty() || *wait_ms < HELD_MS {
            return None;
        }
        *wait_ms -= HELD_MS;
        Some(order)
    }

    /// How late this answer of a worker comes.
    pub(super) fn answers_late_ms(&mut self, order: &Order) -> u64 {
        let worker = self.workers.get(&order.address);
        match worker.map_or(0, |worker| worker.answer_late_ms) {
            0 => 0,
            most_ms => self.rng.random_range(0..most_ms),
        }
    }
}
