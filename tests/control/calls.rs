//! The leader's answers to callers, workers and operators.

use std::sync::Arc;

use rosemarygauge::control::{
    Answer, CONFIGURATION_LIMIT_BYTES, Call, Configuration, ConfigurationFault, ConfigurationPart,
    ConfigurationParts, Refusal,
};
use rosemarygauge::jobs::{JobId, JobState, Step};
use rosemarygauge::model::EntryName;

use crate::world::{World, configuration, job, name, queue, step};

#[test]
fn a_job_of_steps_is_run_in_order_and_completed() {
    let mut world = World::new(1, 3, 3);
    let second = rosemarygauge::jobs::Step {
        after: vec![0],
        ..step(4)
    };
    let id = world.submit(2, "quick", 7, job(vec![step(6), second]));
    world.run_ms(500);
    assert_eq!(world.answers.get(&id), Some(&Answer::Done));
    world.run_ms(1_500);
    assert_eq!(world.look(3, "quick", 7), Some(JobState::Completed));
    assert_eq!(world.runs.len(), 10);
    let last_first = world
        .runs
        .iter()
        .filter(|r| r.task.step == 0)
        .map(|r| r.began_ms)
        .max();
    let first_second = world
        .runs
        .iter()
        .filter(|r| r.task.step == 1)
        .map(|r| r.began_ms)
        .min();
    assert!(first_second.unwrap() >= last_first.unwrap() + 300);
}

/// A caller loses the first answer and sends the same job again, to another instance. Both
/// calls are accepted and the job runs once.
#[test]
fn a_job_that_is_handed_in_again_runs_once() {
    let mut world = World::new(2, 3, 3);
    let first = world.submit(1, "quick", 8, job(vec![step(3)]));
    let second = world.submit(2, "quick", 8, job(vec![step(3)]));
    world.run_ms(1_500);
    let third = world.submit(3, "quick", 8, job(vec![step(3)]));
    world.run_ms(1_000);
    for id in [first, second, third] {
        assert_eq!(world.answers.get(&id), Some(&Answer::Done));
    }
    assert_eq!(world.runs.len(), 3);
}

#[test]
fn unknown_places_and_jobs_are_told_apart() {
    let mut world = World::new(3, 1, 1);
    let no_queue = world.submit(1, "nowhere", 9, job(vec![step(1)]));
    let no_job = world.cancel(1, "quick", 10);
    let no_step = world.submit(1, "quick", 11, job(Vec::new()));
    world.run_ms(1_000);
    let answer = |id| world.answers.get(&id).cloned().unwrap();
    assert_eq!(answer(no_queue), Answer::Refused(Refusal::NoQueue));
    assert_eq!(answer(no_job), Answer::Refused(Refusal::NotKnown));
    assert!(matches!(
        answer(no_step),
        Answer::Refused(Refusal::Wrong(_))
    ));
}

#[test]
fn jobs_without_a_start_are_pending() {
    let mut world = World::new(4, 1, 1);
    for id in 0..3 {
        world.submit(1, "quick", 100 + id, job(vec![step(20)]));
    }
    world.run_ms(100);
    let place = rosemarygauge::control::Place {
        host: "H.example".into(),
        path: "/quick/".into(),
    };
    let id = world.call(1, Call::Look { place });
    world.run_ms(200);
    assert_eq!(world.answers.get(&id), Some(&Answer::Pending(2)));
}

#[test]
fn the_highest_configuration_is_in_force_and_an_old_one_is_acknowledged() {
    let mut world = World::new(5, 1, 1);
    for version in [7, 3, 7] {
        let id = world.call(2, Call::Configure(Arc::new(configuration(version))));
        world.run_ms(500);
        assert_eq!(world.answers.get(&id), Some(&Answer::Done), "{version}");
    }
    let id = world.call(3, Call::ReadConfiguration);
    world.run_ms(500);
    let document = Arc::new(b"document 7".to_vec());
    assert_eq!(
        world.answers.get(&id),
        Some(&Answer::Configuration(document))
    );
}

#[test]
fn each_wrong_configuration_is_refused_with_its_fault() {
    let base = configuration(9);
    let with = |change: fn(&mut Configuration)| {
        let mut wrong = base.clone();
        change(&mut wrong);
        wrong.check().unwrap_err()
    };
    assert!(base.check().is_ok());
    assert!(matches!(
        with(|c| c.queues[0].pool = "none".into()),
        ConfigurationFault::UnknownPool { .. }
    ));
    assert!(matches!(
        with(|c| c.queues[0].timeout_ms = 0),
        ConfigurationFault::NoTimeout { .. }
    ));
    assert!(matches!(
        with(|c| c.queues.push(queue("quick", "west"))),
        ConfigurationFault::SamePlace { .. }
    ));
    assert!(matches!(
        with(|c| c.document = vec![0; CONFIGURATION_LIMIT_BYTES].into()),
        ConfigurationFault::TooLarge { .. }
    ));
}

