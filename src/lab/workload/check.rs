//! The check of every value of a workload.

use std::collections::BTreeSet;

use super::super::{Spread, WorkloadFault};
use super::{Demand, QueueSpec, Workload};
use crate::jobs::Resources;

/// The longest play.
const PLAY_MAX_S: f64 = 3_600.0;
/// The longest time that is taken for meant.
const TIME_MAX_MS: f64 = 600_000.0;
/// Ports tell machines apart.
const MACHINES_MAX: f64 = 50_000.0;
/// Some times what a fleet of a thousand machines gets; all jobs are drawn before a play.
const JOBS_MAX_PER_S: f64 = 5_000.0;
/// Below a worker's lease of 5 s with an election: emulated workers do not watch theirs.
const LEADER_DOWN_MAX_MS: f64 = 2_000.0;
const NAME_MAX_BYTES: usize = 40;

impl Workload {
    /// What is wrong with it.
    pub fn faults(&self) -> Vec<WorkloadFault> {
        let mut check = Check::default();
        check.range("play_s", self.play_s as f64, 1.0, PLAY_MAX_S);
        self.check_fleet(&mut check);
        self.check_demand(&mut check);
        self.check_faults(&mut check);
        let mut names = BTreeSet::new();
        check.range("queues (count)", self.queues.len() as f64, 1.0, 1_000.0);
        for (place, queue) in self.queues.iter().enumerate() {
            let at = format!("queues[{place}]");
            check.name(&format!("{at}.name"), &queue.name, &mut names);
            self.check_queue(&at, queue, &mut check);
        }
        let most = self.jobs_per_s() * self.demand.most(self.fleet.pools.len());
        check.range(
            "queues: jobs_per_s of all, times the largest demand",
            most,
            0.0,
            JOBS_MAX_PER_S,
        );
        check.found
    }

    fn check_fleet(&self, check: &mut Check) {
        let fleet = &self.fleet;
        let mut names = BTreeSet::new();
        let pools = fleet.pools.len();
        check.range("fleet.pools (count)", pools as f64, 1.0, 1_000.0);
        for (place, pool) in fleet.pools.iter().enumerate() {
            let at = format!("fleet.pools[{place}]");
            check.name(&format!("{at}.name"), &pool.name, &mut names);
            let workers = f64::from(pool.workers);
            check.range(&format!("{at}.workers"), workers, 1.0, MACHINES_MAX);
        }
        if let Some(standby) = &fleet.standby {
            check.name("fleet.standby.name", &standby.name, &mut names);
        }
        let size = fleet.size() as f64;
        check.range("fleet: machines of all pools", size, 1.0, MACHINES_MAX);
        check.range("fleet.cpu_milli", fleet.cpu_milli.into(), 1.0, 1e6);
        check.range("fleet.memory_mb", fleet.memory_mb.into(), 1.0, 1e8);
        check.range("fleet.rack_size", fleet.rack_size.into(), 1.0, 1_000.0);
        check.time("fleet.move_ms", fleet.move_ms);
        check.time("fleet.upkeep_ms", fleet.upkeep_ms);
    }

    fn check_queue(&self, at: &str, queue: &QueueSpec, check: &mut Check) {
        let field = |name: &str| format!("{at}.{name}");
        if !self.fleet.pools.iter().any(|p| p.name == queue.pool) {
            check.found.push(WorkloadFault::NoPool {
                field: field("pool"),
                pool: queue.pool.clone(),
            });
        }
        let rate = queue.jobs_per_s;
        check.range(&field("jobs_per_s"), rate, 0.0, JOBS_MAX_PER_S);
        check.spread(&field("estimate_factor"), queue.estimate_factor);
        check.spread(&field("run_factor"), queue.run_factor);
        check.range(&field("failing_part"), queue.failing_part, 0.0, 0.9);
        check.range(&field("slack_factor"), queue.slack_factor, 0.0, 100.0);
        let target_ms = queue.target_latency_ms as f64;
        check.range(&field("target_latency_ms"), target_ms, 0.0, TIME_MAX_MS);
        check.range(
            &field("attempts_max"),
            queue.attempts_max.into(),
            1.0,
            100.0,
        );
        check.range(&field("priority"), queue.priority.into(), 0.0, 100.0);
        let steps = queue.steps.len() as f64;
        check.range(&field("steps (count)"), steps, 1.0, 20.0);
        for (place, step) in queue.steps.iter().enumerate() {
            let at = format!("{at}.steps[{place}]");
            check.range(&format!("{at}.tasks"), step.tasks.into(), 1.0, 1_000.0);
            check.range(&format!("{at}.cpu_milli"), step.cpu_milli.into(), 1.0, 1e6);
            check.time(&format!("{at}.run_ms"), step.run_ms);
            let room = |cpu_milli, memory_mb| Resources {
                cpu_milli,
                memory_mb,
                accelerators: 0,
            };
            let machine = room(self.fleet.cpu_milli, self.fleet.memory_mb);
            if !machine.fits(&room(step.cpu_milli, step.memory_mb)) {
                check.found.push(WorkloadFault::TooLarge { field: at });
            }
        }
    }

