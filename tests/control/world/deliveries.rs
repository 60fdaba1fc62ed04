//! What travels in the world: messages, writes, orders and their outcomes.

use rand::Rng;
use rosemarygauge::control::{
    Decision, Effect, Event, Machine, MachineOrder, MachineOrderKind, MachineOutcome, MachinePhase,
    Order, OrderKind, OrderOutcome, PeerMessage, Rejection,
};
use rosemarygauge::jobs::{RunResult, TaskId};
use rosemarygauge::model::EntryName;

use super::processor::HELD_MS;
use super::{Flying, KEEPER, STEP_MS, Seen, TIMING, World};
use crate::naive_disk::replay;

/// Orders that were on their way between instances for so long are not carried out.
const HELD_LONG_MS: u64 = 700;
/// Time in which the leader hears of a worker that started again: a renewal or two reports.
const UNHEARD_MS: u64 = 1_800;

impl World {
    pub(super) fn fly(&mut self, after_ms: u64, flying: Flying) {
        self.sent += 1;
        let at_ms = self.now_ms + self.work_left_ms + after_ms;
        self.flying.insert((at_ms, self.sent), flying);
    }

    pub(super) fn arrive(&mut self, flying: Flying) {
        match flying {
            Flying::Peer {
                from,
                to,
                sent_ms,
                message,
            } => self.message_arrives(from, to, sent_ms, message),
            Flying::Persisted {
                at,
                start,
                token,
                records,
            } => {
                if self.starts[&at] != start || self.controls[&at].node.is_none() {
                    return;
                }
                // The disk's thread tells of a write once, and the instance finds that
                // when it goes on: lost, it would hold back votes and answers for good.
                if self.controls[&at].frozen {
                    let write = Flying::Persisted {
                        at,
                        start,
                        token,
                        records,
                    };
                    return self.fly(STEP_MS, write);
                }
                let disk = &mut self.controls.get_mut(&at).unwrap().disk;
                records.iter().for_each(|record| replay(disk, record));
                self.feed(&at, Event::Persisted { token });
            }
            Flying::Order { from, start, order } => self.order_arrives(&from, start, order),
            Flying::Ordered {
                to,
                start,
                id,
                outcome,
            } => {
                if self.starts[&to] != start {
                    return;
                }
                // An instance that stood still finds it when it goes on, before a tick.
                if self.controls[&to].frozen {
                    let ordered = Flying::Ordered {
                        to,
                        start,
                        id,
                        outcome,
                    };
                    return self.fly(STEP_MS, ordered);
                }
                self.feed(&to, Event::Ordered { id, outcome });
            }
            Flying::Machine {
                from,
                start,
                aborted,
                order,
            } => self.machine_order_arrives(from, start, aborted, order),
            Flying::Event { to, start, event } => {
                if self.starts[&to] == start {
                    self.feed(&to, event);
                }
            }
        }
    }

    /// What is held up goes on, in its order, when the hold ends.
    fn message_arrives(
        &mut self,
        from: EntryName,
        to: EntryName,
        sent_ms: u64,
        message: Box<PeerMessage>,
    ) {
        if !self.controls.contains_key(&to) {
            if let PeerMessage::Welcome { leader, .. } = *message {
                self.welcomed.entry(to).or_default().extend(leader);
            }
            return;
        }
        let pair = (from.to_string(), to.to_string());
        if self.held.contains(&pair) {
            let flying = Flying::Peer {
                from,
                to,
                sent_ms,
                message,
            };
            return self.fly(5, flying);
        }
        if self.cut.contains(&pair) {
            return;
        }
        let old =
            matches!(*message, PeerMessage::Orders { .. }) && self.now_ms > sent_ms + HELD_LONG_MS;
        let before = self.ordered_by(&to);
        self.feed(&to, Event::Peer { from, message });
        let carried = self.ordered_by(&to) - before;
        assert!(
            !old || carried == 0,
            "{to} carries {carried} orders out that left at {sent_ms}, at {}",
            self.now_ms
        );
    }

