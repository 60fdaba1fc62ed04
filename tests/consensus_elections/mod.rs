//! Duration of elections, and how many of them need more than one term.

use crate::consensus_world::{ELECTION_MS, Network, World};
use hdrhistogram::Histogram;
use rosemarygauge::consensus::TERM_STRIDE;

/// Number of simulated elections per setting.
const ELECTIONS: u64 = 200;
/// Timeout of each wait, longer than any election takes.
const TIMEOUT_MS: u64 = 30_000;

/// Statistics of elections after the leader was killed.
struct ElectionStats {
    duration_ms: Histogram<u64>,
    /// Elections that needed more than one term.
    extra_terms: u64,
}

fn run_elections(voters: usize, network: Network) -> ElectionStats {
    let mut stats = ElectionStats {
        duration_ms: Histogram::new(3).unwrap(),
        extra_terms: 0,
    };
    for seed in 0..ELECTIONS {
        let mut world = World::new(seed, voters, 0, 0);
        world.run_until("the first leader is elected", TIMEOUT_MS, |w| {
            w.leader().is_some()
        });
        world.run_for(1_000 + seed);
        world.network = network;
        world.run_for(500);
        world.run_until("a leader is in office", TIMEOUT_MS, |w| {
            w.leader().is_some()
        });
        let leader = world.leader().unwrap();
        let term = world.status(&leader).term;
        world.kill(&leader);
        let duration_ms = world.run_until("the next leader is elected", TIMEOUT_MS, |w| {
            let next = w.leader();
            next.is_some_and(|next| w.status(&next).term > term && w.status(&next).fresh)
        });
        let next = world.leader().unwrap();
        stats.duration_ms.record(duration_ms).unwrap();
        stats.extra_terms += u64::from(world.status(&next).term > term + TERM_STRIDE);
    }
    stats
}

const CALM: Network = Network {
    lost_percent: 0,
    duplicated_percent: 0,
    delay_max_ms: 2,
    sync_max_ms: 0,
};

/// Processes wait for CPU time, and disks are busy.
const BUSY: Network = Network {
    delay_max_ms: 60,
    sync_max_ms: 60,
    ..CALM
};

/// An election round takes longer than the shortest election timeout.
const STARVED: Network = Network {
    delay_max_ms: 150,
    sync_max_ms: 150,
    ..CALM
};

/// Simulates elections with three, five and eight voters, prints their durations and checks
/// them against the limits.
fn check_elections(load: &str, network: Network, max_extra_terms: u64, max_p99_ms: u64) {
    for voters in [3, 5, 8] {
        let stats = run_elections(voters, network);
        let [p50, p90, p99] = [0.5, 0.9, 0.99].map(|q| stats.duration_ms.value_at_quantile(q));
        let (max, extra_terms) = (stats.duration_ms.max(), stats.extra_terms);
        println!(
            "{load}, {voters} voters: {p50} {p90} {p99} {max} ms, {extra_terms} with another term"
        );
        assert!(
            extra_terms <= max_extra_terms,
            "{load}, {voters} voters: {extra_terms}"
        );
        assert!(p99 <= max_p99_ms, "{load}, {voters} voters: {p99} ms");
    }
}

/// Guards against candidates that split the votes, so that a second term is needed.
#[test]
fn calm_elections_need_one_term() {
    check_elections("calm", CALM, 0, 2 * ELECTION_MS);
}

/// Guards against rounds that are abandoned because replies are slow.
#[test]
fn elections_on_busy_machines_need_one_term() {
    check_elections("busy", BUSY, 0, 6 * ELECTION_MS);
}

/// Guards against discarding votes that arrive after a timeout.
#[test]
fn elections_on_starved_machines_seldom_need_another_term() {
    check_elections("starved", STARVED, ELECTIONS / 8, 10 * ELECTION_MS);
}
