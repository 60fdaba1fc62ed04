//! Discovery of control instances and replacement of voters.

use rosemarygauge::control::{Answer, Event, PeerMessage};
use rosemarygauge::jobs::JobState;

use crate::world::{World, job, name, step};

/// Time that a lost instance's replacement has to catch up before the next loss.
const CATCH_UP_MS: u64 = 4_000;

/// A control instance is lost permanently and an empty one joins at another address. It
/// replaces the lost one as a voter, so that another loss is tolerated.
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

/// An instance that is cut off briefly stays a voter, although another one could take its
/// place.
#[test]
fn a_short_cut_changes_no_voters() {
    let mut world = World::new(32, 1, 1);
    let leader = world.leader().unwrap();
    let away = (1..=3).map(name).find(|n| *n != leader).unwrap();
    let voters = world.voters(&leader);
    world.join(4);
    world.isolate(&away);
    world.run_ms(1_500);
    world.cut.clear();
    world.run_ms(6_500);
    for place in 1..=3 {
        assert_eq!(world.voters(&name(place)), voters);
    }
    let id = world.submit(1, "quick", 1, job(vec![step(1)]));
    assert!(world.until(2_000, |w| w.answers.get(&id) == Some(&Answer::Done)));
}

/// An instance that is cut off for several seconds is replaced as a voter by the one that
/// waits. When it is back it still forwards calls.
#[test]
fn a_cut_of_seconds_moves_the_vote_and_stops_no_call() {
    let mut world = World::new(32, 1, 1);
    let leader = world.leader().unwrap();
    let away = (1..=3).map(name).find(|n| *n != leader).unwrap();
    world.join(4);
    world.isolate(&away);
    world.run_ms(5_000);
    world.cut.clear();
    world.run_ms(3_000);
    let voters = world.voters(&leader);
    assert_eq!(voters.len(), 3);
    assert!(voters.contains(&name(4)) && !voters.contains(&away));
    for place in 1..=4 {
        let id = world.submit(place, "quick", place as u64, job(vec![step(1)]));
        assert!(world.until(2_000, |w| w.answers.get(&id) == Some(&Answer::Done)));
    }
}

/// A control instance is lost permanently and its successor joins at once. When the
/// successor has had its time to catch up, another instance loses its disk. If the lost
/// instance were still a voter and the successor were not, only one complete data folder of
/// three would be left: no leader could ever be elected again, and all accepted jobs would
/// be lost.
#[test]
fn a_disk_may_be_lost_once_a_successor_has_caught_up() {
    for (gone, next) in [(1, 2), (1, 3), (2, 1), (2, 3), (3, 1), (3, 2)] {
        let mut world = World::new(33, 2, 2);
        let id = world.submit(1, "long", 5, job(vec![step(2)]));
        assert!(world.until(2_000, |w| w.answers.get(&id) == Some(&Answer::Done)));
        world.kill(&name(gone));
        world.join(4);
        world.run_ms(CATCH_UP_MS);
        world.kill(&name(next));
        world.run_ms(600);
        world.wipe(&name(next));
        world.run_ms(CATCH_UP_MS);
        assert!(world.leader().is_some(), "{gone} is gone, then {next} lost");
        assert_eq!(world.look(4, "long", 5), Some(JobState::Completed));
    }
}

/// Guards against entry instances that learn of a new leader only when they ask.
#[test]
fn a_new_leader_is_told_to_those_that_greet() {
    let mut world = World::new(34, 2, 2);
    let client = name(99);
    let gone = world.leader().unwrap();
    let left: Vec<_> = (1..=3).map(name).filter(|n| *n != gone).collect();
    world.run_ms(500);
    for control in &left {
        let message = Box::new(PeerMessage::Hello { has_folder: false });
        let from = client.clone();
        world.feed(control, Event::Peer { from, message });
    }
    world.kill(&gone);
    assert!(world.until(2_000, |w| w.leader().is_some()));
    world.run_ms(100);
    let next = world.leader().unwrap();
    let told = world.welcomes(&client);
    assert!(told.contains(&next), "{told:?}");
}
