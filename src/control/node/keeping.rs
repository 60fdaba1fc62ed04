//! What the leader orders of the keeper of the machines: upkeeps and moves.

use std::collections::BTreeSet;

use super::super::{
    CapacityWorld, Change, Decision, Effect, Machine, MachineOrder, MachineOrderKind,
    MachineOutcome, Upkeep, UpkeepStep, UpkeepWorld, demand,
};
use super::Node;
use super::lead::Waiter;
use super::pass::want_stop;
use crate::model::InstanceName;

/// How often waves and pools are looked at: a fraction of the time that a machine
/// takes for either.
const KEEP_MS: u64 = 100;
/// Jobs that may be looked at in a millisecond between two looks at what pools need, which
/// come to each of them: with more jobs the looks are further apart. Else they take the
/// leader's time in proportion to what waits, and what waits grows by that.
const NEEDS_JOBS_PER_MS: u64 = 20;

impl Node {
    pub(super) fn keep_machines(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        if now_ms < lead.keep_ms + KEEP_MS || self.state.configuration().is_none() {
            return;
        }
        lead.keep_ms = now_ms;
        let apart_ms = self.state.active_count() as u64 / NEEDS_JOBS_PER_MS;
        let needs_due = now_ms >= lead.needs_ms + apart_ms;
        if needs_due {
            lead.needs_ms = now_ms;
        }
        if lead.machines.request_if_due(now_ms) {
            self.out.push(Effect::ListMachines);
        }
        self.keep_waves(now_ms);
        self.tell_gone(now_ms);
        if needs_due {
            self.keep_pools(now_ms);
        }
        self.order_stops(now_ms);
    }

    fn keep_waves(&mut self, now_ms: u64) {
        let now_unix_ms = self.clock.unix_ms(now_ms);
        let Some(lead) = &mut self.lead else {
            return;
        };
        let off = lead.capacity.standby_machines().cloned().collect();
        let busy = lead.scheduler.proposed.values().map(|p| p.worker.clone());
        let world = UpkeepWorld {
            state: &self.state,
            fleet: &lead.fleet,
            off: &off,
            policy: &self.settings.policy.upkeep,
            busy: &busy.collect(),
            timing: &self.settings.timing,
        };
        let steps = lead.upkeep.tick(now_ms, now_unix_ms, &world);
        for step in steps {
            match step {
                UpkeepStep::Stop {
                    worker,
                    task,
                    attempt,
                } => {
                    tracing::info!(%task, attempt, %worker, "upkeep: a task is moved away");
                    want_stop(now_ms, lead.fleet.run_mut(&worker, task, attempt));
                }
                UpkeepStep::Begin {
                    wave,
                    machine,
                    worker,
                } => {
                    let waiter = Waiter::Upkeep {
                        wave,
                        machine: machine.clone(),
                        worker: worker.clone(),
                    };
                    let change = Change::UpkeepAsked {
                        wave,
                        machine,
                        worker,
                    };
                    lead.pending.add(change, Some(waiter));
                }
            }
        }
    }

    /// Waves do not wait for machines that are gone for good.
    fn tell_gone(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        if self.state.waves().values().all(|wave| wave.is_completed()) {
            return;
        }
        let known = Upkeep::machines(&self.state);
        for wave in self.state.waves().values() {
            for machine in wave.due() {
                if known.contains_key(machine) || lead.capacity.is_off(machine) {
                    lead.machines.record_present(machine);
                } else if lead.machines.record_missing(now_ms, machine) {
                    tracing::info!(
                        wave = wave.number,
                        machine,
                        "upkeep: the machine is gone for good"
                    );
                    let change = Change::UpkeepBegun {
                        wave: wave.number,
                        machine: machine.clone(),
                    };
                    lead.pending.add(change, None);
                }
            }
        }
    }

