//! The leader's view of workers' leases, and who extends them.

use rosemarygauge::control::{
    Change, Command, Ended, Fleet, LeaseLimits, RunPhase, RunsPolicy, Sizes, State, WorkerLink,
};
use rosemarygauge::jobs::{JobId, RunResult, TaskId};

use crate::world::{World, address, job, name, step};

const LEASE_MS: u64 = 5_000;
const LEASES: LeaseLimits = LeaseLimits::uniform(LEASE_MS);

#[test]
fn a_lease_has_lapsed_only_when_the_slowest_clock_has_passed_its_end() {
    let mut link = WorkerLink::new(0, LEASES);
    link.listed(100, 100, 77_000, &[], &[]);
    let end_ms = link.grant(1_000).unwrap();
    assert_eq!(end_ms, 77_000 + 900 + LEASE_MS);
    // 5,900 ms on a clock that is 2 % slow take 6,020 ms. After the first listing, leases
    // of an earlier leader must expire as well.
    assert!(!link.has_lapsed(100 + 6_000));
    assert!(link.has_lapsed(100 + 6_200));
}

/// A leader that never heard a worker knows nothing of its clock. A lease that an earlier
/// leader granted has expired after the lease time and the clock uncertainty.
#[test]
fn the_leases_of_an_earlier_leader_run_out_unheard() {
    let link = WorkerLink::new(10_000, LEASES);
    assert!(!link.has_lapsed(15_300));
    assert!(link.has_lapsed(15_700));
}

/// A worker does not answer. Retries must not extend its lease.
#[test]
fn a_silent_worker_is_granted_nothing() {
    let mut link = WorkerLink::new(0, LEASES);
    link.listed(100, 100, 5, &[], &[]);
    assert!(link.renewal_end(200).is_some());
    link.renewal_failed(1_700);
    assert_eq!(link.renewal_end(1_800), None);
    link.listed(1_900, 1_900, 1_805, &[], &[]);
    assert!(link.renewal_end(2_000).is_some());
}

/// A renewal timed out in the queue before it was sent. The worker may be healthy, so it
/// still gets work. It may also be lost, so the next request does not extend its lease.
#[test]
fn a_renewal_that_never_left_says_nothing_of_its_worker() {
    let mut link = WorkerLink::new(0, LEASES);
    link.listed(100, 100, 5, &[], &[]);
    for at_ms in [200, 700, 1_200] {
        link.renewal_not_sent(at_ms);
        assert!(link.is_heard(at_ms) && link.takes_work(at_ms));
        assert_eq!(link.renewal_end(at_ms), None);
    }
    assert!(!link.is_heard(5_000));
    link.listed(1_300, 1_300, 1_205, &[], &[]);
    assert!(link.renewal_end(1_400).is_some());
}

#[test]
fn answers_that_overtake_each_other_do_not_set_the_clock_back() {
    let mut link = WorkerLink::new(0, LEASES);
    link.record_clock(1_000, 500);
    link.record_clock(1_010, 400);
    assert_eq!(link.grant(1_010), Some(510 + LEASE_MS));
}

/// Records a failure that counts in full, on a worker whose peers have none.
fn fail(link: &mut WorkerLink, now_ms: u64) {
    let policy = RunsPolicy::default();
    if link.run_failed(now_ms, 1.0, &policy) {
        link.rest_after_failures(now_ms, 0.0, &policy);
    }
}

/// A worker whose runs fail repeatedly gets a cooldown; a worker with occasional failures
/// does not.
#[test]
fn failures_in_a_row_give_a_worker_a_rest() {
    let mut link = WorkerLink::new(0, LEASES);
    link.listed(10, 10, 10, &[], &[]);
    fail(&mut link, 100);
    fail(&mut link, 200);
    assert!(link.takes_work(300));
    fail(&mut link, 300);
    assert!(!link.takes_work(400));
    let mut mixed = WorkerLink::new(0, LEASES);
    mixed.listed(10, 10, 10, &[], &[]);
    for at in 1..20 {
        fail(&mut mixed, at * 50);
        mixed.run_done(at * 50 + 10);
        mixed.run_done(at * 50 + 20);
    }
    assert!(mixed.takes_work(1_000));
}

