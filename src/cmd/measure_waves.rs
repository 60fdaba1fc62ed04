//! `measure waves`: how waves fare against what no schedule can beat.
//!
//! Runs the real fleet and controller among fake machines in made-up time: a
//! reboot of both deployments' fleets, without failures, with a rack lost
//! mid-wave, and with times off by four both ways; then the planner's time at
//! three sizes. Each line is one run; the seed gives the same figures again, but
//! for the planner's time, which is the machine's.

use std::time::Instant;

use crate::maintenance::bounds::{PoolVisits, Visit, moves_bound, rollout_bound_ms};
use crate::maintenance::{
    Fleet, FleetCommand, Selection, WaveKind, WaveSpec, WaveState, WaveWeights, plan,
};
use crate::model::{Budget, FailureDomain, Instance, InstanceName, Pool, WaveName};

mod world;

pub use world::{Counts, Machine, MachineState, RestartOutcome, STEP_MS, World};

/// Declared times: a minute to drain, four to reboot.
const DRAIN_MS: u64 = 60_000;
const ABSENCE_MS: u64 = 240_000;

/// How far true times lie from what they are drawn around.
const SPREAD_PERCENT: u32 = 30;

/// Instances in a rack.
const RACK_SIZE: u32 = 4;

/// When the rack is lost: the wave is about a third through.
const RACK_LOST_MS: u64 = 10 * 60_000;

/// Longest wave that is waited for.
const LIMIT_MS: u64 = 48 * 3_600_000;

/// A deployment of today's size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Deployment {
    /// The grants office: weighs roll-out time most.
    #[display("grants")]
    Grants,
    /// The wind-tunnel office: weighs moves most.
    #[display("tunnels")]
    Tunnels,
}

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Trouble {
    /// Nothing.
    #[display("none")]
    None,
    /// All instances of a rack are lost mid-wave.
    #[display("rack lost")]
    RackLost,
    /// True times are four times the declared ones in every other pool, and a
    /// quarter of them in the rest.
    #[display("times off by 4")]
    TimesOff,
}

/// One run's figures.
#[derive(Clone, Debug)]
pub struct WaveRun {
    /// The deployment.
    pub deployment: Deployment,
    /// What went wrong.
    pub trouble: Trouble,
    /// From the start to the end of the wave, in milliseconds.
    pub rollout_ms: u64,
    /// No schedule with true times known beforehand is shorter.
    pub rollout_bound_ms: u64,
    /// Moves, those back home included.
    pub moves: u32,
    /// No schedule as short as this one has fewer.
    pub moves_bound: u32,
    /// Instances kept from their pool, times how long, in milliseconds.
    pub buffer_instance_ms: u64,
    /// Instances kept from their pool at once.
    pub buffer_peak: u32,
    /// One instance at a time, in milliseconds; also the least that instances
    /// must be out together, the lower bound of the buffer held.
    pub one_by_one_ms: u64,
    /// One rack at a time, in milliseconds.
    pub rack_by_rack_ms: u64,
    /// Whether the wave came to its end.
    pub done: bool,
}

/// Seeds that a line of the table is taken over.
const RUNS: u64 = 10;

/// Prints the table.
///
/// # Errors
/// None today; the type is that of every command.
pub fn run(seed: u64) -> eyre::Result<()> {
    println!("waves: mean of {RUNS} runs from seed {seed}; times in minutes\n{HEADER}");
    for deployment in [Deployment::Grants, Deployment::Tunnels] {
        for trouble in [Trouble::None, Trouble::RackLost, Trouble::TimesOff] {
            let seeds = seed..seed + RUNS;
            let runs: Vec<WaveRun> = seeds.map(|s| measure(deployment, trouble, s)).collect();
            println!("{}", line(&runs));
        }
    }
    println!("\ncontroller: one step in a wave over all instances, and one change applied");
    for (instances, pools) in [(50, 5), (2_000, 20), (21_000, 70)] {
        println!("{}", time_controller(instances, pools));
    }
    println!("\nplanner: one plan of a wave over all instances");
    for (instances, pools) in [(50, 5), (2_000, 20), (21_000, 70)] {
        println!("{}", time_planner(instances, pools));
    }
    Ok(())
}

