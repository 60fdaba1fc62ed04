//! Fair shares of a pool's room for small and for large jobs.

use rosemarygauge::control::{SizeShares, Sizes};
use rosemarygauge::jobs::JobId;

/// The policy's default.
const LARGE_PART: f64 = 0.6;

/// Returns the order in which small and large items are served by their shares.
fn serving_order<T>(
    mut shares: SizeShares,
    small: Vec<T>,
    large: Vec<T>,
    cores: impl Fn(&T) -> f64,
) -> Vec<T> {
    let weights = shares.weights(LARGE_PART);
    let mut queues = [small, large].map(std::collections::VecDeque::from);
    let mut order = Vec::new();
    while queues.iter().any(|queue| !queue.is_empty()) {
        let next = shares.next_group(weights);
        let group = if queues[next].is_empty() {
            1 - next
        } else {
            next
        };
        let first = queues[group].pop_front().unwrap();
        shares.add_running(group == 1, cores(&first));
        order.push(first);
    }
    order
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

/// The pool has room for a third of the demand. With the least work first, no large job
/// would run until the peak is over. With shares, the fraction of large jobs that are
/// served is about half of that of the small ones.
#[test]
fn large_jobs_are_served_half_as_often_as_small_ones() {
    let mut shares = SizeShares::default();
    let small = vec![2.0; 60];
    let large = vec![12.0; 10];
    small
        .iter()
        .for_each(|cores| shares.add_waiting(false, *cores));
    large
        .iter()
        .for_each(|cores| shares.add_waiting(true, *cores));
    let order = serving_order(shares, small, large, |cores| *cores);
    assert_eq!(order.len(), 70);
    let mut room = 80.0;
    let mut served = [0.0, 0.0];
    for cores in order {
        if cores <= room {
            room -= cores;
            served[usize::from(cores > 2.0)] += 1.0;
        }
    }
    let parts = [served[0] / 60.0, served[1] / 10.0];
    assert!(parts[1] >= 0.45 * parts[0], "{parts:?}");
    assert!(parts[0] > parts[1], "{parts:?}");
}

/// Cores in use count towards a group's share.
#[test]
fn a_group_that_uses_its_share_goes_second() {
    let mut shares = SizeShares::default();
    shares.add_running(true, 24.0);
    shares.add_waiting(false, 4.0);
    shares.add_waiting(true, 12.0);
    assert_eq!(
        serving_order(shares, vec!["small"], vec!["large"], |_| 4.0),
        ["small", "large"]
    );
    let mut shares = SizeShares::default();
    shares.add_running(false, 24.0);
    shares.add_waiting(false, 4.0);
    shares.add_waiting(true, 12.0);
    assert_eq!(
        serving_order(shares, vec!["small"], vec!["large"], |_| 4.0),
        ["large", "small"]
    );
}
