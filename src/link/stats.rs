use std::sync::Arc;

use prometheus::core::Collector;
use prometheus::{IntCounterVec, IntGauge, Opts};

/// Events in the life of links, counted by [`LinkStats`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LinkEvent {
    /// A link that this instance opens came up.
    #[display("up")]
    Up,
    /// A link that this instance opens ended or did not come up.
    #[display("failed")]
    Failed,
    /// An incoming link was admitted.
    #[display("admitted")]
    Admitted,
    /// An incoming link was refused because all slots are taken.
    #[display("refused")]
    Refused,
    /// An unauthenticated incoming connection was closed in favor of a newer one.
    #[display("evicted")]
    Evicted,
    /// An incoming connection failed authentication.
    #[display("unproved")]
    Unauthenticated,
    /// This instance did not open a link because all outgoing slots are taken.
    #[display("not-opened")]
    NotOpened,
    /// A frame was dropped because its queue is full or there is no link to the peer.
    #[display("frame-dropped")]
    FrameDropped,
}

/// Metrics of an instance's links.
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
        let gauge = |name, help| IntGauge::new(name, help).expect("the metric name is valid");
        Self(Arc::new(Collectors {
            events: IntCounterVec::new(events, &["event"])
                .expect("the metric name and label are valid"),
            incoming: gauge("rosemarygauge_links_incoming", "Links of proved peers"),
            outgoing: gauge("rosemarygauge_links_outgoing", "Links opened from here"),
        }))
    }
}

impl LinkStats {
    /// Counts one event.
    pub(super) fn increment(&self, event: LinkEvent) {
        let name = event.to_string();
        self.0.events.with_label_values(&[name.as_str()]).inc();
    }

    /// Returns how often an event has occurred.
    pub fn total(&self, event: LinkEvent) -> u64 {
        let name = event.to_string();
        self.0.events.with_label_values(&[name.as_str()]).get()
    }

    /// Sets the gauge of incoming links.
    pub(super) fn set_incoming(&self, links: usize) {
        self.0.incoming.set(links as i64);
    }

    /// Sets the gauge of links that this instance opened.
    pub(super) fn set_outgoing(&self, links: usize) {
        self.0.outgoing.set(links as i64);
    }

    /// Returns the collectors to register with a metrics registry.
    pub fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![
            Box::new(self.0.events.clone()),
            Box::new(self.0.incoming.clone()),
            Box::new(self.0.outgoing.clone()),
        ]
    }
}
