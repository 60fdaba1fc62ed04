//! What is about to be asked of each pool: rates of arrivals, how they rise, and turns.

use std::collections::BTreeMap;
use std::sync::Arc;

use rosemarygauge::control::{
    Change, Command, Configuration, Forecast, History, JobSize, Load, NeedsPolicy, OfferedLoad,
    Policy, PoolDemand, State, TurnsPolicy,
};
use rosemarygauge::jobs::{Ending, Job, JobId, TaskId};

use crate::world::{configuration, job, queue, step};

const POOLS: [&str; 3] = ["a", "b", "c"];

fn three_pools() -> Configuration {
    Configuration {
        queues: POOLS.iter().map(|pool| queue(pool, pool)).collect(),
        pools: POOLS.iter().map(|pool| ((*pool).into(), false)).collect(),
        ..configuration(1)
    }
}

fn job_of(pool: &str) -> Job {
    let spec = Arc::new(job(vec![step(30)]));
    Job::new(JobId::from(1), pool.into(), pool.into(), spec, 3, 0)
}

/// Turns of 4 s, one pool after the other, with a few jobs of the others in between.
fn turns(from_ms: u64, to_ms: u64, mut at: impl FnMut(u64, &str)) {
    for now_ms in (from_ms..to_ms).step_by(50) {
        let turn = (now_ms / 4_000) as usize % 3;
        if now_ms % 2_000 == 0 {
            POOLS.iter().for_each(|pool| at(now_ms, pool));
        }
        at(now_ms, POOLS[turn]);
    }
}

/// Three pools have their turns every 4 s, one after the other. After a round the next
/// is foreseen before it begins, with what a turn usually asks for.
#[test]
fn even_turns_are_foreseen() {
    let configuration = three_pools();
    let policy = TurnsPolicy::default();
    let mut history = History::default();
    let mut forecast = Forecast::default();
    let (mut right, mut foreseen) = (0, 0);
    turns(100_000, 136_000, |now_ms, pool| {
        history.record_arrival(now_ms, &job_of(pool));
        let estimates = history.estimates().clone();
        forecast.tick(now_ms, &history, &estimates, &configuration);
        let to_come = 4_000 - now_ms % 4_000;
        if now_ms > 115_000 && to_come == 1_000 {
            let next = forecast.next_turns(now_ms, &policy);
            let after = POOLS[(now_ms / 4_000 + 1) as usize % 3];
            foreseen += next.len();
            right += next
                .iter()
                .filter(|(p, cores)| p.as_str() == after && *cores > 50.0)
                .count();
        }
    });
    assert!(foreseen >= 4 && right == foreseen, "{right} of {foreseen}");
}

/// The leader changes between two turns. The next one has the same history and foresees
/// the same: it must not begin to learn anew while callers come.
#[test]
fn a_new_leader_foresees_what_the_old_one_did() {
    let configuration = three_pools();
    let policy = TurnsPolicy::default();
    let mut history = History::default();
    let mut forecast = Forecast::default();
    turns(100_000, 127_000, |now_ms, pool| {
        history.record_arrival(now_ms, &job_of(pool));
        forecast.tick(
            now_ms,
            &history,
            &history.estimates().clone(),
            &configuration,
        );
    });
    let mut other = Forecast::default();
    other.tick(127_000, &history, history.estimates(), &configuration);
    let next = other.next_turns(127_000, &policy);
    let expected = forecast.next_turns(127_000, &policy);
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].0, expected[0].0);
    assert!(
        (next[0].1 / expected[0].1 - 1.0).abs() < 0.1,
        "{next:?} {expected:?}"
    );
}

/// Turns of any length at any time: none is foreseen that does not come.
#[test]
fn uneven_turns_are_not_foreseen() {
    let configuration = three_pools();
    let policy = TurnsPolicy::default();
    let mut history = History::default();
    let mut forecast = Forecast::default();
    let begins = [0, 3_000, 12_000, 15_500, 30_000, 41_000, 46_000];
    for (turn, begins_ms) in begins.iter().enumerate() {
        for at in 0..40 {
            let now_ms = 100_000 + begins_ms + at * 50;
            history.record_arrival(now_ms, &job_of(POOLS[turn % 3]));
            forecast.tick(
                now_ms,
                &history,
                &history.estimates().clone(),
                &configuration,
            );
            assert!(
                forecast.next_turns(now_ms, &policy).is_empty(),
                "at {now_ms}"
            );
        }
    }
}

