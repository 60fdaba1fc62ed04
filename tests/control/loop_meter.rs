use std::time::{Duration, Instant};

use rosemarygauge::control::{Event, EventKind, LoopMeter, Metrics, OrderOutcome};

/// Everything is late while the mean use of the processor looks harmless: an on-call
/// engineer has to see from the metrics alone what the loop was busy with, how many events
/// waited and how late it came to them.
#[test]
fn a_loop_that_is_behind_shows_in_the_metrics() {
    let metrics = Metrics::default();
    let began = Instant::now();
    let mut meter = LoopMeter::new(began);
    let unanswered = Event::Ordered {
        id: 1,
        outcome: OrderOutcome::Unanswered,
    };
    meter.handled(EventKind::from(&Event::Tick), Duration::from_millis(700));
    meter.handled(EventKind::from(&unanswered), Duration::from_millis(2));
    meter.waiting(81);
    meter.late(Duration::from_millis(45));
    let busy = Duration::from_millis(940);

    meter.report(began + Duration::from_millis(900), busy, true, &metrics);
    assert!(!metrics.text(0).contains("event=\"tick\""), "too early");

    meter.report(began + Duration::from_secs(1), busy, true, &metrics);
    let text = metrics.text(0);
    for line in [
        "rosemarygauge_loop_seconds_total{event=\"tick\"} 0.7",
        "rosemarygauge_loop_events_total{event=\"unanswered\"} 1",
        "rosemarygauge_loop_waiting_most 81",
        "rosemarygauge_loop_late_most_seconds 0.045",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }

    meter.report(began + Duration::from_secs(2), busy, true, &metrics);
    let text = metrics.text(0);
    assert!(text.contains("rosemarygauge_loop_waiting_most 0"), "{text}");
}
