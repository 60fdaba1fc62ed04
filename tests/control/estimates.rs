//! Learnt run times, standstills, the time of day, and whose turn comes next.

use std::sync::Arc;

use rosemarygauge::control::{Clock, Estimates, RunPhase, RunView, Turns, stands_still};
use rosemarygauge::jobs::{Job, JobId};

use crate::world::{job, step};

fn of_queue(id: u64) -> Job {
    let spec = Arc::new(job(vec![step(4), step(4)]));
    Job::new(JobId::from(id), "quick".into(), "east".into(), spec, 3, 0)
}

/// Callers estimate 300 ms where tasks take 900: after some ends other jobs of the
/// queue are known to take longer, and the step that showed it takes 900.
#[test]
fn run_times_are_learnt_from_ends() {
    let mut estimates = Estimates::default();
    let first = of_queue(1);
    assert_eq!(estimates.run_times_ms(&first), [300, 300]);
    for _ in 0..40 {
        estimates.ended(&first, 0, 900);
    }
    let shown = estimates.run_times_ms(&first);
    assert_eq!(shown[0], 900);
    let other = estimates.run_times_ms(&of_queue(2));
    assert!(other.iter().all(|ms| (750..=900).contains(ms)), "{other:?}");
    estimates.retain(|_| false);
    assert!(estimates.run_times_ms(&first)[0] < 900);
}

#[test]
fn no_progress_for_long_is_a_standstill() {
    let mut view = RunView::new(RunPhase::Running { since_ms: 0 });
    assert!(!stands_still(10_000, &view));
    view.progress = Some(rosemarygauge::control::Progress { changed_ms: 1_000 });
    assert!(!stands_still(2_000, &view));
    assert!(stands_still(2_700, &view));
}

/// The time of day jumps forward for some seconds and back: nothing is due early.
#[test]
fn a_jump_of_the_time_of_day_is_not_believed() {
    let mut clock = Clock::new(1_000_000, 100);
    for now_ms in (100..20_000).step_by(1_000) {
        clock.compare(now_ms, 1_000_000 + now_ms + 2_400);
    }
    assert_eq!(clock.unix_ms(20_100), 1_020_000);
    clock.compare(21_000, 1_000_000 + 20_900);
    for now_ms in (22_000..60_000).step_by(1_000) {
        clock.compare(now_ms, 1_000_000 + now_ms + 2_400);
    }
    assert_eq!(clock.unix_ms(60_000), 1_000_000 + 60_000 - 100 + 2_500);
}

/// Three pools have their turns every 4 s, one after the other. After a round the next
/// is foreseen before it begins, with what it asked for last time.
#[test]
fn even_turns_are_foreseen() {
    let mut turns = Turns::default();
    let pools = ["a", "b", "c"];
    let mut right = 0;
    let mut foreseen = 0;
    for now_ms in (0..36_000_u64).step_by(50) {
        let turn = (now_ms / 4_000) as usize;
        if now_ms % 1_000 == 0 {
            pools
                .iter()
                .for_each(|pool| turns.arrived(now_ms, &(*pool).into(), 100.0));
        }
        turns.arrived(now_ms, &pools[turn % 3].into(), 5_000.0);
        if now_ms % 100 == 0 {
            turns.tick(now_ms);
        }
        let to_come = 4_000 - now_ms % 4_000;
        if turn >= 3 && to_come == 1_000 {
            foreseen += usize::from(turns.next(now_ms).is_some());
            let next = turns.next(now_ms).map(|(pool, _)| pool.to_string());
            right += usize::from(next.as_deref() == Some(pools[(turn + 1) % 3]));
        }
    }
    assert!(foreseen >= 4 && right == foreseen, "{right} of {foreseen}");
}