/// Two renewals are in flight because one was sent early, and a task starts between them.
/// The late answer to the first does not list the task. It must not be taken as gone, or it
/// would start a second time elsewhere.
#[test]
fn an_old_listing_says_nothing_of_a_later_start() {
    let (mut fleet, task) = fleet_with_a_run();
    let link = fleet.link_mut(&"i-1".into()).unwrap();
    assert!(link.listed(300, 100, 5, &[], &[]).is_empty());
    assert_eq!(link.listed(400, 200, 6, &[], &[]), [(task, 1)]);
}

/// A task finishes and is started again. Because acknowledgements are late, its worker has
/// more ends than fit into one listing, so the task is neither among the running ones nor
/// is its end listed yet. Its absence proves nothing until all ends fit.
#[test]
fn a_listing_that_is_full_of_ends_says_nothing_of_what_it_lacks() {
    let (mut fleet, task) = fleet_with_a_run();
    let link = fleet.link_mut(&"i-1".into()).unwrap();
    let end = |number| Ended {
        number,
        task: TaskId {
            job: JobId::from(1_000 + number),
            ..task
        },
        attempt: 1,
        ending: RunResult::Done,
        checkpoint: String::new(),
    };
    let full: Vec<Ended> = (1..=500).map(end).collect();
    assert!(link.listed(300, 200, 5, &[], &full).is_empty());
    assert_eq!(link.listed(400, 350, 6, &[], &full[1..]), [(task, 1)]);
}

/// Returns a fleet with a worker on which a task has been running since 150 ms.
fn fleet_with_a_run() -> (Fleet, TaskId) {
    let task = TaskId {
        job: JobId::from(1),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let mut state = State::default();
    let changes = vec![
        Change::Configure(std::sync::Arc::new(crate::world::configuration(1))),
        Change::Accept {
            job: task.job,
            queue: "quick".into(),
            spec: std::sync::Arc::new(crate::world::job(vec![crate::world::step(1)])),
        },
        Change::Place {
            task,
            attempt: 1,
            worker: "i-1".into(),
        },
    ];
    state.apply(&Command {
        by: "10.0.0.1".into(),
        start: 1,
        sequence: 1,
        at_unix_ms: 0,
        changes,
    });
    let mut fleet = Fleet::new(0, LeaseLimits::uniform(LEASE_MS), &state, &Sizes::default());
    let link = fleet.link_mut(&"i-1".into()).unwrap();
    let view = link.run_mut(task, 1).unwrap();
    view.phase = RunPhase::Running { since_ms: 150 };
    (fleet, task)
}

/// Guards against a task that runs on two workers at once. A start is not answered and the
/// leader is paused. Another instance leads, cannot reach the worker, and waits until all
/// leases there have expired. When the first leader resumes, it handles the outcome of the
/// start before its next tick and sends the start again, with a lease that ends later. The
/// task would start elsewhere during this run.
#[test]
fn a_leader_that_stood_still_extends_no_lease() {
    for seed in 610..616 {
        let mut world = World::without_moves(seed, 2, 0);
        let old = world.leader().unwrap();
        let ports = [1_000, 1_001];
        for port in ports {
            world.worker(port).run_ms = 60_000;
            for place in 1..=3 {
                let answers = (address(port).to_string(), name(place).to_string());
                world.cut.insert(answers);
            }
        }
        world.submit(1, "quick", 1, job(vec![step(1)]));
        assert!(world.until(1_000, |w| w.runs.len() == 1), "{seed}");
        let port = ports
            .into_iter()
            .find(|port| !world.worker(*port).going.is_empty())
            .unwrap();
        world.cut.clear();
        world.cut_worker(port);
        world
            .cut
            .remove(&(old.to_string(), address(port).to_string()));
        world.freeze(&old, true);
        world.run_ms(2_500);
        assert!(world.leader().is_some_and(|next| next != old), "{seed}");
        let lease_end_ms = world.worker(port).lease_end_ms;
        world.freeze(&old, false);
        world.run_ms(6_000);
        assert_eq!(world.worker(port).lease_end_ms, lease_end_ms, "{seed}");
        assert_eq!(world.runs.len(), 2, "{seed}: {:?}", world.runs);
    }
}
