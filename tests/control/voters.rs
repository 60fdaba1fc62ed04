//! Where the voters are, and who leads, while zones are cut off and instances are lost.

use rand::Rng;
use rand::seq::IndexedRandom;
use rosemarygauge::control::Tolerance;

use crate::zoned::{Zoned, name, zone_of};

/// Time in which the voters have to be in their places again after a loss.
const CATCH_UP_MS: u64 = 6_000;
/// Time in which a majority of the zones has a leader, whatever happens to the others.
const LEADER_MS: u64 = 2_500;

const ONE_ZONE: Tolerance = Tolerance {
    instances: 2,
    zones: 1,
    regions: 0,
};

fn settled(seed: u64, zones: &[usize], tolerance: Tolerance) -> Zoned {
    let mut world = Zoned::new(seed, zones, tolerance);
    world.run_ms(2 * CATCH_UP_MS);
    world
}

/// The addresses in the settings may all lie in one zone. The cut of that zone left four
/// zones of five without a leader, as three of five voters stayed in it.
#[test]
fn the_cut_of_any_zone_leaves_a_leader_to_the_others() {
    for zone in 0..5 {
        let mut world = settled(40 + zone as u64, &[5; 5], ONE_ZONE);
        assert_eq!(world.voters().len(), 5);
        assert!(
            world.spread().borne(&ONE_ZONE).all(),
            "{:?}",
            world.spread()
        );
        world.cut_zone(zone, 5);
        world.run_ms(LEADER_MS);
        let leader = world.leader().expect("the other zones have a leader");
        assert_ne!(world.instances[&leader].location, zone_of(zone));
        let caller = name((zone + 1) % 5, 3);
        let before = world.acknowledged();
        world.configure(&caller);
        world.run_ms(300);
        assert!(world.acknowledged() > before);
    }
}

/// A leader that loses sight of the other zones must not gather all voters, and so all copies
/// of what it acknowledges, in its own.
#[test]
fn a_cut_moves_no_more_voters_into_a_zone_than_it_may_hold() {
    for (zones, limit) in [(&[5, 5, 5][..], 2), (&[3, 3, 2][..], 2), (&[4, 4, 4, 4], 2)] {
        for cut in 0..zones.len() {
            let mut world = settled(50 + cut as u64, zones, ONE_ZONE);
            world.cut_zone(cut, zones.len());
            for _ in 0..40 {
                world.run_ms(250);
                let spread = world.spread();
                let most = spread.zones().values().max().copied().unwrap_or(0);
                assert!(most <= limit + 1, "while a voter is replaced: {spread:?}");
                if world.voters().len() <= 5 {
                    assert!(most <= limit, "{spread:?}");
                }
            }
        }
    }
}

/// Two zones cannot survive the loss of either; the voters are then spread evenly, and their
/// number stays.
#[test]
fn two_zones_hold_as_even_a_part_of_the_voters_as_they_can() {
    let world = settled(61, &[4, 3], ONE_ZONE);
    let spread = world.spread();
    assert_eq!(spread.zones().values().sum::<usize>(), 5);
    assert!(
        spread.zones().values().all(|count| *count >= 2),
        "{spread:?}"
    );
    assert!(!spread.borne(&ONE_ZONE).zones);
}

/// Where a zone has few instances, the loss of a zone goes before the number of voters.
#[test]
fn uneven_zones_survive_the_loss_of_the_fullest() {
    for zones in [&[7, 1, 1][..], &[1, 1, 7], &[6, 1, 2], &[1, 8, 1, 1]] {
        let world = settled(62, zones, ONE_ZONE);
        let spread = world.spread();
        assert!(spread.borne(&ONE_ZONE).zones, "{zones:?}: {spread:?}");
    }
}

/// A zone is lost for good, and then as many disks of what is left as may be lost at once.
#[test]
fn disks_may_be_lost_after_a_zone_is_lost_for_good() {
    for seed in 70..74 {
        let mut world = settled(seed, &[3; 5], ONE_ZONE);
        let caller = name(4, 2);
        world.configure(&caller);
        world.run_ms(300);
        assert_eq!(world.acknowledged(), 1);
        for lost in world.names_in(0) {
            world.remove(&lost);
        }
        world.run_ms(LEADER_MS + CATCH_UP_MS);
        let voters = world.voters();
        assert!(voters.iter().all(|voter| world.is_up(voter)), "{voters:?}");
        for lost in voters.iter().take(ONE_ZONE.instances) {
            world.kill(lost);
            world.run_ms(100);
            world.wipe(lost);
        }
        world.run_ms(LEADER_MS + CATCH_UP_MS);
        assert!(world.leader().is_some());
        world.configure(&caller);
        world.run_ms(300);
        assert_eq!(world.acknowledged(), 2);
    }
}

/// The leader is cut off from one zone and another voter is not: leadership moves there, and
/// stays there once the cut is over.
#[test]
fn leadership_moves_to_a_voter_that_reaches_more() {
    for seed in 80..84 {
        let mut world = settled(seed, &[3; 3], ONE_ZONE);
        let leader = world.leader().unwrap();
        let zone = (0..3).find(|z| world.instances[&leader].location == zone_of(*z));
        let zone = zone.unwrap();
        let away = (zone + 1) % 3;
        world.cut_way(zone, away);
        world.cut_way(away, zone);
        world.run_ms(8_000);
        let next = world.leader().expect("there is a leader");
        assert_eq!(world.instances[&next].location, zone_of((zone + 2) % 3));
        let before = world.leaderships;
        world.heal();
        world.run_ms(8_000);
        assert_eq!(world.leader(), Some(next));
        assert_eq!(world.leaderships, before);
    }
}

