//! More work than all machines can do: which pool gets machines, and which runs give way.

use std::collections::BTreeSet;
use std::sync::Arc;

use rosemarygauge::control::{
    Access, Call, Change, Claim, Configuration, Estimates, Fleet, LeaseLimits, Load, OfferedLoad,
    Policy, PoolDemand, PreemptionInput, Preemptor, Running, ServiceClass, Sizes, Timeliness,
    Timing, Victim, WorkspaceShares, allot,
};
use rosemarygauge::jobs::{JobId, JobSpec, JobState, Step, TaskId};

use crate::pool::{NOW_MS, Pool, UNIX_MS};
use crate::world::{TIMING, World, configuration, job, step};

fn late(priority: u32) -> ServiceClass {
    ServiceClass {
        timeliness: Timeliness::Late,
        ..ServiceClass::entitled(priority)
    }
}

fn beyond_share(priority: u32) -> ServiceClass {
    ServiceClass {
        beyond_share: true,
        ..ServiceClass::entitled(priority)
    }
}

fn claim(fixed: usize, wanted: &[(ServiceClass, f64)]) -> Claim {
    let wanted = wanted.to_vec();
    Claim { fixed, wanted }
}

fn machines(claims: &[Claim], machines: usize, rest_part: f64) -> Vec<usize> {
    let allotments = allot(claims, machines, rest_part).expect("they need more than there are");
    allotments.iter().map(|a| a.machines).collect()
}

/// Load: two pools whose work fits. Nothing is decided for them.
#[test]
fn enough_machines_are_not_divided() {
    let claims = [
        claim(3, &[(ServiceClass::entitled(0), 7.0)]),
        claim(3, &[(ServiceClass::entitled(1), 7.0), (late(1), 2.0)]),
    ];
    assert_eq!(allot(&claims, 22, 0.5), None);
    assert!(allot(&claims, 21, 0.5).is_some());
}

/// Load: a pool that holds late work and work beyond the share of one workspace, beside one
/// whose urgent work could still be on time. The latter gets what it can use.
#[test]
fn urgent_work_on_time_comes_before_late_work_and_work_beyond_a_share() {
    let claims = [
        claim(20, &[(ServiceClass::entitled(0), 100.0)]),
        claim(20, &[(late(1), 150.0), (beyond_share(0), 150.0)]),
    ];
    assert_eq!(machines(&claims, 200, 0.25), [120, 80]);
}

/// Load: two urgent pools that want three times the machines. Each serves the same part.
#[test]
fn pools_of_one_priority_serve_the_same_part_of_their_work() {
    let claims = [
        claim(0, &[(ServiceClass::entitled(0), 200.0)]),
        claim(0, &[(ServiceClass::entitled(0), 100.0)]),
    ];
    assert_eq!(machines(&claims, 100, 0.5), [66, 33]);
}

/// Guards against work of a lower priority, late work and work beyond a share that wait for ever
/// while urgent work never ends.
#[test]
fn every_class_gets_a_part_however_much_urgent_work_there_is() {
    let claims = [
        claim(2, &[(ServiceClass::entitled(0), 1_000.0)]),
        claim(2, &[(ServiceClass::entitled(1), 40.0)]),
        claim(2, &[(late(0), 40.0)]),
        claim(2, &[(beyond_share(1), 40.0)]),
    ];
    let got = machines(&claims, 108, 0.5);
    assert!(got.iter().all(|machines| *machines > 2), "{got:?}");
    assert!(got.is_sorted_by(|a, b| a >= b), "{got:?}");
    assert!(got.iter().sum::<usize>() <= 108, "{got:?}");
}

