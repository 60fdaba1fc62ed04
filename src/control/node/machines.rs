//! Machine orders of the leader: upkeep during waves, and moves of machines between pools.

use std::collections::{BTreeMap, BTreeSet};

use super::Node;
use super::leader_state::Waiter;
use super::pass::request_stop;
use crate::control::{
    CapacityInput, Change, Decision, Effect, Machine, MachineOrder, MachineOrderKind,
    MachineOutcome, PoolDemand, State, Upkeep, UpkeepInput, UpkeepStep, WorkspaceShares, demand,
};
use crate::model::{InstanceName, PoolName, ZoneName};

/// Interval at which waves and pools are checked. It is a fraction of the time that a
/// machine takes for an upkeep or a move.
const MACHINE_CHECK_INTERVAL_MS: u64 = 100;
/// Workers for which that interval grows by 1 ms, for the same reason.
const DEMAND_WORKERS_PER_MS: u64 = 60;
/// Time after the last change of a job, a worker or a machine after which no need changes any
/// more: the longest window over which arrivals are counted has passed.
const SETTLED_MS: u64 = 5_000;
/// Interval between two computations from then on.
const SETTLED_INTERVAL_MS: u64 = 1_000;
/// Part of the workers outside of silent zones that a new leader must hear before it moves
/// machines. It would otherwise take those that it has not heard yet for lost, and fetch
/// machines in their place.
const MIN_HEARD_PART: f64 = 0.8;
/// Time after which a new leader moves machines in any case: those that it has not heard by
/// then are lost.
const FIRST_CONTACTS_MS: u64 = 5_000;
/// Active jobs for which the interval between two computations of the pools' demand grows
/// by 1 ms. Each computation visits every active job. At a fixed interval its share of the
/// leader's time would grow with the backlog, and slow the leader so that the backlog grows
/// further.
const DEMAND_JOBS_PER_MS: u64 = 20;

impl Node {
    pub(super) fn manage_machines(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        if now_ms < lead.last_machine_check_ms + MACHINE_CHECK_INTERVAL_MS
            || self.state.configuration().is_none()
        {
            return;
        }
        lead.last_machine_check_ms = now_ms;
        let demand_interval_ms = match now_ms < lead.changed_ms + SETTLED_MS {
            true => {
                self.state.active_count() as u64 / DEMAND_JOBS_PER_MS
                    + self.state.workers().len() as u64 / DEMAND_WORKERS_PER_MS
            }
            false => SETTLED_INTERVAL_MS,
        };
        let demand_due = now_ms >= lead.last_demand_ms + demand_interval_ms;
        if demand_due {
            lead.last_demand_ms = now_ms;
        }
        if lead.machines.request_if_due(now_ms) {
            self.out.push(Effect::ListMachines);
        }
        self.advance_waves(now_ms);
        self.skip_removed_machines(now_ms);
        if demand_due {
            self.rebalance_pools(now_ms);
        }
        self.send_stops(now_ms);
    }