const HEADER: &str = "deployment trouble        roll-out  bound  ratio  worst  moves  bound  held/bound  peak  one by one  rack by rack  done";

/// One line of the table: means over the runs, and the worst ratio.
fn line(runs: &[WaveRun]) -> String {
    let Some(first) = runs.first() else {
        return String::new();
    };
    let mean = |value: fn(&WaveRun) -> f64| {
        let total: f64 = runs.iter().map(value).sum();
        total / ratio(u64::try_from(runs.len()).unwrap_or(1), 1)
    };
    let ratios = runs.iter().map(WaveRun::rollout_ratio);
    let done = runs.iter().filter(|run| run.done).count();
    format!(
        "{:<10} {:<14} {:>8.1} {:>6.1} {:>6.2} {:>6.2} {:>6.1} {:>6.1} {:>11.2} {:>5.1} {:>11.1} {:>13.1}  {done}/{}",
        first.deployment.to_string(),
        first.trouble.to_string(),
        mean(|run| minutes(run.rollout_ms)),
        mean(|run| minutes(run.rollout_bound_ms)),
        mean(WaveRun::rollout_ratio),
        ratios.fold(0.0, f64::max),
        mean(|run| f64::from(run.moves)),
        mean(|run| f64::from(run.moves_bound)),
        mean(|run| ratio(run.buffer_instance_ms, run.one_by_one_ms)),
        mean(|run| f64::from(run.buffer_peak)),
        mean(|run| minutes(run.one_by_one_ms)),
        mean(|run| minutes(run.rack_by_rack_ms)),
        runs.len(),
    )
}

impl WaveRun {
    /// Roll-out time over its lower bound.
    pub fn rollout_ratio(&self) -> f64 {
        ratio(self.rollout_ms, self.rollout_bound_ms)
    }
}

/// Runs one wave over a whole deployment.
pub fn measure(deployment: Deployment, trouble: Trouble, seed: u64) -> WaveRun {
    let mut world = World::new(fleet(50, 5, survive(deployment)), seed);
    let spread = u64::from(SPREAD_PERCENT);
    world.draw(spread, |instance| times(instance, trouble));
    let visits = visits(&world);
    let (one_by_one_ms, rack_by_rack_ms) = naive(&world);
    world.run_until(STEP_MS * 5, |_| false);
    let spec = spec(deployment);
    let name = spec.name.clone();
    let start_ms = world.now_ms;
    let _refused = world.apply(&FleetCommand::StartWave { spec });
    if trouble == Trouble::RackLost {
        world.run_until(RACK_LOST_MS, |_| false);
        lose_rack(&mut world);
    }
    let done = world.run_until(LIMIT_MS, |w| is_over(w, &name));
    let rollout_ms = world.now_ms - start_ms;
    let (buffer_instance_ms, buffer_peak) =
        (world.counts.absent_instance_ms, world.counts.absent_peak);
    world.run_until(LIMIT_MS, |w| w.fleet.loans().is_empty());
    let moves = world.counts.moves;
    WaveRun {
        deployment,
        trouble,
        rollout_ms,
        rollout_bound_ms: rollout_bound_ms(&visits, moves.div_ceil(2)).unwrap_or(0),
        moves,
        moves_bound: moves_bound(&visits, rollout_ms),
        buffer_instance_ms,
        buffer_peak,
        one_by_one_ms,
        rack_by_rack_ms,
        done,
    }
}