    fn check_demand(&self, check: &mut Check) {
        match self.demand {
            Demand::Steady {} => {}
            Demand::Turns { turn_ms, part, .. } => {
                check.range("demand.turns.turn_ms", turn_ms as f64, 100.0, TIME_MAX_MS);
                check.range("demand.turns.part", part, 0.0, 1.0);
            }
            Demand::Bursts {
                every_ms,
                lasts_ms,
                factor,
            } => {
                check.time("demand.bursts.every_ms", every_ms);
                let most_ms = (every_ms as f64).min(TIME_MAX_MS);
                check.range("demand.bursts.lasts_ms", lasts_ms as f64, 1.0, most_ms);
                check.range("demand.bursts.factor", factor, 0.0, 100.0);
            }
            Demand::Growth { factor } => {
                check.range("demand.growth.factor", factor, 0.0, 100.0);
            }
        }
    }

    fn check_faults(&self, check: &mut Check) {
        let faults = &self.faults;
        let (size, play_s) = (self.fleet.size(), self.play_s as f64);
        let rate = faults.crashes_per_hour;
        check.range("faults.crashes_per_hour", rate, 0.0, 3_600.0);
        check.time("faults.down_ms", faults.down_ms);
        let racks = size.div_ceil(usize::from(self.fleet.rack_size).max(1));
        for (place, loss) in faults.racks.iter().enumerate() {
            let at = format!("faults.racks[{place}]");
            check.range(&format!("{at}.at_s"), loss.at_s as f64, 0.0, play_s);
            let last = racks.saturating_sub(1) as f64;
            check.range(&format!("{at}.rack"), loss.rack.into(), 0.0, last);
        }
        for (place, wave) in faults.waves.iter().enumerate() {
            let at = format!("faults.waves[{place}]");
            check.range(&format!("{at}.at_s"), wave.at_s as f64, 0.0, play_s);
            let machines = f64::from(wave.machines);
            check.range(&format!("{at}.machines"), machines, 1.0, size as f64);
            check.time(&format!("{at}.duration_ms"), wave.duration_ms);
            let down = wave.down_max as f64;
            check.range(&format!("{at}.down_max"), down, 1.0, size as f64);
        }
        for (place, loss) in faults.leader.iter().enumerate() {
            let at = format!("faults.leader[{place}]");
            check.range(&format!("{at}.at_s"), loss.at_s as f64, 0.0, play_s);
            let down_ms = loss.down_ms as f64;
            check.range(&format!("{at}.down_ms"), down_ms, 1.0, LEADER_DOWN_MAX_MS);
        }
    }
}

/// Gathers what is wrong.
#[derive(Debug, Default)]
struct Check {
    found: Vec<WorkloadFault>,
}

impl Check {
    fn range(&mut self, field: &str, value: f64, least: f64, most: f64) {
        if !value.is_finite() || value < least || value > most {
            self.found.push(WorkloadFault::OutOfRange {
                field: field.to_owned(),
                value,
                least,
                most,
            });
        }
    }

    fn time(&mut self, field: &str, value_ms: u64) {
        self.range(field, value_ms as f64, 1.0, TIME_MAX_MS);
    }

    fn spread(&mut self, field: &str, spread: Spread) {
        self.range(&format!("{field}.least"), spread.least, 0.01, 100.0);
        let least = spread.least.max(0.01);
        self.range(&format!("{field}.most"), spread.most, least, 100.0);
    }

    fn name(&mut self, field: &str, name: &str, names: &mut BTreeSet<String>) {
        let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        let right = (1..=NAME_MAX_BYTES).contains(&name.len()) && name.bytes().all(plain);
        if !right || !names.insert(name.to_owned()) {
            self.found.push(WorkloadFault::BadName {
                field: field.to_owned(),
                name: name.to_owned(),
            });
        }
    }
}
