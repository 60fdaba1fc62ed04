//! Lost, cut-off, frozen and emptied control instances.

use rosemarygauge::control::{Answer, Call};
use rosemarygauge::jobs::JobState;

use crate::world::{World, job, lasting, name, step};

/// The caller sees its job completed. The leader dies with the job's tasks running:
/// the next leader finds them at the workers and starts none of them again.
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

/// The caller is told that its job is accepted, then all instances lose power at
/// once. Their disks come back, and so does the job.
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

/// The leader loses its disk right after it acknowledged a job; the others hold it.
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
        // A second one can be lost once the first has caught up.
        let next = world.leader().unwrap();
        world.kill(&next);
        world.wipe(&next);
        world.run_ms(6_000);
        assert_eq!(world.look(1, "long", 6), Some(JobState::Completed));
    }
}

/// An operator reads the configuration at a leader that is cut off from the others,
/// which have a newer one by then: it must not answer with the old one.
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

/// The leader stands still for seconds while another leads and the configuration
/// changes. It wakes with a read in its queue: time must pass for it first.
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

/// The leader stands still right after a task's placement became durable. The next
/// leader runs the task elsewhere; the old one wakes and sends its start late.
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

/// A planned stop of the leader: another leads within a few round trips, and a job
/// handed in meanwhile is accepted.
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

/// Lasting tasks run on while leaders change: a change of leader shorter than the
/// lease costs no run.
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

/// An instance stands still while its disk syncs a write, and goes on; after that another
/// one loses its disk. The write ended meanwhile, and what tells of its end waits for the
/// instance as everything does: without it the instance would hold back every vote and
/// every answer to its leader for good, and nobody could lead any more.
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
