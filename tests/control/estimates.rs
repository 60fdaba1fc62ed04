//! Learned run times, stalled runs, and the wall clock.

use std::sync::Arc;

use rosemarygauge::control::{
    Clock, Estimates, RunLoad, RunPhase, RunView, RunsPolicy, is_stalled,
};
use rosemarygauge::jobs::{Job, JobId, Step};

use crate::world::{job, step};

fn quick_job(id: u64) -> Job {
    let spec = Arc::new(job(vec![step(4), step(4)]));
    Job::new(JobId::from(id), "quick".into(), "east".into(), spec, 3, 0)
}

/// Callers estimate 300 ms for tasks that take 900 ms. After some runs, other jobs of the
/// queue are expected to take longer too, and the step that ran is expected to take 900 ms.
#[test]
fn run_times_are_learned_from_ended_runs() {
    let mut estimates = Estimates::default();
    let first = quick_job(1);
    assert_eq!(estimates.run_times_ms(&first), [300, 300]);
    for _ in 0..40 {
        estimates.record_run(&first, 0, 900);
    }
    let learned = estimates.run_times_ms(&first);
    assert_eq!(learned[0], 900);
    let other = estimates.run_times_ms(&quick_job(2));
    assert!(other.iter().all(|ms| (750..=900).contains(ms)), "{other:?}");
    estimates.retain(|_| false);
    assert!(estimates.run_times_ms(&first)[0] < 900);
}

/// Estimates are a quarter of the run time as often as four times it. A single job usually
/// takes what is estimated, but all jobs together take half of the sum of the estimates.
/// With the mean of the ratios, a pool seemed to need twice the machines that it used.
#[test]
fn the_work_factor_is_not_the_mean_of_the_ratios() {
    let mut estimates = Estimates::default();
    for id in 0..200 {
        let spec = job(vec![Step {
            estimate_ms: if id % 2 == 0 { 250 } else { 4_000 },
            ..step(4)
        }]);
        let one = Job::new(
            JobId::from(id),
            "quick".into(),
            "east".into(),
            Arc::new(spec),
            3,
            0,
        );
        estimates.record_run(&one, 0, 1_000);
    }
    let usually = estimates.factor("quick");
    assert!((0.85..1.15).contains(&usually), "{usually}");
    let together = estimates.work_factor("quick");
    assert!((0.4..0.55).contains(&together), "{together}");
}

#[test]
fn a_run_without_progress_is_stalled() {
    let mut view = RunView::new(RunPhase::Running { since_ms: 0 }, RunLoad::default());
    let policy = RunsPolicy::default();
    assert!(!is_stalled(10_000, &view, &policy));
    view.progress = Some(rosemarygauge::control::Progress { changed_ms: 1_000 });
    assert!(!is_stalled(2_000, &view, &policy));
    assert!(is_stalled(2_700, &view, &policy));
}

/// The wall clock jumps forward for some seconds and back, and nothing becomes due early.
#[test]
fn a_jump_of_the_wall_clock_is_ignored() {
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