/// Guards against machines that are given out twice, or taken from lasting tasks.
#[test]
fn allotments_keep_what_is_fixed_and_stay_within_the_machines() {
    let mut seed = 7_u64;
    let mut next = |below: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 33) % below
    };
    for _ in 0..2_000 {
        let pools = 1 + next(8) as usize;
        let claims: Vec<Claim> = (0..pools)
            .map(|_| {
                let classes = [
                    ServiceClass::entitled(0),
                    ServiceClass::entitled(1),
                    late(0),
                ];
                let wanted = classes.map(|class| (class, next(300) as f64 / 2.0));
                claim(next(20) as usize, &wanted)
            })
            .collect();
        let machines = next(600) as usize;
        let fixed: usize = claims.iter().map(|c| c.fixed).sum();
        let Some(allotments) = allot(&claims, machines, next(11) as f64 / 10.0) else {
            continue;
        };
        let sum: usize = allotments.iter().map(|a| a.machines).sum();
        assert!(sum <= machines.max(fixed), "{claims:?} {allotments:?}");
        for (claim, allotment) in claims.iter().zip(&allotments) {
            assert!(allotment.machines >= allotment.entitled);
            assert!(allotment.entitled >= claim.fixed);
        }
    }
}

/// Guards against a decision that nobody asked for: where queues have one priority and there are
/// no workspaces, nothing is divided by class.
#[test]
fn only_a_configuration_that_ranks_work_divides_machines_by_class() {
    assert!(!configuration(1).ranks_work());
    assert!(with_patient_queue(1).ranks_work());
    let with_shares = Configuration {
        access: Some(Access::new(Vec::new(), BTreeSet::new())),
        ..configuration(1)
    };
    assert!(with_shares.ranks_work());
}

/// Load: half of what arrives is beyond the share of one workspace. It claims no machines before
/// the work of others.
#[test]
fn arrivals_beyond_a_share_are_not_entitled() {
    let offer = OfferedLoad {
        load: Load::of_cores(100.0),
        ..OfferedLoad::default()
    };
    let needs = Policy::default().needs;
    let entitled_cores = |beyond_share: f64| {
        let demand = PoolDemand {
            arrived_work: 80.0,
            arrived_beyond_share: beyond_share,
            ..PoolDemand::default()
        };
        let claims = demand.claims(&offer, &needs);
        let entitled = claims.iter().filter(|(class, _)| class.is_entitled());
        entitled.map(|(_, load)| load.cores).sum::<f64>()
    };
    assert_eq!(entitled_cores(0.0), 100.0);
    assert_eq!(entitled_cores(40.0), 50.0);
}

/// A worker that runs tasks of one job, and the choice of runs to stop there.
struct Drain {
    pool: Pool,
    preemptor: Preemptor,
    policy: Policy,
}

impl Drain {
    /// Places the tasks of a job of priority 1 on the first worker, which lists them.
    fn new(step: Step, percent: u8) -> Self {
        let mut pool = Pool::new(2);
        pool.change(Change::Configure(Arc::new(with_patient_queue(2))));
        let tasks = step.tasks;
        pool.accept(1, job(vec![step]));
        for index in 0..tasks {
            let task = task(index);
            pool.change(Change::Place {
                task,
                attempt: 1,
                worker: "i-0".into(),
            });
        }
        let mut drain = Self {
            pool,
            preemptor: Preemptor::default(),
            policy: Policy::default(),
        };
        drain.list(tasks, percent);
        drain
    }

    /// The worker lists its runs as at work.
    fn list(&mut self, tasks: u16, percent: u8) {
        let state = &self.pool.state;
        self.pool.fleet = Fleet::new(
            NOW_MS,
            LeaseLimits::uniform(5_000),
            state,
            &Sizes::default(),
        );
        let link = self.pool.fleet.link_mut(&"i-0".into()).unwrap();
        let running = (0..tasks).map(|index| Running {
            task: task(index),
            attempt: 1,
            checkpoint: String::new(),
            percent,
            gauge: None,
        });
        let running: Vec<Running> = running.collect();
        link.listed(NOW_MS, NOW_MS, 77, &running, &[]);
    }

