//! Calls that reach the leader while a new configuration is on its way through the log.

use std::collections::BTreeSet;
use std::sync::Arc;

use rosemarygauge::control::{Access, Answer, Call, Configuration, ConfigurationFault, Refusal};
use rosemarygauge::jobs::{JobId, JobState};

use crate::world::{STEP_MS, World, configuration, job, name, queue, step};

/// Time in which all jobs of a test end.
const FINISH_MS: u64 = 5_000;

/// Returns a configuration that has another queue at the place of `quick`.
fn renamed(version: u64) -> Configuration {
    let mut renamed = configuration(version);
    renamed.queues[0].name = format!("quick-{version}");
    renamed
}

/// Submits a job at each instance in every step, and returns the calls with their jobs.
fn submit_in_each_step(world: &mut World, first: u64, steps: u64) -> Vec<(u64, u64)> {
    let mut calls = Vec::new();
    for number in 0..steps {
        for place in 1..=3 {
            let id = first + 3 * number + place as u64;
            calls.push((world.submit(place, "quick", id, job(vec![step(1)])), id));
        }
        world.run_ms(STEP_MS);
    }
    calls
}

/// Asserts that each accepted job has run, and returns their number.
fn count_run_jobs(world: &World, calls: &[(u64, u64)]) -> usize {
    let leader = world.leader().unwrap();
    let accepted = calls
        .iter()
        .filter(|(call, _)| world.answers.get(call) == Some(&Answer::Done));
    let state = world.state(&leader);
    accepted
        .inspect(|(_, id)| {
            let job = state.job(JobId::from(*id)).map(|job| job.state());
            assert_eq!(job, Some(JobState::Completed), "job {id}");
        })
        .count()
}

/// Guards against accepted jobs that never start: their queue was looked up before a
/// configuration came into force in which it has another name.
#[test]
fn jobs_accepted_while_their_queue_gets_another_name_are_run() {
    for seed in 800..804 {
        let mut world = World::new(seed, 6, 2);
        world.sync_ms = 5 + 10 * (seed - 800);
        let mut calls = Vec::new();
        for version in 2..8 {
            let configure = Call::Configure(Arc::new(renamed(version)));
            let configured = world.call(version as usize % 3 + 1, configure);
            calls.extend(submit_in_each_step(&mut world, version * 1_000, 30));
            let done = |w: &World| w.answers.get(&configured) == Some(&Answer::Done);
            assert!(world.until(1_000, done), "version {version}");
        }
        world.run_ms(FINISH_MS);
        assert_eq!(count_run_jobs(&world, &calls), calls.len(), "seed {seed}");
    }
}

/// Guards against the same where the queue is dropped: each job is run or refused.
#[test]
fn jobs_submitted_while_their_queue_is_dropped_are_run_or_refused() {
    for seed in 804..808 {
        let mut world = World::new(seed, 6, 2);
        let mut dropped = configuration(2);
        dropped.queues.remove(0);
        let mut calls = submit_in_each_step(&mut world, 1_000, 4);
        world.call(1, Call::Configure(Arc::new(dropped)));
        calls.extend(submit_in_each_step(&mut world, 2_000, 40));
        world.run_ms(FINISH_MS);
        let refused = calls.iter().filter(|(call, _)| {
            let refusal = Answer::Refused(Refusal::NoQueue);
            world.answers.get(call) == Some(&refusal)
        });
        let run = count_run_jobs(&world, &calls);
        assert!(run > 0);
        assert_eq!(run + refused.count(), calls.len(), "seed {seed}");
    }
}

/// Guards against calls without an answer, and against lost jobs, if the leader is lost while
/// calls wait for a configuration. It may be larger than a command of the log.
#[test]
fn calls_that_wait_for_a_configuration_outlive_their_leader() {
    for seed in 808..820 {
        let mut world = World::new(seed, 6, 2);
        let leader = world.leader().unwrap();
        let mut next = renamed(2);
        if seed % 2 == 0 {
            next.document = vec![b'x'; 900 << 10].into();
        }
        let other = (1..=3).find(|place| name(*place) != leader).unwrap();
        let configured = world.call(other, Call::Configure(Arc::new(next.clone())));
        let mut calls = submit_in_each_step(&mut world, 1_000, 2 + (seed - 808) / 2);
        world.kill(&leader);
        calls.retain(|(call, _)| !world.answers.contains_key(call));
        world.run_ms(3_000);
        world.restart(&leader);
        world.run_ms(FINISH_MS);
        let here = |id: &u64| (id - 1_001) % 3 + 1 != place_of(&leader);
        calls.retain(|(_, id)| here(id));
        for (call, id) in &calls {
            assert!(world.answers.contains_key(call), "seed {seed}, job {id}");
        }
        count_run_jobs(&world, &calls);
        assert!(world.answers.contains_key(&configured), "seed {seed}");
    }
}

