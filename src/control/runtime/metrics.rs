use prometheus::core::Collector;
use prometheus::{
    CounterVec, Gauge, Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder, exponential_buckets,
};

use crate::control::{Answer, Decision, EventKind, QuorumStatus, Refusal};

/// Buckets of the latency histogram: the smallest upper bound in seconds, the factor
/// between bounds, and their number. They range from 1 ms to 8 s.
const LATENCY_BUCKETS_S: (f64, f64, usize) = (0.001, 2.0, 14);

/// Counters and latencies of an instance, in the Prometheus text format.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
    decisions: IntCounterVec,
    latency: Histogram,
    open: IntGauge,
    loop_seconds: CounterVec,
    loop_events: IntCounterVec,
    loop_waiting: IntGauge,
    loop_late: Gauge,
    leaderless: Gauge,
    voters: IntGaugeVec,
    losses_borne: IntGaugeVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let (start, factor, count) = LATENCY_BUCKETS_S;
        let buckets = exponential_buckets(start, factor, count)
            .expect("the start is positive and the factor above 1");
        let latency = HistogramOpts::new(
            "rosemarygauge_call_seconds",
            "From a call's arrival to its answer",
        );
        let calls = Opts::new("rosemarygauge_calls_total", "Calls by their outcome");
        let decisions = Opts::new("rosemarygauge_decisions_total", "Decisions by their kind");
        let loop_seconds = Opts::new(
            "rosemarygauge_loop_seconds_total",
            "Time that the loop spent, by what it handled",
        );
        let loop_events = Opts::new(
            "rosemarygauge_loop_events_total",
            "What the loop handled, by its kind",
        );
        let voters = Opts::new(
            "rosemarygauge_voters",
            "Voters by availability zone, as far as this instance knows",
        );
        let losses_borne = Opts::new(
            "rosemarygauge_losses_borne",
            "1 if the voters survive the losses of a kind that are to be borne, else 0",
        );
        let metrics = Self {
            registry: Registry::new(),
            calls: IntCounterVec::new(calls, &["outcome"])
                .expect("the name and label are valid and the help is not empty"),
            decisions: IntCounterVec::new(decisions, &["decision"])
                .expect("the name and label are valid and the help is not empty"),
            latency: Histogram::with_opts(latency.buckets(buckets))
                .expect("the name is valid and the help is not empty"),
            open: IntGauge::new("rosemarygauge_calls_open", "Calls that wait for an answer")
                .expect("the name is valid and the help is not empty"),
            loop_seconds: CounterVec::new(loop_seconds, &["event"])
                .expect("the name and label are valid and the help is not empty"),
            loop_events: IntCounterVec::new(loop_events, &["event"])
                .expect("the name and label are valid and the help is not empty"),
            loop_waiting: IntGauge::new(
                "rosemarygauge_loop_waiting_most",
                "Events that waited at once for the loop, at most in the last second",
            )
            .expect("the name is valid and the help is not empty"),
            loop_late: Gauge::new(
                "rosemarygauge_loop_late_most_seconds",
                "How late the loop came to its time, at most in the last second",
            )
            .expect("the name is valid and the help is not empty"),
            leaderless: Gauge::new(
                "rosemarygauge_leaderless_seconds",
                "How long no leader has been known here",
            )
            .expect("the name is valid and the help is not empty"),
            voters: IntGaugeVec::new(voters, &["zone"])
                .expect("the name and label are valid and the help is not empty"),
            losses_borne: IntGaugeVec::new(losses_borne, &["kind"])
                .expect("the name and label are valid and the help is not empty"),
        };
        let registered = [
            metrics.registry.register(Box::new(metrics.calls.clone())),
            metrics
                .registry
                .register(Box::new(metrics.decisions.clone())),
            metrics.registry.register(Box::new(metrics.latency.clone())),
            metrics.registry.register(Box::new(metrics.open.clone())),
            metrics
                .registry
                .register(Box::new(metrics.loop_seconds.clone())),
            metrics
                .registry
                .register(Box::new(metrics.loop_events.clone())),
            metrics
                .registry
                .register(Box::new(metrics.loop_waiting.clone())),
            metrics
                .registry
                .register(Box::new(metrics.loop_late.clone())),
            metrics
                .registry
                .register(Box::new(metrics.leaderless.clone())),
            metrics.registry.register(Box::new(metrics.voters.clone())),
            metrics
                .registry
                .register(Box::new(metrics.losses_borne.clone())),
        ];
        for result in registered {
            result.expect("each name is registered once");
        }
        metrics
    }
}

