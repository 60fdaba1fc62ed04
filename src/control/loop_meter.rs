//! Where the time of a control instance's loop goes, and how far it is behind.
//!
//! All decisions are made in one loop. One that gets more events than it can handle in
//! time answers everything late, while its mean use of the processor over minutes tells
//! nothing: what it was busy with in the second that matters, how many events waited and
//! how late it came to them has to be on record.

use std::time::{Duration, Instant};

use super::{Event, Metrics, OrderOutcome, PeerMessage};

/// Between two lines of the log, and two updates of the metrics.
const REPORT: Duration = Duration::from_secs(1);

/// What the loop handles, by what it costs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum EventKind {
    /// Time: passes of the scheduler, renewals that are due, machines.
    #[display("tick")]
    Tick,
    /// A peer's message.
    #[display("peer")]
    Peer,
    /// What came of orders that a follower carried out.
    #[display("carried")]
    Carried,
    /// A write is synced.
    #[display("persisted")]
    Persisted,
    /// A call of this instance's listeners.
    #[display("call")]
    Call,
    /// A worker's listing.
    #[display("listing")]
    Listing,
    /// An order's answer but for listings.
    #[display("order")]
    Order,
    /// An order without an answer.
    #[display("unanswered")]
    Unanswered,
    /// Anything else.
    #[display("other")]
    Other,
    /// What the decisions want done, of all events.
    #[display("effects")]
    Effects,
}

/// All kinds, in the order of their numbers.
const KINDS: [EventKind; 10] = [
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
            Event::Persisted { .. } => Self::Persisted,
            Event::Call { .. } => Self::Call,
            Event::Ordered { outcome, .. } => match outcome {
                OrderOutcome::Listed { .. } => Self::Listing,
                OrderOutcome::Done { .. } | OrderOutcome::Rejected { .. } => Self::Order,
                OrderOutcome::Unanswered | OrderOutcome::NotSent => Self::Unanswered,
            },
            Event::MachineOrdered { .. }
            | Event::MachinesListed { .. }
            | Event::Advised { .. }
            | Event::Found { .. }
            | Event::Stop => Self::Other,
        }
    }
}

/// What one kind took since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    events: u64,
    time: Duration,
    longest: Duration,
}

/// Adds up what the loop does, and reports it once a second.
#[derive(Debug)]
pub struct LoopMeter {
    since: Instant,
    spent: [Spent; KINDS.len()],
    waiting_most: usize,
    late_most: Duration,
    busy: Duration,
}

impl LoopMeter {
    /// A meter that begins now.
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            spent: Default::default(),
            waiting_most: 0,
            late_most: Duration::ZERO,
            busy: Duration::ZERO,
        }
    }

    /// An event of this kind took so long.
    pub fn handled(&mut self, kind: EventKind, took: Duration) {
        let spent = &mut self.spent[kind as usize];
        spent.events += 1;
        spent.time += took;
        spent.longest = spent.longest.max(took);
    }

    /// So many events wait.
    pub fn waiting(&mut self, events: usize) {
        self.waiting_most = self.waiting_most.max(events);
    }

    /// The loop came to something so long after it was due.
    pub fn late(&mut self, late: Duration) {
        self.late_most = self.late_most.max(late);
    }

    /// Reports and begins anew, if it is time. `busy` is how long the thread with the
    /// loop has worked since it began, calls and listeners included.
    pub fn report(&mut self, now: Instant, busy: Duration, leads: bool, metrics: &Metrics) {
        let passed = now.duration_since(self.since);
        if passed < REPORT {
            return;
        }
        for (kind, spent) in KINDS.iter().zip(&self.spent) {
            metrics.spent(*kind, spent.events, spent.time.as_secs_f64());
        }
        metrics.loop_late(self.waiting_most, self.late_most.as_secs_f64());
        self.log(passed, busy.saturating_sub(self.busy), leads);
        *self = Self {
            busy,
            ..Self::new(now)
        };
    }

    fn log(&self, passed: Duration, busy: Duration, leads: bool) {
        let ms = |time: Duration| (time.as_secs_f64() * 1_000.0).round() as u64;
        let of = |kind: EventKind| &self.spent[kind as usize];
        let longest = self.spent.iter().map(|spent| spent.longest).max();
        tracing::info!(
            leads,
            passed_ms = ms(passed),
            busy_ms = ms(busy),
            late_most_ms = ms(self.late_most),
            waiting_most = self.waiting_most,
            longest_ms = ms(longest.unwrap_or_default()),
            tick_ms = ms(of(EventKind::Tick).time),
            tick_longest_ms = ms(of(EventKind::Tick).longest),
            peer_ms = ms(of(EventKind::Peer).time),
            peers = of(EventKind::Peer).events,
            carried_ms = ms(of(EventKind::Carried).time),
            carried = of(EventKind::Carried).events,
            persisted_ms = ms(of(EventKind::Persisted).time),
            call_ms = ms(of(EventKind::Call).time),
            calls = of(EventKind::Call).events,
            listing_ms = ms(of(EventKind::Listing).time),
            listings = of(EventKind::Listing).events,
            order_ms = ms(of(EventKind::Order).time),
            orders = of(EventKind::Order).events,
            unanswered = of(EventKind::Unanswered).events,
            effects_ms = ms(of(EventKind::Effects).time),
            "loop: its last second"
        );
    }
}
