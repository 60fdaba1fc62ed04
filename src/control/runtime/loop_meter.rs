//! Measures where the time of a control instance's event loop goes, and how far it lags.
//!
//! All decisions are made in one loop. When it gets more events than it can handle,
//! everything is answered late, although the mean processor use over minutes looks normal.
//! So the meter records for each second which events took the time, how many events were
//! queued and how late the loop was.

use std::time::{Duration, Instant};

use crate::control::{Event, Metrics, OrderOutcome, PeerMessage};

/// Interval between two log lines and metric updates.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Kinds of work of the loop, grouped by their cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum EventKind {
    /// A tick: scheduling passes, lease renewals that are due, machines.
    #[display("tick")]
    Tick,
    /// A message from a peer.
    #[display("peer")]
    Peer,
    /// Outcomes of orders that a follower carried out.
    #[display("carried")]
    Carried,
    /// A write is synced.
    #[display("persisted")]
    Persisted,
    /// A call from this instance's listeners.
    #[display("call")]
    Call,
    /// A worker's answer to a lease renewal, with its running tasks.
    #[display("listing")]
    Listing,
    /// The answer to any other order.
    #[display("order")]
    Order,
    /// An order without an answer.
    #[display("unanswered")]
    Unanswered,
    /// Any other event.
    #[display("other")]
    Other,
    /// Carrying out the effects of all events.
    #[display("effects")]
    Effects,
}

/// All kinds in declaration order, which is also the order of their totals.
const EVENT_KINDS: [EventKind; 10] = [
    EventKind::Tick,
    EventKind::Peer,
    EventKind::Carried,
    EventKind::Persisted,
    EventKind::Call,
    EventKind::Listing,
    EventKind::Order,
    EventKind::Unanswered,
    EventKind::Other,
    EventKind::Effects,
];

impl From<&Event> for EventKind {
    fn from(event: &Event) -> Self {
        match event {
            Event::Tick => Self::Tick,
            Event::Peer { message, .. } => match **message {
                PeerMessage::Outcomes { .. } => Self::Carried,
                _ => Self::Peer,
            },
            Event::Persisted { .. } | Event::DiskFull => Self::Persisted,
            Event::Call { .. } => Self::Call,
            Event::Ordered { outcome, .. } => Self::from(outcome),
            Event::MachineOrdered { .. }
            | Event::MachinesListed { .. }
            | Event::Advised { .. }
            | Event::Found { .. }
            | Event::Stop => Self::Other,
        }
    }
}

impl From<&OrderOutcome> for EventKind {
    fn from(outcome: &OrderOutcome) -> Self {
        match outcome {
            OrderOutcome::Listed { .. } => Self::Listing,
            OrderOutcome::Done { .. } | OrderOutcome::Rejected { .. } => Self::Order,
            OrderOutcome::Unanswered | OrderOutcome::NotSent => Self::Unanswered,
            OrderOutcome::Since { outcome, .. } => Self::from(&**outcome),
        }
    }
}

/// The work of one kind since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct KindTotals {
    events: u64,
    time: Duration,
    longest: Duration,
}

/// Collects statistics on the loop and reports them once a second.
#[derive(Debug)]
pub struct LoopMeter {
    since: Instant,
    totals: [KindTotals; EVENT_KINDS.len()],
    max_queue_length: usize,
    max_lateness: Duration,
    busy: Duration,
}

impl LoopMeter {
    /// Creates a meter whose first interval begins now.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            totals: Default::default(),
            max_queue_length: 0,
            max_lateness: Duration::ZERO,
            busy: Duration::ZERO,
        }
    }

    /// Records an event of this kind and the time that it took.
    pub fn record_event(&mut self, kind: EventKind, took: Duration) {
        let totals = &mut self.totals[kind as usize];
        totals.events += 1;
        totals.time += took;
        totals.longest = totals.longest.max(took);
    }

    /// Records the number of queued events.
    pub fn record_queue_length(&mut self, events: usize) {
        self.max_queue_length = self.max_queue_length.max(events);
    }

    /// Records how long after its due time a tick was handled.
    pub fn record_lateness(&mut self, late: Duration) {
        self.max_lateness = self.max_lateness.max(late);
    }

    /// Reports and resets the statistics if a report is due. `busy` is the total busy time
    /// of the loop's thread since its start, including calls and listeners.
    pub fn report(&mut self, now: Instant, busy: Duration, leads: bool, metrics: &Metrics) {
        let passed = now.duration_since(self.since);
        if passed < REPORT_INTERVAL {
            return;
        }
        for (kind, totals) in EVENT_KINDS.iter().zip(&self.totals) {
            metrics.record_loop_time(*kind, totals.events, totals.time.as_secs_f64());
        }
        metrics.set_loop_lag(self.max_queue_length, self.max_lateness.as_secs_f64());
        self.log(passed, busy.saturating_sub(self.busy), leads);
        *self = Self {
            busy,
            ..Self::new(now)
        };
    }

    fn log(&self, passed: Duration, busy: Duration, leads: bool) {
        let ms = |time: Duration| (time.as_secs_f64() * 1_000.0).round() as u64;
        let totals_of = |kind: EventKind| &self.totals[kind as usize];
        let longest = self.totals.iter().map(|totals| totals.longest).max();
        tracing::info!(
            leads,
            passed_ms = ms(passed),
            busy_ms = ms(busy),
            late_most_ms = ms(self.max_lateness),
            waiting_most = self.max_queue_length,
            longest_ms = ms(longest.unwrap_or_default()),
            tick_ms = ms(totals_of(EventKind::Tick).time),
            tick_longest_ms = ms(totals_of(EventKind::Tick).longest),
            peer_ms = ms(totals_of(EventKind::Peer).time),
            peers = totals_of(EventKind::Peer).events,
            carried_ms = ms(totals_of(EventKind::Carried).time),
            carried = totals_of(EventKind::Carried).events,
            persisted_ms = ms(totals_of(EventKind::Persisted).time),
            call_ms = ms(totals_of(EventKind::Call).time),
            calls = totals_of(EventKind::Call).events,
            listing_ms = ms(totals_of(EventKind::Listing).time),
            listings = totals_of(EventKind::Listing).events,
            order_ms = ms(totals_of(EventKind::Order).time),
            orders = totals_of(EventKind::Order).events,
            unanswered = totals_of(EventKind::Unanswered).events,
            effects_ms = ms(totals_of(EventKind::Effects).time),
            "loop: statistics of the last second"
        );
    }
}
