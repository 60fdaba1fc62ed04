use std::time::{Duration, Instant};

use rosemarygauge::control::{Event, EventKind, LoopMeter, Metrics, OrderOutcome};

/// When the loop is overloaded, everything is late while the mean processor use looks
/// normal. The metrics alone must show an on-call engineer which events took the time, how
/// many were queued and how late the loop was.
#[test]
fn a_loop_that_is_behind_shows_in_the_metrics() {
    let metrics = Metrics::default();
    let began = Instant::now();
    let mut meter = LoopMeter::new(began);
    let unanswered = Event::Ordered {
        id: 1,
        outcome: OrderOutcome::Unanswered,
    };
    meter.record_event(EventKind::from(&Event::Tick), Duration::from_millis(700));
    meter.record_event(EventKind::from(&unanswered), Duration::from_millis(2));
    meter.record_queue_length(81);
    meter.record_lateness(Duration::from_millis(45));
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
