//! What the leader's choices cost in a large fleet: in proportion to what is due or changed, not
//! to everything that exists, and never to its square.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rosemarygauge::control::{
    Capacity, CapacityInput, Change, Estimates, Machine, MachinePhase, Policy, WorkspaceShares,
    demand,
};
use rosemarygauge::jobs::JobId;

use crate::pool::{NOW_MS, Pool, UNIX_MS};
use crate::world::{configuration, job, step};

const SMALL: u16 = 100;
const FLEET: u16 = 6_000;

fn visited_a_start(workers: u16) -> u64 {
    let mut pool = Pool::new(workers);
    for id in 0..40 {
        pool.accept(id, job(vec![step(8)]));
    }
    let starts = pool.pass().len() as u64;
    assert_eq!(starts, 320);
    pool.scheduler.candidates_visited() / starts
}

/// Guards against a search through the whole pool for each task: a turn of a pool of thousands of
/// workers kept the leader from everything else.
#[test]
fn a_start_costs_no_more_in_a_large_pool() {
    let (small, large) = (visited_a_start(SMALL), visited_a_start(FLEET));
    assert!(
        large <= 2 * small + 16,
        "{small} in a small pool, {large} in a large one"
    );
}

/// Guards against a look at all links in each tick: renewals and expiries are found when they
/// are due.
#[test]
fn a_tick_costs_what_is_due() {
    let mut pool = Pool::new(FLEET);
    let mut visited = 0;
    for tick in 0..100 {
        let now_ms = NOW_MS + 20 * tick;
        for name in pool.fleet.take_due(now_ms, &pool.state) {
            visited += 1;
            let link = pool.fleet.link_mut(&name).unwrap();
            if link.is_renewal_due(now_ms) {
                link.begin_renewal(now_ms, 2_000);
            }
        }
    }
    assert!(visited >= u64::from(FLEET), "each was due once: {visited}");
    assert!(visited <= 3 * u64::from(FLEET), "{visited}");
}

struct Machines {
    pool: Pool,
    capacity: Capacity,
    policy: Policy,
}

impl Machines {
    fn new(workers: u16) -> Self {
        let mut policy = Policy::default();
        policy.standby.watch_ms = 100;
        policy.standby.surplus_ms = 100;
        Self {
            pool: Pool::new(workers),
            capacity: Capacity::default(),
            policy,
        }
    }

    /// Returns how many moves are decided at once.
    fn tick(&mut self, now_ms: u64) -> usize {
        let (state, none) = (&self.pool.state, BTreeSet::new());
        let (estimates, shares) = (Estimates::default(), WorkspaceShares::default());
        let demand = demand(
            now_ms,
            UNIX_MS,
            state,
            &self.pool.fleet,
            &estimates,
            &shares,
            &self.policy,
        );
        let world = CapacityInput {
            state,
            demand: &demand,
            offers: &BTreeMap::new(),
            awaited: &BTreeMap::new(),
            busy: &BTreeSet::new(),
            in_upkeep: &none,
            due: &none,
            silent_zones: &BTreeSet::new(),
            round_ms: None,
            moves_max: usize::MAX,
            policy: &self.policy,
        };
        self.capacity.tick(now_ms, &world).len()
    }

    fn list_off(&mut self, count: u16) {
        let off = (0..count).map(|at| Machine {
            name: format!("off-{at}"),
            pool: "spare".into(),
            phase: MachinePhase::Up,
            zone: None,
            worker: None,
        });
        let off: Vec<Machine> = off.collect();
        self.capacity
            .update_machines(NOW_MS, &self.pool.state, &off);
    }
}

/// Guards against a tick that looks through all workers for each machine that it powers off: it
/// took 432 ms for 4,759 machines, and the leader lost its place.
#[test]
fn thousands_of_machines_are_powered_off_by_one_look_at_them() {
    let mut machines = Machines::new(FLEET);
    machines.tick(NOW_MS);
    let before = machines.capacity.visited();
    let moves = machines.tick(NOW_MS + 200);
    assert!(moves > 5_000, "{moves}");
    let visited = machines.capacity.visited() - before;
    assert!(visited <= 2 * u64::from(FLEET), "{visited}");
}

/// Guards against a look through all machines that are off for each one that is fetched.
#[test]
fn hundreds_of_machines_are_fetched_by_one_look_at_those_that_are_off() {
    let mut machines = Machines::new(50);
    machines.list_off(FLEET);
    for id in 0..40 {
        machines.pool.change(Change::Accept {
            job: JobId::from(id),
            queue: "quick".into(),
            spec: Arc::new(job(vec![step(200)])),
        });
    }
    let moves = machines.tick(NOW_MS);
    assert!(moves > 300, "{moves}");
    let visited = machines.capacity.visited();
    assert!(visited <= 2 * u64::from(FLEET), "{visited}");
}

/// Guards against a division of scarce machines that costs the leader more than a look at each.
#[test]
fn scarce_machines_are_divided_by_one_look_at_them() {
    for workers in [350, FLEET] {
        let mut machines = Machines::new(workers);
        let mut configuration = configuration(2);
        configuration.queues[1].priority = 1;
        let change = Change::Configure(Arc::new(configuration));
        machines.pool.change(change);
        for id in 0..2 * u64::from(workers) {
            machines.pool.change(Change::Accept {
                job: JobId::from(id),
                queue: if id % 2 == 0 { "quick" } else { "long" }.into(),
                spec: Arc::new(job(vec![step(200)])),
            });
        }
        let before = machines.capacity.visited();
        let moves = machines.tick(NOW_MS);
        assert!(moves > usize::from(workers) / 4, "{moves}");
        let visited = machines.capacity.visited() - before;
        assert!(visited <= 2 * u64::from(workers), "{workers}: {visited}");
    }
}