    fn order_arrives(&mut self, from: &EntryName, start: u64, order: Order) {
        let there = order.address.to_string();
        let (to, id) = (from.clone(), order.id);
        let short = !matches!(order.kind, OrderKind::Renew { .. });
        // Nobody can prevent what arrives before the worker's new process was heard.
        let unheard_ms = self.workers.get(&order.address).map_or(0, |worker| {
            (worker.started_again_ms + UNHEARD_MS).saturating_sub(self.now_ms)
        });
        if start == 0 && unheard_ms > 0 {
            let from = from.clone();
            return self.fly(unheard_ms, Flying::Order { from, start, order });
        }
        // Only what has just been sent waits for its turn.
        if start > 0 && short && self.crowded.contains(&order.address) {
            let outcome = OrderOutcome::NotSent;
            let ordered = Flying::Ordered {
                to,
                start,
                id,
                outcome,
            };
            return self.fly(order.timeout_ms, ordered);
        }
        let startless = matches!(order.kind, OrderKind::Start { .. })
            && self.startless.contains(&order.address);
        if startless || self.is_cut(from.as_str(), &there) {
            let outcome = OrderOutcome::Unanswered;
            let after_ms = order.timeout_ms;
            return self.fly(
                after_ms,
                Flying::Ordered {
                    to,
                    start,
                    id,
                    outcome,
                },
            );
        }
        if self.late_per_mille > 0 && self.rng.random_range(0..1_000) < self.late_per_mille {
            let outcome = OrderOutcome::Unanswered;
            let after_ms = order.timeout_ms;
            self.fly(
                after_ms,
                Flying::Ordered {
                    to,
                    start,
                    id,
                    outcome,
                },
            );
            let late_ms = self.rng.random_range(2_000..12_000);
            let order = Order { id: 0, ..order };
            return self.fly(
                late_ms,
                Flying::Order {
                    from: from.clone(),
                    start: 0,
                    order,
                },
            );
        }
        let outcome = self.carry_out(&order);
        if let Some(order) = outcome.as_ref().and_then(|o| self.held(&order, o)) {
            let from = from.clone();
            return self.fly(HELD_MS, Flying::Order { from, start, order });
        }
        let back_cut = self.is_cut(&there, from.as_str());
        let outcome = match outcome {
            Some(outcome) if !back_cut => outcome,
            _ => OrderOutcome::Unanswered,
        };
        let waits = match &order.kind {
            OrderKind::Renew { wait_ms, .. } => (*wait_ms).min(100),
            _ => 2,
        };
        let after_ms = match outcome {
            OrderOutcome::Unanswered => order.timeout_ms,
            _ => waits + self.answers_late_ms(&order),
        };
        self.fly(
            after_ms,
            Flying::Ordered {
                to,
                start,
                id,
                outcome,
            },
        );
    }

    fn carry_out(&mut self, order: &Order) -> Option<OrderOutcome> {
        let now_ms = self.now_ms;
        let expired = self.has_expired_ticket(order);
        let worker = self.workers.get_mut(&order.address)?;
        worker.tick(now_ms);
        if worker.name != order.worker.as_str() {
            return Some(OrderOutcome::Rejected {
                reason: Rejection::Incarnation,
                clock_ms: None,
            });
        }
        if expired {
            return Some(OrderOutcome::Rejected {
                reason: Rejection::Ticket,
                clock_ms: None,
            });
        }
        let before = worker.going.len();
        let outcome = worker.order(now_ms, order.fence, &order.kind);
        let began = worker.going.len() > before;
        let name = worker.name.clone();
        let noted = std::mem::take(&mut worker.noted);
        noted
            .into_iter()
            .for_each(|(task, at_ms)| self.note_done(task, at_ms));
        if let (true, OrderKind::Start { task, .. }) = (began, &order.kind) {
            let seen = Seen {
                task: *task,
                worker: name,
                began_ms: now_ms,
            };
            self.check_start(&seen);
            self.runs.push(seen);
        }
        Some(outcome)
    }

    /// A run's end as done was acknowledged to its worker: no run of the task began after it.
    fn note_done(&mut self, task: TaskId, at_ms: u64) {
        let again = self
            .runs
            .iter()
            .find(|run| run.task == task && run.began_ms > at_ms);
        assert!(
            again.is_none() || self.copies,
            "{again:?} began after a run that was done at {at_ms}"
        );
        self.done_ms.entry(task).or_insert(at_ms);
    }

    /// The promises that hold at every start.
    fn check_start(&self, seen: &Seen) {
        let elsewhere = self.workers.values().filter(|w| w.name != seen.worker);
        let twice = elsewhere
            .filter(|w| w.going.contains_key(&seen.task))
            .count();
        assert!(
            twice == 0 || self.copies,
            "{seen:?} runs twice at {}",
            self.now_ms
        );
        let done_ms = self.done_ms.get(&seen.task);
        assert!(
            done_ms.is_none() || self.copies,
            "{seen:?} starts after a run that was done at {done_ms:?}"
        );
        if let Some(at) = self.cancelled_ms.get(&seen.task.job) {
            assert!(
                self.now_ms < at + 3_000,
                "{seen:?} starts after its job was cancelled"
            );
        }
    }

    /// What is held up by a cut arrives when it heals, unless its sender has thrown it
    /// away by then.
    fn machine_order_arrives(
        &mut self,
        from: EntryName,
        start: u64,
        aborted: u64,
        order: MachineOrder,
    ) {
        if !self.is_cut(from.as_str(), KEEPER) {
            return self.machine_order(&from, start, order);
        }
        if self.aborted.get(&from).copied().unwrap_or(0) == aborted {
            self.fly(
                10,
                Flying::Machine {
                    from,
                    start,
                    aborted,
                    order,
                },
            );
        }
    }

