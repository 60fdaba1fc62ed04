//! How long elections take, and how many rounds they need.

use crate::consensus_world::{ELECTION_MS, Net, World};
use hdrhistogram::Histogram;

/// Elections in each setting.
const ELECTIONS: u64 = 200;
/// Longer than any takes.
const LIMIT_MS: u64 = 30_000;

/// What elections took after their leader was killed.
struct Seen {
    took_ms: Histogram<u64>,
    /// Elections that needed more than one term.
    again: u64,
}

fn elections(voters: usize, net: Net) -> Seen {
    let mut seen = Seen {
        took_ms: Histogram::new(3).unwrap(),
        again: 0,
    };
    for seed in 0..ELECTIONS {
        let mut world = World::new(seed, voters, 0, 0);
        world.until("a first leader", LIMIT_MS, |w| w.leader().is_some());
        world.run(1_000 + seed);
        world.net = net;
        world.run(500);
        world.until("a leader", LIMIT_MS, |w| w.leader().is_some());
        let leader = world.leader().unwrap();
        let term = world.status(&leader).term;
        world.kill(&leader);
        let took_ms = world.until("the next leader", LIMIT_MS, |w| {
            let next = w.leader();
            next.is_some_and(|next| w.status(&next).term > term && w.status(&next).fresh)
        });
        let next = world.leader().unwrap();
        seen.took_ms.record(took_ms).unwrap();
        seen.again += u64::from(world.status(&next).term > term + 1);
    }
    seen
}

const CALM: Net = Net {
    lost_percent: 0,
    doubled_percent: 0,
    delay_max_ms: 2,
    sync_max_ms: 0,
};

/// Machines whose processes wait for their turn, and disks that are busy.
const BUSY: Net = Net {
    delay_max_ms: 60,
    sync_max_ms: 60,
    ..CALM
};

/// A round takes longer than the shortest election timeout.
const STARVED: Net = Net {
    delay_max_ms: 150,
    sync_max_ms: 150,
    ..CALM
};

/// Plays the elections for three, five and eight voters; prints what they took.
fn check(what: &str, net: Net, again_max: u64, p99_max_ms: u64) {
    for voters in [3, 5, 8] {
        let seen = elections(voters, net);
        let [p50, p90, p99] = [0.5, 0.9, 0.99].map(|q| seen.took_ms.value_at_quantile(q));
        let (most, again) = (seen.took_ms.max(), seen.again);
        println!("{what}, {voters} voters: {p50} {p90} {p99} {most} ms, {again} with another term");
        assert!(again <= again_max, "{what}, {voters} voters: {again}");
        assert!(p99 <= p99_max_ms, "{what}, {voters} voters: {p99} ms");
    }
}

/// Guards against: candidates that split the votes, so that a second term is needed.
#[test]
fn calm_elections_need_one_term() {
    check("calm", CALM, 0, 2 * ELECTION_MS);
}

/// Guards against: rounds that are thrown away because answers take long.
#[test]
fn elections_on_busy_machines_need_one_term() {
    check("busy", BUSY, 0, 6 * ELECTION_MS);
}

/// Guards against: votes that come after a timeout are not counted.
#[test]
fn elections_on_starved_machines_seldom_need_another_term() {
    check("starved", STARVED, ELECTIONS / 8, 10 * ELECTION_MS);
}