    fn advance_waves(&mut self, now_ms: u64) {
        let now_unix_ms = self.clock.unix_ms(now_ms);
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let off = lead.capacity.standby_machines().cloned().collect();
        let busy = lead.scheduler.proposed.values().map(|p| p.worker.clone());
        let world = UpkeepInput {
            state: &self.state,
            fleet: &lead.fleet,
            off: &off,
            ordered: &lead
                .machine_orders
                .values()
                .map(|(o, _)| &o.machine)
                .collect(),
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
                    request_stop(now_ms, lead.fleet.run_mut(&worker, task, attempt));
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

    /// Marks machines of a wave that are permanently gone as done, so that the wave does
    /// not wait for them.
    fn skip_removed_machines(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        if self.state.waves().values().all(|wave| wave.is_completed()) {
            return;
        }
        for wave in self.state.waves().values() {
            for machine in wave.due() {
                if self.state.worker_on(machine).is_some() || lead.capacity.is_off(machine) {
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

    fn rebalance_pools(&mut self, now_ms: u64) {
        let now_unix_ms = self.clock.unix_ms(now_ms);
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(configuration) = self.state.configuration() else {
            return;
        };
        let policy = &self.settings.policy;
        let history = self.state.history();
        let estimates = match policy.order.learn {
            true => history.estimates(),
            false => &self.default_estimates,
        };
        self.visited += self.state.active_count() as u64;
        let no_shares = WorkspaceShares::default();
        let demand = demand(
            now_ms,
            now_unix_ms,
            &self.state,
            &lead.fleet,
            estimates,
            if policy.order.by_share {
                &lead.scheduler.shares
            } else {
                &no_shares
            },
            policy,
        );
        let forecast = &mut lead.forecast;
        forecast.tick(now_unix_ms, history, estimates, configuration);
        let offers = forecast.offers(now_unix_ms, history, estimates, configuration, policy);
        let mut busy: BTreeSet<InstanceName> = lead.upkeep.closed_workers().cloned().collect();
        busy.extend(lead.workers_ending.iter().cloned());
        busy.extend(lead.scheduler.proposed.values().map(|p| p.worker.clone()));
        let queues = configuration.queues.iter();
        let awaited = queues.map(|queue| {
            let cores = lead.forecast.awaited_cores(&queue.pool, &policy.turns);
            (queue.pool.clone(), cores)
        });
        let silent_zones = lead.fleet.silent_zones(now_ms);
        let is_settled = lead.led_for_ms(now_ms) >= FIRST_CONTACTS_MS
            || is_mostly_heard(&self.state, &demand, &silent_zones);
        let open = lead.machine_orders.len();
        let moves_max = match is_settled {
            true => lead.order_pace.allowance(now_ms, open),
            false => 0,
        };
        let world = CapacityInput {
            state: &self.state,
            demand: &demand,
            offers: &offers,
            awaited: &awaited.collect(),
            busy: &busy,
            in_upkeep: &lead.upkeep.machines_in_upkeep().cloned().collect(),
            due: &Upkeep::due_machines(&self.state),
            silent_zones: &silent_zones,
            round_ms: lead.forecast.round_ms(),
            moves_max,
            policy,
        };
        let moves = lead.capacity.tick(now_ms, &world);
        lead.order_pace.record_sent(now_ms, moves.len());
        for moved in &moves {
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
        }
        self.preempt_runs(now_ms);
        for moved in moves {
            let kind = MachineOrderKind::Move { pool: moved.pool };
            self.send_machine_order(moved.machine, moved.worker, kind);
        }
    }

    /// Sends an order to the machine manager that ends `worker`, the incarnation on the
    /// machine.
    pub(super) fn send_machine_order(
        &mut self,
        machine: String,
        worker: Option<InstanceName>,
        kind: MachineOrderKind,
    ) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let order = MachineOrder {
            id: lead.allocate_id(),
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

    pub(super) fn handle_machine_list(&mut self, now_ms: u64, machines: Option<Vec<Machine>>) {
        let Some(lead) = &mut self.leader_state else {
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

    pub(super) fn finish_machine_order(&mut self, now_ms: u64, id: u64, outcome: MachineOutcome) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some((order, worker)) = lead.machine_orders.remove(&id) else {
            return;
        };
        lead.changed_ms = now_ms;
        tracing::info!(machine = order.machine, order = ?order.kind, %outcome, "machine: ordered");
        match &order.kind {
            MachineOrderKind::Upkeep { wave } => {
                self.finish_upkeep_order(now_ms, *wave, order.machine, worker, outcome);
            }
            MachineOrderKind::Move { pool } => match outcome {
                MachineOutcome::Done => {
                    lead.capacity
                        .record_move(now_ms, &self.state, &order.machine, pool);
                    self.propose_worker_gone(worker);
                }
                MachineOutcome::Unanswered => {
                    self.send_machine_order(order.machine, worker, order.kind);
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

    fn finish_upkeep_order(
        &mut self,
        now_ms: u64,
        wave: u64,
        machine: String,
        worker: Option<InstanceName>,
        outcome: MachineOutcome,
    ) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        match outcome {
            MachineOutcome::Done | MachineOutcome::NoSuchMachine => {
                let change = Change::UpkeepBegun {
                    wave,
                    machine: machine.clone(),
                };
                lead.pending.add(change, None);
                self.propose_worker_gone(worker);
            }
            MachineOutcome::Fenced | MachineOutcome::Busy | MachineOutcome::Overloaded => {
                lead.upkeep.record_not_begun(now_ms, &machine, true);
            }
            MachineOutcome::Unanswered => lead.upkeep.record_not_begun(now_ms, &machine, false),
        }
    }

    /// Proposes the removal of the worker incarnation that was on a machine when the
    /// machine was ordered. All its runs have ended. The incarnation that is there now may
    /// be its successor, which is left alone.
    fn propose_worker_gone(&mut self, worker: Option<InstanceName>) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        if let Some(worker) = worker
            && self.state.worker(&worker).is_some()
            && lead.workers_ending.insert(worker.clone())
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
        self.send_machine_order(machine, worker, MachineOrderKind::Upkeep { wave });
    }
}

/// Returns whether most of the workers that take work are heard, silent zones aside.
fn is_mostly_heard(
    state: &State,
    demand: &BTreeMap<PoolName, PoolDemand>,
    silent_zones: &BTreeSet<ZoneName>,
) -> bool {
    let heard: usize = demand.values().map(|pool| pool.workers.len()).sum();
    let known = state
        .workers()
        .values()
        .filter(|worker| worker.takes_work() && !silent_zones.contains(&worker.report.zone));
    heard as f64 >= MIN_HEARD_PART * known.count() as f64
}
