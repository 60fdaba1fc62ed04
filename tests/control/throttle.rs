//! The speed of best-effort tasks beside tasks that serve users.

use rosemarygauge::control::Throttle;

/// A tail over its target stops the best-effort tasks at once; they get their speed
/// back in steps only while there is room, and do not swing.
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

/// A tail that follows the share settles: within 20 s the share stays within one
/// step of where it is bearable.
#[test]
fn it_settles_where_the_tail_is_bearable() {
    let mut throttle = Throttle::new(0);
    let mut late = Vec::new();
    for look in 0..80 {
        let now_ms = look * 250;
        let tail = 0.4 + f64::from(throttle.percent()) / 100.0;
        throttle.observe(now_ms, tail);
        if now_ms > 15_000 {
            late.push(throttle.percent());
        }
    }
    let (least, most) = (late.iter().min().unwrap(), late.iter().max().unwrap());
    assert!(most - least <= 10 && *most >= 20, "{late:?}");
}
