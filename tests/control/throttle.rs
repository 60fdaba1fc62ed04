//! Throttling of best-effort tasks on workers with tasks that serve users.

use rosemarygauge::control::Throttle;

/// A tail latency above its target stops the best-effort tasks at once. They regain speed in
/// steps and only well below the target, so that their share does not oscillate.
#[test]
fn the_share_falls_at_once_and_rises_slowly() {
    let mut throttle = Throttle::new(0);
    throttle.observe(100, 0.5);
    assert_eq!(throttle.percent(), 100);
    throttle.observe(200, 0.9);
    assert_eq!(throttle.percent(), 50);
    throttle.observe(300, 1.2);
    assert_eq!(throttle.percent(), 0);
    throttle.observe(400, 0.3);
    assert_eq!(throttle.percent(), 0);
    throttle.observe(1_200, 0.3);
    assert_eq!(throttle.percent(), 10);
    throttle.observe(1_300, 0.3);
    assert_eq!(throttle.percent(), 10);
    throttle.observe(2_100, 0.7);
    assert_eq!(throttle.percent(), 10);
}

/// When the tail latency depends on the share, the share settles within 20 s and then varies
/// by one step at most.
#[test]
fn the_share_settles_where_the_tail_meets_its_target() {
    let mut throttle = Throttle::new(0);
    let mut settled = Vec::new();
    for observation in 0..80 {
        let now_ms = observation * 250;
        let tail = 0.4 + f64::from(throttle.percent()) / 100.0;
        throttle.observe(now_ms, tail);
        if now_ms > 15_000 {
            settled.push(throttle.percent());
        }
    }
    let (least, most) = (settled.iter().min().unwrap(), settled.iter().max().unwrap());
    assert!(most - least <= 10 && *most >= 20, "{settled:?}");
}