    fn choose(&mut self, after_ms: u64, priority: u32) -> Vec<Victim> {
        let world = PreemptionInput {
            state: &self.pool.state,
            fleet: &self.pool.fleet,
            estimates: &Estimates::default(),
            shares: &WorkspaceShares::default(),
            timing: &Timing {
                restore_ms: 100,
                ..TIMING
            },
            policy: &self.policy,
        };
        let (now_ms, now_unix_ms) = (NOW_MS + after_ms, UNIX_MS + after_ms);
        let worker = "i-0".into();
        self.preemptor
            .choose(now_ms, now_unix_ms, &worker, priority, &world)
    }
}

fn task(index: u16) -> TaskId {
    TaskId {
        job: JobId::from(1),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// The queue `quick` is patient and has objectives of several seconds.
fn with_patient_queue(version: u64) -> Configuration {
    let mut configuration = configuration(version);
    configuration.queues[0].priority = 1;
    configuration.queues[0].target_latency_ms = 6_000;
    configuration
}

fn saving(tasks: u16) -> Step {
    Step {
        checkpoints: true,
        estimate_ms: 4_000,
        ..step(tasks)
    }
}

/// Load: a machine is full of patient runs that last for seconds, and urgent work waits for it.
#[test]
fn patient_runs_that_save_their_progress_give_way() {
    let mut drain = Drain::new(saving(16), 0);
    let victims = drain.choose(500, 0);
    assert_eq!(victims.len(), 16);
    assert!(victims.iter().all(|v| v.class == ServiceClass::entitled(1)));
}

/// Guards against work that is stopped for work that is not more urgent.
#[test]
fn runs_of_the_same_priority_that_are_on_time_go_on() {
    assert_eq!(Drain::new(saving(4), 0).choose(500, 1), []);
}

/// Guards against stops that make a job late which would have been on time.
#[test]
fn a_job_without_time_to_spare_is_not_stopped() {
    // The objective is 6,000 + 1.6 x 4,000 ms, and 4,000 ms of work are left.
    let mut drain = Drain::new(saving(16), 0);
    drain.policy.preemption.slack_ms = 12_400 - 4_000;
    assert_eq!(drain.choose(0, 0), []);
    drain.policy.preemption.slack_ms -= 200;
    assert_eq!(drain.choose(0, 0).len(), 16);
}

/// Guards against progress that is thrown away: a run that saves nothing and is half done is
/// left to end.
#[test]
fn runs_that_would_lose_more_than_is_gained_go_on() {
    let unsaved = Step {
        checkpoints: false,
        ..saving(16)
    };
    assert_eq!(Drain::new(unsaved.clone(), 50).choose(2_000, 0), []);
    assert_eq!(Drain::new(unsaved, 0).choose(100, 0).len(), 16);
}

/// Guards against a gang of which only a part is stopped: the rest would wait in vain.
#[test]
fn gangs_are_left_whole() {
    let gang = Step {
        gang: true,
        ..saving(16)
    };
    assert_eq!(Drain::new(gang, 0).choose(500, 0), []);
}

/// Guards against a job that is stopped again and again and never ends.
#[test]
fn a_job_is_not_stopped_again_soon() {
    let mut drain = Drain::new(saving(16), 0);
    assert_eq!(drain.choose(500, 0).len(), 16);
    assert_eq!(drain.choose(1_600, 0), []);
    assert_eq!(Drain::new(saving(16), 0).choose(1_600, 0).len(), 16);
}

/// Guards against a fleet that is busy with stopping and restoring.
#[test]
fn lost_work_stays_within_its_share() {
    let mut drain = Drain::new(saving(16), 0);
    // 16 runs lose 100 ms on a core each; the two workers do 320,000 core-ms in 10 s.
    drain.policy.preemption.loss_share = 1_500.0 / 320_000.0;
    assert_eq!(drain.choose(500, 0), []);
    drain.policy.preemption.loss_share = 1_700.0 / 320_000.0;
    assert_eq!(drain.choose(500, 0).len(), 16);
}

/// Two pools, of which the one in the west is full of patient runs.
fn flooded(seed: u64) -> World {
    let mut world = World::new(seed, 8, 8);
    let mut configuration = configuration(2);
    configuration.queues[1].priority = 1;
    configuration.queues[1].target_latency_ms = 30_000;
    let call = Call::Configure(Arc::new(configuration));
    world.call(1, call);
    for worker in world.workers.values_mut().filter(|w| w.pool == "west") {
        worker.run_ms = 6_000;
    }
    world.run_ms(600);
    for id in 0..30 {
        world.submit(1, "long", 1_000 + id, patient_job());
    }
    world.run_ms(1_500);
    world
}

fn patient_job() -> JobSpec {
    let steps = vec![Step {
        estimate_ms: 6_000,
        ..saving(24)
    }];
    job(steps)
}

/// Urgent work arrives that needs twice its pool, until a run was stopped for it.
fn press_until_preempted(world: &mut World) -> u64 {
    for id in 0..200 {
        world.submit(1, "quick", id, job(vec![step(48)]));
        world.run_ms(50);
        if world.counted("run-preempted") > 0 {
            return id;
        }
    }
    panic!("no run was stopped");
}

fn assert_all_done(world: &mut World, urgent: u64) {
    let ids = (0..=urgent).map(|id| ("quick", id));
    let ids = ids.chain((0..30).map(|id| ("long", 1_000 + id)));
    for (queue, id) in ids.collect::<Vec<_>>() {
        let leader = world.leader().unwrap();
        let job = world.state(&leader).job(JobId::from(id)).unwrap();
        assert!(job.state().is_final(), "{queue} {id}: {:?}", job.state());
        assert!(job.state() == JobState::Completed);
    }
}

/// Load: patient work has filled its pool when urgent work comes. Its machines come over, and
/// nothing that was stopped is lost.
#[test]
fn stopped_runs_go_on_elsewhere_and_end() {
    let mut world = flooded(61);
    let urgent = press_until_preempted(&mut world);
    world.run_ms(90_000);
    assert!(world.moves.iter().any(|(_, _, pool)| pool == "east"));
    assert_all_done(&mut world, urgent);
}

/// Guards against a task that is lost, or runs twice, if the leader dies between the order to
/// stop and the end of the run.
#[test]
fn a_new_leader_finishes_what_a_preemption_began() {
    let mut world = flooded(62);
    let urgent = press_until_preempted(&mut world);
    let leader = world.leader().unwrap();
    world.kill(&leader);
    world.run_ms(2_000);
    world.restart(&leader);
    world.run_ms(90_000);
    assert_all_done(&mut world, urgent);
}

/// Guards against a stop whose answer is lost: it may be carried out late, when the task runs
/// elsewhere.
#[test]
fn lost_answers_to_stops_lose_no_task() {
    let mut world = flooded(63);
    world.late_per_mille = 200;
    let urgent = press_until_preempted(&mut world);
    world.run_ms(3_000);
    world.late_per_mille = 0;
    world.run_ms(120_000);
    assert_all_done(&mut world, urgent);
}

/// Load: the usual one. While there is room for all, nothing is stopped.
#[test]
fn nothing_is_stopped_while_there_is_room() {
    let mut world = World::new(64, 8, 8);
    let mut configuration = configuration(2);
    configuration.queues[1].priority = 1;
    let call = Call::Configure(Arc::new(configuration));
    world.call(1, call);
    for id in 0..60 {
        world.submit(1, "quick", id, job(vec![step(8)]));
        world.submit(1, "long", 1_000 + id, job(vec![saving(4)]));
        world.run_ms(100);
    }
    assert_eq!(world.counted("run-preempted"), 0);
}
