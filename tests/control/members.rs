//! Control instances that are found, and voters that are replaced.

use rosemarygauge::control::Answer;
use rosemarygauge::jobs::JobState;

use crate::world::{World, job, name, step};

/// A control instance is gone for good and an empty one comes at another address. It
/// takes the place of the lost one, so that another loss is borne.
#[test]
fn a_replaced_instance_bears_the_next_loss() {
    let mut world = World::new(31, 2, 2);
    let id = world.submit(1, "long", 5, job(vec![step(2)]));
    assert!(world.until(2_000, |w| w.answers.get(&id) == Some(&Answer::Done)));
    let gone = world.leader().unwrap();
    world.kill(&gone);
    world.run_ms(2_000);
    world.join(4);
    world.run_ms(14_000);
    let next = world.leader().unwrap();
    world.kill(&next);
    world.run_ms(4_000);
    let asked = (1..=4)
        .find(|p| ![&gone, &next].contains(&&name(*p)))
        .unwrap();
    assert_eq!(world.look(asked, "long", 5), Some(JobState::Completed));
}

/// An instance that is only cut off for some seconds keeps its vote.
#[test]
fn a_short_cut_changes_no_voters() {
    let mut world = World::new(32, 1, 1);
    let leader = world.leader().unwrap();
    let away = (1..=3).map(name).find(|n| *n != leader).unwrap();
    world.join(4);
    world.isolate(&away);
    world.run_ms(5_000);
    world.cut.clear();
    world.run_ms(3_000);
    let id = world.submit(1, "quick", 1, job(vec![step(1)]));
    assert!(world.until(2_000, |w| w.answers.get(&id) == Some(&Answer::Done)));
}