/// A fleet of `instances` in `pools` of growing size, each rack of four spread
/// over four pools; budgets keep all but three, the failure to come included.
pub fn fleet(instances: u32, pools: u32, survive: FailureDomain) -> Fleet {
    let mut fleet = Fleet::default();
    let mut left = sizes(instances, pools);
    let sizes = left.clone();
    for pool in 0..pools {
        put_pool(&mut fleet, pool, 0, FailureDomain::None);
    }
    let mut in_rack: Vec<usize> = Vec::new();
    for i in 0..instances {
        if i % RACK_SIZE == 0 {
            in_rack.clear();
        }
        let pool = emptiest(&left, &in_rack);
        in_rack.push(pool);
        left[pool] -= 1;
        join(&mut fleet, i, pool);
    }
    for (pool, size) in (0..pools).zip(sizes) {
        put_pool(&mut fleet, pool, size.saturating_sub(size / 8 + 2), survive);
    }
    fleet
}

/// The pool that lacks the most instances and has none in the rack yet.
fn emptiest(left: &[u32], in_rack: &[usize]) -> usize {
    let pools = left.iter().enumerate();
    let rank = |(i, left): &(usize, &u32)| (!in_rack.contains(i) && **left > 0, **left, *i);
    pools.max_by_key(rank).map_or(0, |(i, _)| i)
}

fn join(fleet: &mut Fleet, i: u32, pool: usize) {
    let rack = i / RACK_SIZE;
    let zone = rack % 3;
    let pool = u32::try_from(pool).unwrap_or(0);
    let _known = fleet.apply(
        0,
        &FleetCommand::Join {
            instance: format!("worker-{i:05}").into(),
            zone: format!("zone-{zone}").into(),
            rack: format!("rack-{rack:04}").into(),
            pool: pool_name(pool).into(),
        },
    );
}

/// The wave that is measured: reboot all.
pub fn spec(deployment: Deployment) -> WaveSpec {
    WaveSpec {
        name: "measured".into(),
        kind: WaveKind::Reboot,
        selection: Selection::All,
        drain_ms: DRAIN_MS,
        absence_ms: ABSENCE_MS,
        spread_percent: SPREAD_PERCENT,
        weights: match deployment {
            Deployment::Grants => WaveWeights::ROLLOUT_FIRST,
            Deployment::Tunnels => WaveWeights::MOVES_FIRST,
        },
    }
}

fn survive(deployment: Deployment) -> FailureDomain {
    match deployment {
        Deployment::Grants => FailureDomain::Instance,
        Deployment::Tunnels => FailureDomain::Rack,
    }
}

/// Sizes around the mean, from 0.8 to 1.2 of it: 8 to 12 for 50 in 5.
fn sizes(instances: u32, pools: u32) -> Vec<u32> {
    let mean = instances / pools;
    let spread = mean * 2 / 5;
    let mut sizes = Vec::new();
    let mut left = instances;
    for pool in 0..pools {
        let size = mean - spread / 2 + spread * pool / (pools - 1).max(1);
        let size = if pool + 1 == pools {
            left
        } else {
            size.min(left)
        };
        left -= size;
        sizes.push(size);
    }
    sizes
}

fn pool_name(pool: u32) -> String {
    format!("pool-{pool:02}")
}

fn put_pool(fleet: &mut Fleet, pool: u32, min_available: u32, survive: FailureDomain) {
    let pool = Pool {
        name: pool_name(pool).into(),
        budget: Budget {
            min_available,
            survive,
        },
        services: Vec::new(),
    };
    let _kept = fleet.apply(0, &FleetCommand::PutPool { pool });
}

fn times(instance: &Instance, trouble: Trouble) -> (u64, u64) {
    let slow = instance.pool.as_str().ends_with(['0', '2', '4', '6', '8']);
    match trouble {
        Trouble::TimesOff if slow => (DRAIN_MS * 4, ABSENCE_MS * 4),
        Trouble::TimesOff => (DRAIN_MS / 4, ABSENCE_MS / 4),
        Trouble::None | Trouble::RackLost => (DRAIN_MS, ABSENCE_MS),
    }
}

