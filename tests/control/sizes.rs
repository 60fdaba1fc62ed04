//! Shares of a pool's room for small and for large jobs.

use rosemarygauge::control::{SizeShares, Sizes};
use rosemarygauge::jobs::JobId;

/// As by default.
const LARGE_PART: f64 = 0.6;

/// The order in which two rows are served, each in its own order.
fn merged<T>(
    mut shares: SizeShares,
    small: Vec<T>,
    large: Vec<T>,
    cores: impl Fn(&T) -> f64,
) -> Vec<T> {
    let weights = shares.weights(LARGE_PART);
    let mut rows = [small, large].map(std::collections::VecDeque::from);
    let mut merged = Vec::new();
    while rows.iter().any(|row| !row.is_empty()) {
        let next = shares.next_group(weights);
        let group = if rows[next].is_empty() {
            1 - next
        } else {
            next
        };
        let first = rows[group].pop_front().unwrap();
        shares.add_running(group == 1, cores(&first));
        merged.push(first);
    }
    merged
}

#[test]
fn the_upper_third_of_a_queue_is_large_once_its_sizes_are_known() {
    let mut sizes = Sizes::default();
    for job in 0..30 {
        sizes.record("quick", JobId::from(job), 10.0 + job as f64 % 10.0);
    }
    let large = |sizes: &Sizes, job| sizes.is_large(JobId::from(job));
    assert!(!large(&sizes, 9), "nothing is known of the queue yet");
    assert!(large(&sizes, 29) && large(&sizes, 28));
    assert!(!large(&sizes, 20) && !large(&sizes, 25));
    // What is large elsewhere is not large here.
    sizes.record("long", JobId::from(99), 1_000.0);
    assert!(!large(&sizes, 99));
    sizes.retain(|job| job != JobId::from(29));
    assert!(!large(&sizes, 29) && large(&sizes, 28));
}

/// A pool has room for a third of what is asked for. With the least work first the
/// callers of large jobs wait until the turn is over, all of them; with shares about
/// half as many of the large jobs are served as of the small ones.
#[test]
fn large_jobs_are_served_half_as_often_and_not_never() {
    let mut shares = SizeShares::default();
    let small = vec![2.0; 60];
    let large = vec![12.0; 10];
    small
        .iter()
        .for_each(|cores| shares.add_waiting(false, *cores));
    large
        .iter()
        .for_each(|cores| shares.add_waiting(true, *cores));
    let merged = merged(shares, small, large, |cores| *cores);
    assert_eq!(merged.len(), 70);
    let mut room = 80.0;
    let mut served = [0.0, 0.0];
    for cores in merged {
        if cores <= room {
            room -= cores;
            served[usize::from(cores > 2.0)] += 1.0;
        }
    }
    let parts = [served[0] / 60.0, served[1] / 10.0];
    assert!(parts[1] >= 0.45 * parts[0], "{parts:?}");
    assert!(parts[0] > parts[1], "{parts:?}");
}

/// What runs already counts: a group that has its share waits for the other.
#[test]
fn a_group_that_has_its_share_lets_the_other_go_first() {
    let mut shares = SizeShares::default();
    shares.add_running(true, 24.0);
    shares.add_waiting(false, 4.0);
    shares.add_waiting(true, 12.0);
    assert_eq!(
        merged(shares, vec!["small"], vec!["large"], |_| 4.0),
        ["small", "large"]
    );
    let mut shares = SizeShares::default();
    shares.add_running(false, 24.0);
    shares.add_waiting(false, 4.0);
    shares.add_waiting(true, 12.0);
    assert_eq!(
        merged(shares, vec!["small"], vec!["large"], |_| 4.0),
        ["large", "small"]
    );
}
