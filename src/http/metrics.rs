use http::StatusCode;
use prometheus::{Encoder, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder};

use super::reply::{Reply, text, with_type};
use crate::entry::EntryStatus;
use crate::model::RefusalReason;

/// The status as prometheus metrics.
///
/// Every counter comes from the node's own counts, so they are set here rather
/// than counted a second time.
pub(super) fn reply(status: &EntryStatus) -> Reply {
    match render(status) {
        Ok(body) => with_type(StatusCode::OK, "text/plain; version=0.0.4", body.into()),
        Err(err) => text(
            StatusCode::INTERNAL_SERVER_ERROR,
            format!("metrics: {err}\n"),
        ),
    }
}

fn render(status: &EntryStatus) -> prometheus::Result<Vec<u8>> {
    let registry = Registry::new();
    let page = Page {
        registry: &registry,
    };
    page.outcomes(status)?;
    page.log(status)?;
    page.pools(status)?;
    page.queues(status)?;
    let mut body = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut body)?;
    Ok(body)
}

struct Page<'a> {
    registry: &'a Registry,
}

impl Page<'_> {
    fn one(&self, name: &str, help: &str, value: u64) -> prometheus::Result<()> {
        let gauge = IntGauge::new(format!("rosemarygauge_{name}"), help)?;
        gauge.set(whole(value));
        self.registry.register(Box::new(gauge))
    }

    fn many<'v>(
        &self,
        name: &str,
        help: &str,
        label: &str,
        values: impl IntoIterator<Item = (&'v str, u64)>,
    ) -> prometheus::Result<()> {
        let opts = Opts::new(format!("rosemarygauge_{name}"), help);
        let gauges = IntGaugeVec::new(opts, &[label])?;
        for (of, value) in values {
            gauges.with_label_values(&[of]).set(whole(value));
        }
        self.registry.register(Box::new(gauges))
    }

    fn outcomes(&self, status: &EntryStatus) -> prometheus::Result<()> {
        let counts = &status.outcomes;
        self.one("done_total", "Whole answers to callers.", counts.done)?;
        self.one(
            "unknown_total",
            "Outcomes that are not known.",
            counts.unknown,
        )?;
        let reasons: Vec<(String, u64)> = RefusalReason::ALL
            .iter()
            .map(|reason| {
                let count = counts.not_run.get(reason).copied().unwrap_or(0);
                (reason.to_string(), count)
            })
            .collect();
        self.many(
            "not_run_total",
            "Requests that did not run, by reason.",
            "reason",
            reasons
                .iter()
                .map(|(reason, count)| (reason.as_str(), *count)),
        )?;
        self.many(
            "retries_total",
            "Attempts tried again, by reason.",
            "reason",
            status
                .retries
                .iter()
                .map(|(reason, count)| (reason.as_str(), *count)),
        )?;
        self.one(
            "attempts_total",
            "Attempts sent to upstreams.",
            status.attempts,
        )
    }

    fn log(&self, status: &EntryStatus) -> prometheus::Result<()> {
        let leads = status.log.leader.as_ref() == Some(&status.entry);
        self.one("leads", "1 if this entry instance leads.", leads.into())?;
        self.one("term", "Term of the replicated log.", status.log.term)?;
        self.one(
            "applied_index",
            "Highest index applied.",
            status.applied_index,
        )?;
        let help = "1 if news from the leader are recent.";
        self.one("fresh", help, status.log.fresh.into())?;
        let help = "Sum of the versions of all rows in force.";
        self.one("row_versions", help, status.row_versions)?;
        self.many(
            "peer_behind",
            "Entries of the log a peer is behind this entry instance.",
            "peer",
            status
                .peers
                .iter()
                .map(|(name, peer)| (name.as_str(), peer.behind)),
        )?;
        self.many(
            "peer_heard",
            "1 if the peer is heard.",
            "peer",
            status
                .peers
                .iter()
                .map(|(name, peer)| (name.as_str(), peer.heard.into())),
        )
    }

    fn pools(&self, status: &EntryStatus) -> prometheus::Result<()> {
        let pools = &status.pools;
        self.many(
            "pool_min_available",
            "Instances that must serve.",
            "pool",
            pools
                .iter()
                .map(|(name, pool)| (name.as_str(), pool.min_available.into())),
        )?;
        self.many(
            "pool_serving",
            "Instances that serve.",
            "pool",
            pools
                .iter()
                .map(|(name, pool)| (name.as_str(), pool.serving.into())),
        )?;
        let help = "Upstreams whose report counts now.";
        self.one("upstreams", help, status.upstreams as u64)
    }

    fn queues(&self, status: &EntryStatus) -> prometheus::Result<()> {
        self.many(
            "waiting",
            "Requests that wait, by class.",
            "class",
            status
                .waiting
                .iter()
                .map(|(class, count)| (class.as_str(), *count as u64)),
        )?;
        self.many(
            "wait_ms",
            "Longest expected wait of a new request, by class.",
            "class",
            status
                .wait_ms
                .iter()
                .map(|(class, ms)| (class.as_str(), *ms)),
        )?;
        self.one("in_flight", "Attempts in flight.", status.in_flight as u64)?;
        let help = "Requests between arrival and answer.";
        self.one("open_requests", help, status.open_requests as u64)
    }
}

fn whole(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