fn place_of(at: &rosemarygauge::model::EntryName) -> u64 {
    (1..=3).find(|place| name(*place as usize) == *at).unwrap()
}

/// Guards against queues that are open to anyone: a configuration without workspaces was checked
/// before one with workspaces, which was on its way, came into force.
#[test]
fn no_configuration_without_workspaces_follows_one_with_them() {
    let mut world = World::new(820, 2, 2);
    let access = Some(Access::new(Vec::new(), BTreeSet::from(["long".to_owned()])));
    let closed = Configuration {
        access,
        ..configuration(2)
    };
    let first = world.call(1, Call::Configure(Arc::new(closed)));
    let second = world.call(1, Call::Configure(Arc::new(configuration(3))));
    world.run_ms(1_000);
    assert_eq!(world.answers.get(&first), Some(&Answer::Done));
    let why = ConfigurationFault::NoWorkspaces.to_string();
    let refused = Answer::Refused(Refusal::Wrong(why));
    assert_eq!(world.answers.get(&second), Some(&refused));
}

/// Guards against configurations that are refused or lost because several come at once.
#[test]
fn each_configuration_of_several_at_once_is_acknowledged() {
    let mut world = World::new(821, 2, 2);
    let calls: Vec<u64> = (2..10)
        .map(|version| {
            let mut next = configuration(version);
            next.queues.push(queue(&format!("queue-{version}"), "east"));
            world.call(version as usize % 3 + 1, Call::Configure(Arc::new(next)))
        })
        .collect();
    world.run_ms(1_000);
    for call in calls {
        assert_eq!(world.answers.get(&call), Some(&Answer::Done));
    }
    for place in 1..=3 {
        let held = world.state(&name(place)).configuration().unwrap();
        assert_eq!(held.version, 9);
    }
}

/// Drops the queue `quick`, whose job an instance has just submitted. Answers of the leader to
/// this instance are lost until then.
fn drop_queue_of_an_unanswered_job(seed: u64) -> (World, usize, u64) {
    let mut world = World::new(seed, 4, 2);
    let leader = world.leader().unwrap();
    let asked = world.followers()[seed as usize % 2];
    let lost = (leader.to_string(), name(asked).to_string());
    world.cut.insert(lost);
    let submitted = world.submit(asked, "quick", 1, job(vec![step(1)]));
    let accepted = |w: &World| w.state(&leader).job(JobId::from(1)).is_some();
    assert!(world.until(200, accepted));
    let mut dropped = configuration(2);
    dropped.queues.remove(0);
    let at_leader = place_of(&leader) as usize;
    let configured = world.call(at_leader, Call::Configure(Arc::new(dropped)));
    let done = |w: &World| w.answers.get(&configured) == Some(&Answer::Done);
    assert!(world.until(200, done));
    world.cut.clear();
    (world, asked, submitted)
}

/// Guards against jobs that run although their caller was told that they are refused: the answer
/// was lost, and the queue is gone when the call is sent again.
#[test]
fn a_job_that_runs_is_not_refused_when_its_call_is_sent_again() {
    for seed in 822..830 {
        let (mut world, _, submitted) = drop_queue_of_an_unanswered_job(seed);
        world.run_ms(2_000);
        assert_eq!(world.runs.len(), 1, "seed {seed}");
        let answer = world.answers.get(&submitted);
        assert_eq!(answer, Some(&Answer::Unknown), "seed {seed}");
    }
}

/// Guards against the same where the leader is lost, and the instance that sent it the call takes
/// its place.
#[test]
fn a_job_that_runs_is_not_refused_by_the_instance_that_becomes_the_leader() {
    let mut led = 0;
    for seed in 830..870 {
        let (mut world, asked, submitted) = drop_queue_of_an_unanswered_job(seed);
        let leader = world.leader().unwrap();
        // The instance that was asked catches up with the log.
        world.run_ms(100);
        world.kill(&leader);
        world.until(2_000, |w| w.leader().is_some());
        led += usize::from(world.leader() == Some(name(asked)));
        world.run_ms(2_000);
        let answer = world.answers.get(&submitted);
        assert_eq!(answer, Some(&Answer::Unknown), "seed {seed}");
    }
    assert!(led > 0, "the instance that was asked never led");
}
