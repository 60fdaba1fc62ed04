use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, StatusCode};

use super::callers::EventSink;
use super::reply::{Reply, json, text};
use super::waiting::Waiting;
use super::{Handler, Incoming, handler};
use crate::entry::{CallId, Event};
use crate::model::UpstreamReport;
use crate::upstream_api::AnnounceReply;

/// The upstreams' edge: announcements in, orders out.
pub struct Upstreams {
    events: EventSink,
    waiting: Waiting<AnnounceReply>,
}

impl Upstreams {
    /// An edge that hands its events to `events`.
    pub fn new(events: EventSink) -> Arc<Self> {
        Arc::new(Self {
            events,
            waiting: Waiting::default(),
        })
    }

    /// Passes the answer to an announcement on.
    pub fn answer(&self, id: CallId, reply: AnnounceReply) {
        self.waiting.answer(id.0, reply);
    }

    /// The handler for the upstreams' listener.
    pub fn handler(self: &Arc<Self>) -> Handler {
        handler(Arc::clone(self), Self::handle)
    }

    async fn handle(self: Arc<Self>, incoming: Incoming) -> Reply {
        if incoming.head.method != Method::POST || incoming.head.uri.path() != "/announce" {
            let line = "path: not served here: POST /announce\n";
            return text(StatusCode::NOT_FOUND, line);
        }
        let report = match parse_report(&incoming.body) {
            Ok(report) => report,
            Err(message) => return text(StatusCode::BAD_REQUEST, format!("{message}\n")),
        };
        let (id, answer) = self.waiting.open();
        let id = CallId(id);
        (self.events)(Event::Announced { id, report });
        match answer.await {
            Ok(reply) => json(StatusCode::OK, &serde_json::json!(reply)),
            Err(_) => text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        }
    }
}

fn parse_report(body: &[u8]) -> Result<UpstreamReport, String> {
    let report: UpstreamReport = serde_json::from_slice(body)
        .map_err(|err| format!("announcement: {err}: send the report as documented"))?;
    if report.address.parse::<SocketAddr>().is_err() {
        return Err(format!(
            "address: {:?} is not IP:port: send the address that takes requests",
            report.address
        ));
    }
    if report.capacity.slots == 0 {
        return Err("capacity.slots: 0: an upstream needs at least 1".into());
    }
    Ok(report)
}