fn visits(world: &World) -> Vec<PoolVisits> {
    let mut all = Vec::new();
    for (name, pool) in world.fleet.pools() {
        let Some(tally) = world.fleet.tally(name) else {
            continue;
        };
        let members = tally.members().iter();
        let members = members.filter_map(|name| world.fleet.instances().get(name));
        let visits = members.filter_map(|instance| {
            let machine = world.machines.get(&instance.name)?;
            Some(Visit {
                rack: instance.rack.clone(),
                takes_ms: machine.drain_ms + machine.absence_ms,
            })
        });
        all.push(PoolVisits {
            visits: visits.collect(),
            room: tally.room().clone(),
            budget: pool.budget,
        });
    }
    all
}

/// The naive waves, without any waiting between their steps.
fn naive(world: &World) -> (u64, u64) {
    let mut racks = std::collections::BTreeMap::new();
    let mut one_by_one_ms = 0;
    for (name, machine) in &world.machines {
        let visit_ms = machine.drain_ms + machine.absence_ms;
        one_by_one_ms += visit_ms;
        if let Some(instance) = world.fleet.instances().get(name) {
            let longest = racks.entry(&instance.rack).or_insert(0);
            *longest = visit_ms.max(*longest);
        }
    }
    (one_by_one_ms, racks.values().sum())
}

fn lose_rack(world: &mut World) {
    let lost: Vec<_> = world
        .fleet
        .instances()
        .values()
        .filter(|instance| instance.rack.as_str() == "rack-0010")
        .map(|instance| instance.name.clone())
        .collect();
    for name in &lost {
        world.kill(name);
    }
}

fn is_over(world: &World, name: &WaveName) -> bool {
    let wave = world.fleet.waves().get(name);
    wave.is_none_or(|wave| wave.state == WaveState::Done)
}

/// The planner's time on a fleet of `instances` in `pools`.
pub fn time_planner(instances: u32, pools: u32) -> String {
    let fleet = fleet(instances, pools, FailureDomain::Rack);
    let spec = spec(Deployment::Grants);
    let start = Instant::now();
    let plan = plan(&fleet, &spec);
    let took_us = start.elapsed().as_micros();
    let (rollout, bound) = (plan.expected.rollout_ms, plan.bound.rollout_ms);
    format!(
        "{instances:>6} instances {pools:>3} pools {:>9}.{:03} ms {:>6} steps  ratio {:.2}  moves {} of {}",
        took_us / 1_000,
        took_us % 1_000,
        plan.steps.len(),
        ratio(rollout, bound),
        plan.expected.moves,
        plan.bound.moves,
    )
}

/// The controller's time a step over two minutes of a wave, and the fleet's a
/// change.
pub fn time_controller(instances: u32, pools: u32) -> String {
    const STEPS: u32 = 120;
    const CHANGES: u32 = 10_000;
    let mut world = World::new(fleet(instances, pools, FailureDomain::Rack), 1);
    let spec = spec(Deployment::Grants);
    let _started = world.apply(&FleetCommand::StartWave { spec });
    for _ in 0..STEPS {
        world.step();
    }
    let step_us = (world.counts.controller_time / STEPS).as_micros();
    let names: Vec<InstanceName> = world.fleet.instances().keys().cloned().collect();
    let start = Instant::now();
    for (i, instance) in (0..CHANGES).zip(names.iter().cycle().cloned()) {
        let failed = i % 2 == 0;
        let _known = world
            .fleet
            .apply(0, &FleetCommand::Health { instance, failed });
    }
    let change_ns = (start.elapsed() / CHANGES).as_nanos();
    format!(
        "{instances:>6} instances {pools:>3} pools {step_us:>7} us a step {change_ns:>6} ns a change"
    )
}

#[allow(clippy::cast_precision_loss)] // a printed ratio of small numbers
fn ratio(value: u64, bound: u64) -> f64 {
    value as f64 / bound.max(1) as f64
}

fn minutes(ms: u64) -> f64 {
    ratio(ms, 60_000)
}