    fn machine_order(&mut self, from: &EntryName, start: u64, order: MachineOrder) {
        let now_ms = self.now_ms;
        let seen = self.fences.entry(order.machine.clone()).or_default();
        assert!(
            order.fence >= *seen,
            "an order of {from} with token {} comes after one with {seen}: {order:?}",
            order.fence
        );
        *seen = order.fence;
        let found = self.workers.values().find(|w| w.machine == order.machine);
        let found = found.map(|w| (w.address, w.pool.clone()));
        let outcome = match (found, order.kind) {
            (None, _) => MachineOutcome::Busy,
            (Some(_), MachineOrderKind::Upkeep { .. })
                if self.upkeeps.iter().any(|(_, done)| *done == order.machine) =>
            {
                MachineOutcome::Done
            }
            (Some((address, pool)), MachineOrderKind::Upkeep { .. }) => {
                self.workers.remove(&address);
                self.returning
                    .push((now_ms + TIMING.upkeep_ms, address, pool));
                self.upkeeps.push((now_ms, order.machine));
                let down = self
                    .upkeeps
                    .iter()
                    .filter(|(at, _)| now_ms < at + TIMING.upkeep_ms);
                self.down_most = self.down_most.max(down.count());
                MachineOutcome::Done
            }
            (Some((address, _)), MachineOrderKind::Move { pool }) => {
                self.workers.remove(&address);
                self.returning
                    .push((now_ms + 1_500, address, pool.to_string()));
                self.moves.push((now_ms, order.machine, pool.to_string()));
                MachineOutcome::Done
            }
        };
        let event = Event::MachineOrdered {
            id: order.id,
            outcome,
        };
        let to = from.clone();
        self.fly(5, Flying::Event { to, start, event });
    }

    /// Gives an instance an event, which waits for its turn if it has little processor time.
    pub fn feed(&mut self, at: &EntryName, event: Event) {
        match self.processors.get_mut(at) {
            Some(processor) => processor.receive(event),
            None => self.handle(at, self.now_ms, event),
        }
    }

    /// Lets an instance handle an event, and returns what it wants done.
    pub(super) fn decide(&mut self, at: &EntryName, now_ms: u64, event: Event) -> Vec<Effect> {
        let Some(control) = self.controls.get_mut(at) else {
            return Vec::new();
        };
        let Some(node) = control.node.as_mut().filter(|_| !control.frozen) else {
            return Vec::new();
        };
        node.handle(now_ms, event)
    }

    fn handle(&mut self, at: &EntryName, now_ms: u64, event: Event) {
        let effects = self.decide(at, now_ms, event);
        self.carry_out_all(at, effects);
    }

    pub(super) fn carry_out_all(&mut self, at: &EntryName, effects: Vec<Effect>) {
        let start = self.starts[at];
        for effect in effects {
            self.effect(at, start, effect);
        }
    }

    pub(super) fn send_order(&mut self, from: EntryName, start: u64, order: Order) {
        let after_ms = self.rng.random_range(1..4);
        self.fly(after_ms, Flying::Order { from, start, order });
    }

    fn effect(&mut self, at: &EntryName, start: u64, effect: Effect) {
        let from = at.clone();
        match effect {
            Effect::Answer { id, answer } => {
                self.answers.insert(id, answer);
            }
            Effect::Send { to, message } => {
                let after_ms = self.rng.random_range(1..4);
                let sent_ms = self.now_ms;
                let flying = Flying::Peer {
                    from,
                    to,
                    sent_ms,
                    message,
                };
                self.fly(after_ms, flying);
            }
            Effect::Persist { token, records } => {
                self.fly(
                    self.sync_ms,
                    Flying::Persisted {
                        at: from,
                        start,
                        token,
                        records,
                    },
                );
            }
            Effect::Order(order) => {
                *self.ordered.entry(from.clone()).or_default() += 1;
                if let Some(order) = self.leaves(&from, start, order) {
                    self.send_order(from, start, order);
                }
            }
            Effect::OrderMachine(order) => {
                let aborted = self.aborted.get(&from).copied().unwrap_or(0);
                self.fly(
                    5,
                    Flying::Machine {
                        from,
                        start,
                        aborted,
                        order,
                    },
                );
            }
            Effect::AbortOrders => *self.aborted.entry(from).or_default() += 1,
            Effect::ListMachines => {
                let machines = Some(self.machines());
                let event = Event::MachinesListed { machines };
                self.fly(
                    5,
                    Flying::Event {
                        to: from,
                        start,
                        event,
                    },
                );
            }
            Effect::Advise {
                id,
                workers,
                timeout_ms,
                ..
            } => self.advise(from, start, id, workers, timeout_ms),
            Effect::Count(decision) => {
                self.done += u64::from(decision == Decision::RunEnded(RunResult::Done));
                *self.decisions.entry(decision.to_string()).or_default() += 1;
            }
            Effect::Stopped => self.kill(&from),
        }
    }

    /// The list names those that are there or on their way back.
    fn machines(&self) -> Vec<Machine> {
        let workers = self.workers.values();
        workers
            .map(|w| Machine {
                zone: None,
                name: w.machine.clone(),
                pool: w.pool.as_str().into(),
                phase: MachinePhase::Up,
                worker: Some(w.name.as_str().into()),
            })
            .chain(self.returning.iter().map(|(_, address, pool)| Machine {
                zone: None,
                name: format!("m-{}", address.port()),
                pool: pool.as_str().into(),
                phase: MachinePhase::Down,
                worker: None,
            }))
            .collect()
    }
}
