//! Control instances that crash, are cut off, are paused or lose their disks.

use rosemarygauge::control::{Answer, Call};
use rosemarygauge::jobs::JobState;

use crate::world::{World, job, lasting, name, step};

/// The leader crashes while a job's tasks run. The next leader finds them at the workers
/// and starts none of them again, and the job completes.
#[test]
fn a_new_leader_finds_what_runs_and_starts_nothing_twice() {
    for mut world in World::both(11, 3, 3) {
        for worker in world.workers.values_mut() {
            worker.run_ms = 4_000;
        }
        world.submit(1, "quick", 1, job(vec![step(12)]));
        world.run_ms(1_000);
        assert_eq!(world.runs.len(), 12);
        let leader = world.leader().unwrap();
        world.kill(&leader);
        world.run_ms(5_000);
        assert!(world.leader().is_some_and(|next| next != leader));
        let other = (1..=3).find(|p| name(*p) != leader).unwrap();
        assert_eq!(world.look(other, "quick", 1), Some(JobState::Completed));
        assert_eq!(world.runs.len(), 12, "{:?}", world.runs);
    }
}

/// A caller is told that its job is accepted, then all instances lose power at once. After
/// a restart from their disks the job is still there.
#[test]
fn what_was_acknowledged_survives_a_loss_of_power_of_all() {
    for mut world in World::both(12, 2, 2) {
        let id = world.submit(1, "long", 5, job(vec![step(3)]));
        assert!(world.until(2_000, |w| w.answers.contains_key(&id)));
        for place in 1..=3 {
            world.kill(&name(place));
        }
        world.run_ms(1_000);
        for place in 1..=3 {
            world.restart(&name(place));
        }
        world.run_ms(9_000);
        assert_eq!(world.look(2, "long", 5), Some(JobState::Completed));
    }
}

/// The leader loses its disk right after it acknowledged a job. The other instances have
/// the job.
#[test]
fn a_leader_that_loses_its_disk_loses_nothing() {
    for mut world in World::both(13, 2, 2) {
        let id = world.submit(1, "long", 6, job(vec![step(3)]));
        assert!(world.until(2_000, |w| w.answers.contains_key(&id)));
        let leader = world.leader().unwrap();
        world.kill(&leader);
        world.run_ms(700);
        world.wipe(&leader);
        world.run_ms(9_000);
        assert_eq!(world.look(1, "long", 6), Some(JobState::Completed));
        // A second instance can be lost once the first has caught up.
        let next = world.leader().unwrap();
        world.kill(&next);
        world.wipe(&next);
        world.run_ms(6_000);
        assert_eq!(world.look(1, "long", 6), Some(JobState::Completed));
    }
}

/// An operator reads the configuration at a leader that is cut off from the others, which
/// already have a newer one. It must not answer with the old one.
#[test]
fn a_leader_that_is_cut_off_does_not_answer_reads() {
    for mut world in World::both(14, 2, 2) {
        let old = world.leader().unwrap();
        world.isolate(&old);
        world.run_ms(4_000);
        let other = (1..=3).find(|p| name(*p) != old).unwrap();
        let newer = std::sync::Arc::new(crate::world::configuration(2));
        let id = world.call(other, Call::Configure(newer));
        assert!(world.until(3_000, |w| w.answers.get(&id) == Some(&Answer::Done)));
        let place = (1..=3).find(|p| name(*p) == old).unwrap();
        let id = world.call(place, Call::ReadConfiguration);
        world.run_ms(2_000);
        let answer = world.answers.get(&id);
        assert!(
            matches!(answer, Some(Answer::Unknown | Answer::Refused(_))),
            "{answer:?}"
        );
    }
}