impl Metrics {
    /// Registers further collectors.
    pub fn register(&self, collectors: Vec<Box<dyn Collector>>) {
        for collector in collectors {
            if let Err(err) = self.registry.register(collector) {
                tracing::error!(%err, "metrics: a collector cannot be registered");
            }
        }
    }

    /// Records the answer to a call and its latency in seconds.
    pub fn record_answer(&self, answer: &Answer, seconds: f64) {
        self.calls.with_label_values(&[outcome(answer)]).inc();
        self.latency.observe(seconds);
    }

    /// Counts a decision.
    pub fn count_decision(&self, decision: Decision) {
        let name = decision.to_string();
        self.decisions.with_label_values(&[name.as_str()]).inc();
    }

    /// Adds the number of events of a kind that the loop handled and the time that they
    /// took.
    pub fn record_loop_time(&self, kind: EventKind, events: u64, seconds: f64) {
        let name = kind.to_string();
        let labels = [name.as_str()];
        self.loop_events.with_label_values(&labels).inc_by(events);
        self.loop_seconds.with_label_values(&labels).inc_by(seconds);
    }

    /// Sets the longest queue of the loop and its largest delay in the last second.
    pub fn set_loop_lag(&self, waiting: usize, late_seconds: f64) {
        self.loop_waiting.set(waiting as i64);
        self.loop_late.set(late_seconds);
    }

    /// Sets the time for which there has been no leader.
    pub fn set_leaderless(&self, seconds: f64) {
        self.leaderless.set(seconds);
    }

    /// Sets where the voters are, and which losses they survive.
    pub fn set_quorum(&self, status: &QuorumStatus) {
        self.voters.reset();
        for voter in &status.voters {
            let zone = voter
                .location
                .as_ref()
                .map_or("unknown", |l| l.zone.as_str());
            self.voters.with_label_values(&[zone]).inc();
        }
        let borne = status.borne;
        for (kind, survives) in [
            ("instances", borne.instances),
            ("zones", borne.zones),
            ("regions", borne.regions),
        ] {
            let gauge = self.losses_borne.with_label_values(&[kind]);
            gauge.set(i64::from(survives));
        }
    }

    /// Returns all metrics as text. `open_calls` is the number of calls that are open now.
    pub fn text(&self, open_calls: usize) -> String {
        self.open.set(open_calls as i64);
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|err| format!("# metrics cannot be written: {err}\n"))
    }
}

/// Returns the metric label of a call's outcome. There are few distinct labels.
pub fn outcome(answer: &Answer) -> &'static str {
    match answer {
        Answer::Done => "done",
        Answer::Job(_) | Answer::Pending(_) | Answer::Configuration(_) | Answer::Wave { .. } => {
            "read"
        }
        Answer::Refused(Refusal::Wrong(_)) => "refused-wrong",
        Answer::Refused(Refusal::NoQueue) => "refused-no-queue",
        Answer::Refused(Refusal::NotKnown) => "refused-not-known",
        Answer::Refused(Refusal::NoConfiguration) => "refused-no-configuration",
        Answer::Refused(Refusal::Busy { .. }) => "refused-busy",
        Answer::Refused(Refusal::Unauthorized(_)) => "refused-unauthorized",
        Answer::Refused(Refusal::TakenId) => "refused-taken-id",
        Answer::NotLeader { .. } => "not-leader",
        Answer::LeadLost => "lead-lost",
        Answer::Unknown => "unknown",
    }
}