/// Two operators send different content under one version. The content that was accepted
/// first stays and is what every instance returns.
#[test]
fn other_content_under_the_version_held_changes_nothing() {
    let mut world = World::new(6, 1, 1);
    let mut other = configuration(1);
    other.document = b"other".to_vec().into();
    let id = world.call(2, Call::Configure(Arc::new(other)));
    world.run_ms(500);
    assert_eq!(world.answers.get(&id), Some(&Answer::Done));
    let leader = world.leader().unwrap();
    let held = world.state(&leader).configuration().unwrap();
    assert_eq!(*held.document, b"document 1");
}

#[test]
fn the_longest_prefix_selects_the_queue() {
    let mut conf = configuration(1);
    let mut deeper = queue("deeper", "west");
    deeper.path_prefix = "/quick/deep/".into();
    conf.queues.push(deeper);
    let name_at = |path: &str| conf.queue_at("h.example", path).map(|q| q.name.as_str());
    assert_eq!(name_at("/quick/0000000000000001"), Some("quick"));
    assert_eq!(name_at("/quick/deep/0000000000000001"), Some("deeper"));
    assert_eq!(name_at("/other/"), None);
    assert_eq!(conf.queue_at("x.example", "/quick/"), None);
}

/// A delayed report of a worker arrives after a newer one that said that it drains. The
/// worker must not be assigned work again.
#[test]
fn a_late_report_does_not_take_back_that_a_worker_drains() {
    let mut world = World::new(7, 2, 1);
    let old = world.worker(1_000).report();
    world.worker(1_000).phase = rosemarygauge::control::Phase::Draining;
    world.run_ms(1_000);
    world.call(1, Call::Report(Arc::new(old)));
    world.run_ms(200);
    world.submit(1, "quick", 30, job(vec![step(10)]));
    world.run_ms(1_500);
    assert_eq!(world.look(1, "quick", 30), Some(JobState::Completed));
    assert!(
        world.runs.iter().all(|r| r.worker != "i-1"),
        "{:?}",
        world.runs
    );
}

#[test]
fn followers_know_what_the_leader_knows() {
    let mut world = World::new(8, 2, 2);
    world.submit(1, "quick", 40, job(vec![step(5)]));
    world.run_ms(2_000);
    let leader = world.leader().unwrap();
    let jobs = |world: &World, at: &EntryName| format!("{:?}", world.state(at).job(40.into()));
    for place in 1..=3 {
        assert_eq!(jobs(&world, &name(place)), jobs(&world, &leader));
    }
}

/// Guards against a command that exceeds the limit of the log. Operators send
/// configurations of hundreds of queues within a few milliseconds, among other calls. All
/// of them were collected into one command that was too large. The log dropped it silently,
/// the leader waited for it forever, and nothing was accepted or started any more.
#[test]
fn large_configurations_at_once_do_not_stop_the_log() {
    let mut world = World::new(44, 4, 4);
    let leader = world.leader().unwrap();
    let place = (1..=3).find(|place| name(*place) == leader).unwrap();
    let large = |version| Configuration {
        document: vec![b'x'; 300 << 10].into(),
        ..configuration(version)
    };
    let calls: Vec<u64> = (2..8)
        .map(|version| world.call(place, Call::Configure(Arc::new(large(version)))))
        .collect();
    world.submit(place, "quick", 1, job(vec![step(4)]));
    world.run_ms(3_000);
    for call in calls {
        assert_eq!(world.answers.get(&call), Some(&Answer::Done));
    }
    assert_eq!(world.look(place, "quick", 1), Some(JobState::Completed));
}

/// Guards against the refusal of a valid configuration because of its size. One of about
/// 1,400 queues exceeds the limit of a log command, so it is replicated in parts. Whatever
/// happens in between, it comes into force complete and unchanged, or its operator gets no
/// acknowledgement and sends it again.
#[test]
fn a_configuration_larger_than_a_command_is_in_force_whole() {
    let mut world = World::new(46, 2, 2);
    let mut large = configuration(2);
    for number in 0..1_400 {
        large.queues.push(queue(&format!("queue-{number}"), "east"));
    }
    let words = (0..1_200_000).map(|n: u32| (n * 31 % 251) as u8);
    large.document = Arc::new(words.collect());
    let large = Arc::new(large);
    let leader = world.leader().unwrap();
    let first = (1..=3).find(|place| name(*place) != leader).unwrap();
    world.call(first, Call::Configure(Arc::clone(&large)));
    world.run_ms(12);
    world.kill(&leader);
    world.run_ms(4_000);
    world.restart(&leader);
    world.run_ms(2_000);
    let other = Configuration {
        document: vec![b'y'; 400 << 10].into(),
        ..configuration(3)
    };
    let again = world.call(first, Call::Configure(Arc::clone(&large)));
    let next = world.call(first, Call::Configure(Arc::new(other.clone())));
    world.run_ms(2_000);
    assert_eq!(world.answers.get(&again), Some(&Answer::Done));
    assert_eq!(world.answers.get(&next), Some(&Answer::Done));
    for place in 1..=3 {
        let held = world.state(&name(place)).configuration().unwrap();
        assert!(*held == other, "at {place}: version {}", held.version);
    }
}