/// The leader is paused for seconds while another leads and the configuration changes. It
/// resumes with a read in its queue and must notice the elapsed time before it answers.
#[test]
fn a_leader_that_stood_still_does_not_answer_from_the_past() {
    for mut world in World::both(15, 2, 2) {
        let old = world.leader().unwrap();
        world.freeze(&old, true);
        world.run_ms(4_000);
        let other = (1..=3).find(|p| name(*p) != old).unwrap();
        let newer = std::sync::Arc::new(crate::world::configuration(2));
        let id = world.call(other, Call::Configure(newer));
        assert!(world.until(3_000, |w| w.answers.get(&id) == Some(&Answer::Done)));
        world.freeze(&old, false);
        let place = (1..=3).find(|p| name(*p) == old).unwrap();
        let id = world.call(place, Call::ReadConfiguration);
        world.run_ms(3_000);
        let answer = world.answers.get(&id).cloned().unwrap();
        if let Answer::Configuration(document) = answer {
            assert_eq!(*document, b"document 2".to_vec());
        }
    }
}

/// The leader is paused right after a task's placement became durable. The next leader runs
/// the task elsewhere. The old leader resumes and sends its start late.
#[test]
fn a_leader_that_wakes_starts_nothing_a_second_time() {
    for seed in 160..170 {
        for mut world in World::both(seed, 3, 3) {
            for worker in world.workers.values_mut() {
                worker.run_ms = 3_000;
            }
            world.submit(1, "quick", 1, job(vec![step(8)]));
            let wait_ms = (seed - 160) * 5;
            world.run_ms(10 + wait_ms);
            let old = world.leader().unwrap();
            world.freeze(&old, true);
            world.run_ms(3_500);
            world.freeze(&old, false);
            world.run_ms(12_000);
            assert_eq!(
                world.look(2, "quick", 1),
                Some(JobState::Completed),
                "seed {seed}"
            );
        }
    }
}

/// After a planned stop of the leader another instance leads within a few round trips, and
/// a job that is submitted meanwhile is accepted.
#[test]
fn a_planned_stop_hands_the_lead_over() {
    for mut world in World::both(17, 2, 2) {
        let old = world.leader().unwrap();
        world.feed(&old, rosemarygauge::control::Event::Stop);
        let other = (1..=3).find(|p| name(*p) != old).unwrap();
        let id = world.submit(other, "quick", 3, job(vec![step(2)]));
        assert!(world.until(1_000, |w| w.answers.get(&id) == Some(&Answer::Done)));
    }
}

/// A change of leader that is shorter than the lease interrupts no long-running task.
#[test]
fn lasting_tasks_outlive_a_change_of_leader() {
    for mut world in World::both(18, 6, 1) {
        world.submit(1, "quick", 9, lasting(5));
        world.run_ms(2_000);
        assert_eq!(world.runs.len(), 5);
        let leader = world.leader().unwrap();
        world.kill(&leader);
        world.run_ms(6_000);
        world.restart(&leader);
        world.run_ms(3_000);
        assert_eq!(world.runs.len(), 5, "{:?}", world.runs);
    }
}

/// An instance is paused while its disk syncs a write, and another one loses its disk after
/// the first has resumed. The completion of the write is queued for the paused instance
/// like everything else. If it were lost, the instance would hold back every vote and every
/// answer to its leader, and no leader could be elected any more.
#[test]
fn an_instance_that_stood_still_during_a_write_votes_again() {
    for leads in [true, false] {
        for mut world in World::both(19, 2, 2) {
            let leader = world.leader().unwrap();
            let still = (1..=3).map(name).find(|n| (*n == leader) == leads).unwrap();
            let id = world.submit(1, "long", 5, job(vec![step(2)]));
            assert!(world.until(1_000, |w| w.writes(&still)));
            world.freeze(&still, true);
            world.run_ms(2_500);
            world.freeze(&still, false);
            world.run_ms(4_000);
            assert!(world.answers.contains_key(&id));
            let lost = world.leader().filter(|l| *l != still).unwrap_or_else(|| {
                let others = (1..=3).map(name);
                others.rev().find(|n| *n != still).unwrap()
            });
            world.kill(&lost);
            world.run_ms(600);
            world.wipe(&lost);
            world.run_ms(5_000);
            assert!(world.leader().is_some(), "leads: {leads}");
        }
    }
}