/// A short cut, one that comes and goes, and a rolling restart move no leadership back and
/// forth, and every change of the voters has its cause.
#[test]
fn a_network_that_fails_again_and_again_moves_little() {
    let mut world = settled(90, &[5; 5], ONE_ZONE);
    let leader = world.leader().unwrap();
    let other = (0..5).find(|z| world.instances[&leader].location != zone_of(*z));
    let (leaderships, changes) = (world.leaderships, world.voter_changes);
    for _ in 0..6 {
        world.cut_zone(other.unwrap(), 5);
        world.run_ms(1_500);
        world.heal();
        world.run_ms(1_500);
    }
    assert_eq!(world.leaderships, leaderships);
    assert_eq!(world.voter_changes, changes);
    for at in world.instances.keys().cloned().collect::<Vec<_>>() {
        world.kill(&at);
        world.run_ms(400);
        world.restart(&at);
        world.run_ms(400);
    }
    world.run_ms(CATCH_UP_MS);
    assert_eq!(world.voter_changes, changes);
    assert!(world.leader().is_some());
}

/// All instances are killed at once while a zone is cut off: what was acknowledged is there
/// when they are back, and no voter moves past the limits of its zone.
#[test]
fn all_may_be_killed_while_a_zone_is_cut_off() {
    for cut in 0..3 {
        let mut world = settled(95, &[3; 3], ONE_ZONE);
        world.configure(&name((cut + 1) % 3, 1));
        world.run_ms(300);
        world.cut_zone(cut, 3);
        world.run_ms(500);
        let all: Vec<_> = world.instances.keys().cloned().collect();
        all.iter().for_each(|at| world.kill(at));
        world.run_ms(500);
        all.iter().for_each(|at| world.restart(at));
        world.run_ms(5_000);
        world.heal();
        world.run_ms(2 * CATCH_UP_MS);
        assert!(world.leader().is_some());
        assert!(
            world.spread().borne(&ONE_ZONE).all(),
            "{:?}",
            world.spread()
        );
    }
}

/// Instances in 1 to 5 zones, and any sequence of cuts, heals, losses and joins: no two
/// leaders in a term and nothing acknowledged lost (checked at every step), a leader wherever
/// a majority of the zones is whole, and the voters in their places once it was quiet.
#[test]
fn any_sequence_of_cuts_and_losses_keeps_the_voters_in_their_places() {
    for seed in 0..36 {
        play_random(seed);
    }
}

fn play_random(seed: u64) {
    let mut draw = Zoned::new(seed, &[1], Tolerance::default()).rng;
    let zones = draw.random_range(1..=5);
    let mut counts: Vec<usize> = (0..zones).map(|_| draw.random_range(1..=5)).collect();
    while counts.iter().sum::<usize>() < 3 {
        counts[0] += 1;
    }
    let tolerance = Tolerance {
        instances: draw.random_range(1..=2),
        zones: 1,
        regions: 0,
    };
    let mut world = settled(seed, &counts, tolerance);
    let mut next_place = 100;
    for _ in 0..5 {
        let zone = world.rng.random_range(0..zones);
        let other = world.rng.random_range(0..zones);
        let all: Vec<_> = world.instances.keys().cloned().collect();
        let some = all.choose(&mut world.rng).unwrap().clone();
        let whole_before = world.spread().borne(&tolerance).zones;
        match world.rng.random_range(0..8) {
            0 | 1 => {
                world.cut_zone(zone, zones);
                world.run_ms(LEADER_MS);
                if zones >= 3 && whole_before {
                    let leader = world.leader();
                    let leader = leader.unwrap_or_else(|| panic!("seed {seed}: no leader"));
                    assert_ne!(world.instances[&leader].location, zone_of(zone));
                }
                let more_ms = world.rng.random_range(0..6_000);
                world.run_ms(more_ms);
            }
            2 if zone != other => {
                world.cut_way(zone, other);
                world.run_ms(4_000);
            }
            3 if zone != other => {
                world.cut_zone(zone, zones);
                world.run_ms(1_000);
                world.cut_zone(other, zones);
                world.run_ms(3_000);
            }
            4 => {
                world.kill(&some);
                world.run_ms(1_000);
                world.restart(&some);
            }
            5 => {
                world.kill(&some);
                world.run_ms(300);
                world.wipe(&some);
            }
            6 => {
                let zone = (0..zones)
                    .find(|z| world.instances[&some].location == zone_of(*z))
                    .unwrap();
                world.remove(&some);
                world.run_ms(500);
                next_place += 1;
                world.join(&name(zone, next_place), zone);
            }
            _ => {
                all.iter().for_each(|at| world.kill(at));
                world.run_ms(700);
                all.iter().for_each(|at| world.restart(at));
            }
        }
        world.heal();
        world.run_ms(2 * CATCH_UP_MS);
        let callers: Vec<_> = world.instances.keys().cloned().collect();
        let caller = callers.choose(&mut world.rng).unwrap().clone();
        let before = world.acknowledged();
        world.configure(&caller);
        world.run_ms(1_000);
        assert!(
            world.acknowledged() > before,
            "seed {seed}: no acknowledgement"
        );
        let voters = world.voters();
        assert!(
            voters.iter().all(|voter| world.is_up(voter)),
            "seed {seed}: {voters:?}"
        );
        let spread = world.spread();
        let survivable = zones >= 3;
        assert!(
            spread.borne(&tolerance).zones || !survivable,
            "seed {seed}: {counts:?} {spread:?}"
        );
    }
}