    fn keep_pools(&mut self, now_ms: u64) {
        let now_unix_ms = self.clock.unix_ms(now_ms);
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(configuration) = self.state.configuration() else {
            return;
        };
        let policy = &self.settings.policy;
        let history = self.state.history();
        let estimates = match policy.order.learn {
            true => history.estimates(),
            false => &self.unlearnt,
        };
        self.looked += self.state.active_count() as u64;
        let demand = demand(
            now_ms,
            now_unix_ms,
            &self.state,
            &lead.fleet,
            estimates,
            &policy.needs,
        );
        let forecast = &mut lead.forecast;
        forecast.tick(now_unix_ms, history, estimates, configuration);
        let offers = forecast.offers(now_unix_ms, history, estimates, configuration, policy);
        let mut busy: BTreeSet<InstanceName> = lead.upkeep.closed_workers().cloned().collect();
        busy.extend(lead.ending.iter().cloned());
        busy.extend(lead.scheduler.proposed.values().map(|p| p.worker.clone()));
        let world = CapacityWorld {
            state: &self.state,
            demand: &demand,
            offers: &offers,
            busy: &busy,
            in_upkeep: &lead.upkeep.machines_in_upkeep().cloned().collect(),
            due: &Upkeep::due_machines(&self.state),
            policy,
        };
        let moves = lead.capacity.tick(now_ms, &world);
        for moved in moves {
            let pool = demand.get(&moved.pool);
            let offer = offers.get(&moved.pool).copied().unwrap_or_default();
            tracing::info!(
                machine = moved.machine, to = %moved.pool,
                has = pool.map_or(0, |d| d.workers.len()),
                lasting = pool.map_or(0.0, |d| d.lasting.cores),
                work = pool.map_or(0.0, |d| d.work.cores),
                arriving = offer.load.cores,
                rise = offer.rise,
                foreseen = offer.foreseen.cores,
                "capacity: a machine moves"
            );
            let worker = Upkeep::worker_on(&self.state, &moved.machine).cloned();
            let kind = MachineOrderKind::Move { pool: moved.pool };
            self.order_machine(moved.machine, worker, kind);
        }
    }

    /// Orders something of the keeper that ends the `worker` on the machine.
    pub(super) fn order_machine(
        &mut self,
        machine: String,
        worker: Option<InstanceName>,
        kind: MachineOrderKind,
    ) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let order = MachineOrder {
            id: lead.draw_id(),
            fence: lead.term,
            machine,
            kind,
        };
        lead.machine_orders
            .insert(order.id, (order.clone(), worker));
        let decision = match order.kind {
            MachineOrderKind::Upkeep { .. } => Decision::UpkeepOrdered,
            MachineOrderKind::Move { .. } => Decision::MachineMoved,
        };
        self.out.push(Effect::Count(decision));
        self.out.push(Effect::OrderMachine(order));
    }

    pub(super) fn machines_listed(&mut self, now_ms: u64, machines: Option<Vec<Machine>>) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.machines.record_list(now_ms, machines.as_deref());
        let Some(machines) = machines else {
            return;
        };
        lead.capacity
            .update_machines(now_ms, &self.state, &machines);
        tracing::info!(
            machines = machines.len(),
            off = lead.capacity.standby_machines().count(),
            "capacity: the list of machines is read"
        );
    }

    pub(super) fn machine_ordered(&mut self, now_ms: u64, id: u64, outcome: MachineOutcome) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some((order, worker)) = lead.machine_orders.remove(&id) else {
            return;
        };
        tracing::info!(machine = order.machine, order = ?order.kind, %outcome, "machine: ordered");
        match &order.kind {
            MachineOrderKind::Upkeep { wave } => {
                self.upkeep_ordered(now_ms, *wave, order.machine, worker, outcome);
            }
            MachineOrderKind::Move { pool } => match outcome {
                MachineOutcome::Done => {
                    lead.capacity
                        .record_move(now_ms, &self.state, &order.machine, pool);
                    self.worker_ended(worker);
                }
                MachineOutcome::Unanswered => {
                    self.order_machine(order.machine, worker, order.kind);
                }
                MachineOutcome::Fenced
                | MachineOutcome::Busy
                | MachineOutcome::NoSuchMachine
                | MachineOutcome::Overloaded => {
                    lead.capacity.record_refusal(now_ms, &order.machine)
                }
            },
        }
    }

    fn upkeep_ordered(
        &mut self,
        now_ms: u64,
        wave: u64,
        machine: String,
        worker: Option<InstanceName>,
        outcome: MachineOutcome,
    ) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        match outcome {
            MachineOutcome::Done | MachineOutcome::NoSuchMachine => {
                let change = Change::UpkeepBegun {
                    wave,
                    machine: machine.clone(),
                };
                lead.pending.add(change, None);
                self.worker_ended(worker);
            }
            MachineOutcome::Fenced | MachineOutcome::Busy | MachineOutcome::Overloaded => {
                lead.upkeep.record_not_begun(now_ms, &machine, true);
            }
            MachineOutcome::Unanswered => lead.upkeep.record_not_begun(now_ms, &machine, false),
        }
    }

    /// All that ran on a machine has ended with the incarnation that was there when it
    /// was ordered; the one that is there now may be the next.
    fn worker_ended(&mut self, worker: Option<InstanceName>) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        if let Some(worker) = worker
            && self.state.worker(&worker).is_some()
            && lead.ending.insert(worker.clone())
        {
            lead.pending.add(Change::Gone { worker }, None);
        }
    }

    pub(super) fn begin_upkeep(
        &mut self,
        wave: u64,
        machine: String,
        worker: Option<InstanceName>,
    ) {
        self.order_machine(machine, worker, MachineOrderKind::Upkeep { wave });
    }
}