/// A leader is lost when the log has some parts of a configuration. These must not be mixed
/// with the parts of a later configuration, and no instance may hold an incomplete one.
#[test]
fn parts_of_a_lost_configuration_are_in_no_later_one() {
    let large = Configuration {
        document: vec![b'x'; 700 << 10].into(),
        ..configuration(2)
    };
    let other = Configuration {
        document: vec![b'y'; 500 << 10].into(),
        ..configuration(3)
    };
    let lost = ConfigurationPart::split(&large);
    let whole = ConfigurationPart::split(&other);
    for kept in 0..lost.len() {
        let mut parts = ConfigurationParts::default();
        for part in &lost[..kept] {
            assert_eq!(parts.take(part), None);
        }
        let taken: Vec<_> = whole.iter().filter_map(|part| parts.take(part)).collect();
        assert!(taken == [other.clone()], "after {kept} parts of another");
    }
}

/// A job whose description exceeds the limit of the log is refused with a reason. It must
/// not be accepted and then never be stored.
#[test]
fn a_job_too_large_for_the_log_is_refused() {
    let mut world = World::new(45, 4, 4);
    let wide = Step {
        image: "x".repeat(600),
        ..step(1)
    };
    let call = world.submit(1, "quick", 1, job(vec![wide; 1_000]));
    world.run_ms(1_000);
    let answer = world.answers.get(&call);
    assert!(
        matches!(answer, Some(Answer::Refused(Refusal::Wrong(why))) if why.contains("bytes")),
        "{answer:?}"
    );
    world.submit(1, "quick", 2, job(vec![step(4)]));
    world.run_ms(2_000);
    assert_eq!(world.look(1, "quick", 2), Some(JobState::Completed));
}

/// Guards against jobs that are each within the limits and together exceed the memory. One that
/// is refused never runs, an ordinary one is accepted beside the large ones, and the end of jobs
/// makes room.
#[test]
fn jobs_beyond_the_memory_for_jobs_are_refused() {
    const LIMIT_BYTES: usize = 8 << 20;
    let mut world = World::with_job_limit(46, 4, 4, LIMIT_BYTES);
    let large = || job(vec![step(4_000)]);
    let calls: Vec<_> = (1..=5)
        .map(|id| world.submit(1, "quick", id, large()))
        .collect();
    world.run_ms(500);
    let is_refused = |call: &u64| {
        matches!(
            world.answers.get(call),
            Some(Answer::Refused(Refusal::Busy { .. }))
        )
    };
    let refused: Vec<_> = calls.iter().map(is_refused).collect();
    assert_eq!(refused, [false, false, false, true, true]);
    assert_eq!(world.decisions.get("job-without-memory"), Some(&2));
    let ordinary = world.submit(2, "quick", 9, job(vec![step(4)]));
    world.run_ms(500);
    assert_eq!(world.answers.get(&ordinary), Some(&Answer::Done));
    for id in 1..=3 {
        world.cancel(1, "quick", id);
    }
    world.run_ms(3_000);
    let again = world.submit(1, "quick", 4, large());
    world.run_ms(500);
    assert_eq!(world.answers.get(&again), Some(&Answer::Done));
    assert!(world.runs.iter().all(|run| run.task.job != JobId::from(5)));
}

/// Guards against a refusal of a job that runs: a caller who got no answer in time sends it again
/// while the first copy is on its way through the log and takes the last room.
#[test]
fn a_job_on_its_way_through_the_log_is_not_refused_for_its_own_memory() {
    let mut world = World::with_job_limit(47, 4, 4, 4 << 20);
    world.sync_ms = 80;
    let calls = [1, 1].map(|at| {
        let call = world.submit(at, "quick", 1, job(vec![step(4_000)]));
        world.run_ms(50);
        call
    });
    world.run_ms(3_000);
    for call in calls {
        assert_eq!(world.answers.get(&call), Some(&Answer::Done));
    }
}
