use std::sync::Arc;

use prometheus::core::Collector;
use prometheus::{IntCounterVec, IntGauge, Opts};

/// What happens to links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LinkEvent {
    /// A link opened from here is up.
    #[display("up")]
    Up,
    /// A link opened from here ended, or did not come up.
    #[display("failed")]
    Failed,
    /// An incoming link was kept.
    #[display("admitted")]
    Admitted,
    /// An incoming link was refused, as all places are taken.
    #[display("refused")]
    Refused,
    /// An incoming connection made room for another one.
    #[display("evicted")]
    Evicted,
    /// An incoming connection did not prove whose it is.
    #[display("unproved")]
    Unproved,
    /// A link was not opened from here, as all places are taken.
    #[display("not-opened")]
    NotOpened,
    /// A frame was dropped: its queue is full, or it has no link.
    #[display("frame-dropped")]
    FrameDropped,
}

/// Counters of an instance's links.
#[derive(Clone, Debug)]
pub struct LinkStats(Arc<Collectors>);

#[derive(Debug)]
struct Collectors {
    events: IntCounterVec,
    incoming: IntGauge,
    outgoing: IntGauge,
}

impl Default for LinkStats {
    fn default() -> Self {
        let events = Opts::new("rosemarygauge_links_total", "What happened to links");
        let gauge = |name, help| IntGauge::new(name, help).expect("a plain name");
        Self(Arc::new(Collectors {
            events: IntCounterVec::new(events, &["event"]).expect("a plain name and label"),
            incoming: gauge("rosemarygauge_links_incoming", "Links of proved peers"),
            outgoing: gauge("rosemarygauge_links_outgoing", "Links opened from here"),
        }))
    }
}

impl LinkStats {
    /// Counts an event.
    pub(super) fn count(&self, event: LinkEvent) {
        let name = event.to_string();
        self.0.events.with_label_values(&[name.as_str()]).inc();
    }

    /// How often something happened.
    pub fn counted(&self, event: LinkEvent) -> u64 {
        let name = event.to_string();
        self.0.events.with_label_values(&[name.as_str()]).get()
    }

    /// How many incoming links there are.
    pub(super) fn set_incoming(&self, links: usize) {
        self.0.incoming.set(links as i64);
    }

    /// How many links are opened from here.
    pub(super) fn set_outgoing(&self, links: usize) {
        self.0.outgoing.set(links as i64);
    }

    /// What a registry takes.
    pub fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![
            Box::new(self.0.events.clone()),
            Box::new(self.0.incoming.clone()),
            Box::new(self.0.outgoing.clone()),
        ]
    }
}