/// Jobs come faster and faster; a machine that sets out now is there in two seconds. What
/// is offered then is foretold at least in part, and never as more than a multiple.
#[test]
fn a_rise_is_carried_on_to_when_a_machine_comes() {
    let configuration = three_pools();
    let mut history = History::default();
    let mut now_ms = 100_000;
    for gap_ms in (10..100).rev().step_by(2) {
        history.record_arrival(now_ms, &job_of("a"));
        now_ms += gap_ms;
    }
    let mut forecast = Forecast::default();
    forecast.tick(now_ms, &history, history.estimates(), &configuration);
    let policy = Policy::default();
    let offers = forecast.offers(
        now_ms,
        &history,
        history.estimates(),
        &configuration,
        &policy,
    );
    let offer = offers["a"];
    assert!(
        offer.rise > 0.3 && offer.rise <= policy.needs.rise_most,
        "{offer:?}"
    );
    let flat = Policy {
        needs: NeedsPolicy {
            ahead_ms: 0,
            ..NeedsPolicy::default()
        },
        ..policy
    };
    let offers = forecast.offers(now_ms, &history, history.estimates(), &configuration, &flat);
    assert_eq!(offers["a"].rise, 0.0);
}

/// Tasks that ask for little processor and much memory: machines are counted by what is
/// short. By cores alone a pool with lasting tasks of 8 GB each kept one machine, and some
/// of them had nowhere to run for ten seconds.
#[test]
fn machines_are_counted_by_what_is_short() {
    let size = Load {
        cores: 32.0,
        memory_mb: 64_000.0,
        accelerators: 0.0,
    };
    let demand = PoolDemand {
        lasting: Load {
            cores: 30.0,
            memory_mb: 90_000.0,
            accelerators: 0.0,
        },
        ..PoolDemand::default()
    };
    let policy = NeedsPolicy::default();
    assert_eq!(
        demand.needed_machines(&size, &OfferedLoad::default(), &policy),
        2
    );
}

/// Only the number of jobs is kept by time: one huge job is no rush.
#[test]
fn one_huge_job_is_no_rush() {
    let mut arrivals = rosemarygauge::control::Arrivals::default();
    let size = |cores_ms| JobSize {
        work: Load::of_cores(cores_ms),
        chain_ms: 500.0,
    };
    for at in 0..60 {
        arrivals.add(100_000 + at * 100, size(1_000.0));
    }
    arrivals.add(106_000, size(30_000.0));
    assert_eq!(arrivals.count(105_000, 106_000), 10);
    assert!(arrivals.mean().work.cores < 2_100.0, "{arrivals:?}");
    // A clock that goes back loses nothing and moves nothing.
    arrivals.add(90_000, size(1_000.0));
    assert_eq!(arrivals.count(105_000, 106_000), 11);
    // One that jumps by hours forgets.
    arrivals.add(9_000_000, size(1_000.0));
    assert_eq!(arrivals.count(0, 9_000_000), 1);
}

/// A run that an earlier leader placed ends while there is none, and is listed seconds
/// later: its time would teach that everything takes five times as long.
#[test]
fn a_run_of_an_earlier_leader_teaches_nothing() {
    let mut state = State::default();
    let task = TaskId {
        job: JobId::from(1),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let mut apply = |start, at_unix_ms, change| {
        state.apply(&Command {
            by: "10.0.0.1".into(),
            start,
            sequence: 1,
            at_unix_ms,
            changes: vec![change],
        });
        state.history().estimates().factor("quick")
    };
    let end = |task| Change::End {
        task,
        attempt: 1,
        worker: "i-1".into(),
        ending: Ending::Done,
        checkpoint: String::new(),
    };
    let place = |task| Change::Place {
        task,
        attempt: 1,
        worker: "i-1".into(),
    };
    apply(7, 1_000, Change::Configure(Arc::new(configuration(1))));
    let accept = Change::Accept {
        job: task.job,
        queue: "quick".into(),
        spec: Arc::new(job(vec![step(2)])),
    };
    apply(7, 1_000, accept);
    apply(7, 1_010, place(task));
    apply(8, 5_000, Change::Forget { before_unix_ms: 0 });
    assert_eq!(apply(8, 5_010, end(task)), 1.0);
    let other = TaskId { index: 1, ..task };
    apply(8, 5_020, place(other));
    assert!(apply(8, 5_620, end(other)) > 1.0);
}

/// Loads of each kind, as plain arithmetic.
#[test]
fn loads_add_up() {
    let one = Load {
        cores: 1.0,
        memory_mb: 10.0,
        accelerators: 0.0,
    };
    let sums: BTreeMap<&str, Load> = BTreeMap::from([
        ("twice", one.plus(&one)),
        ("times", one.times(2.0)),
        ("max", one.max(&one.times(2.0))),
    ]);
    assert!(sums.values().all(|load| *load == one.times(2.0)));
    assert_eq!(one.times(3.0).count(&one), 3.0);
    assert_eq!(one.count(&Load::default()), 0.0);
}
