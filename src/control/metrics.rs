use prometheus::{
    Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
    exponential_buckets,
};

use super::{Answer, Decision, Refusal};

/// The shortest latency that is told apart, in seconds, the factor from one bucket to
/// the next, and how many there are: 1 ms to 8 s.
const BUCKETS: (f64, f64, usize) = (0.001, 2.0, 14);

/// Counters and latencies of an instance, as text for whoever collects them.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
    decisions: IntCounterVec,
    latency: Histogram,
    open: IntGauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let (start, factor, count) = BUCKETS;
        let buckets = exponential_buckets(start, factor, count).expect("a rising row of buckets");
        let latency = HistogramOpts::new(
            "rosemarygauge_call_seconds",
            "From a call's arrival to its answer",
        );
        let calls = Opts::new("rosemarygauge_calls_total", "Calls by their outcome");
        let decisions = Opts::new("rosemarygauge_decisions_total", "Decisions by their kind");
        let metrics = Self {
            registry: Registry::new(),
            calls: IntCounterVec::new(calls, &["outcome"]).expect("a plain name and label"),
            decisions: IntCounterVec::new(decisions, &["decision"])
                .expect("a plain name and label"),
            latency: Histogram::with_opts(latency.buckets(buckets)).expect("a plain name"),
            open: IntGauge::new("rosemarygauge_calls_open", "Calls that wait for an answer")
                .expect("a plain name"),
        };
        let registered = [
            metrics.registry.register(Box::new(metrics.calls.clone())),
            metrics
                .registry
                .register(Box::new(metrics.decisions.clone())),
            metrics.registry.register(Box::new(metrics.latency.clone())),
            metrics.registry.register(Box::new(metrics.open.clone())),
        ];
        for result in registered {
            result.expect("names that differ");
        }
        metrics
    }
}

impl Metrics {
    /// A call was answered after this time.
    pub fn answered(&self, answer: &Answer, seconds: f64) {
        self.calls.with_label_values(&[outcome(answer)]).inc();
        self.latency.observe(seconds);
    }

    /// A decision was made.
    pub fn decided(&self, decision: Decision) {
        let name = decision.to_string();
        self.decisions.with_label_values(&[name.as_str()]).inc();
    }

    /// All of them, as text, while so many calls are open.
    pub fn text(&self, open_calls: usize) -> String {
        self.open.set(open_calls as i64);
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|err| format!("# metrics cannot be written: {err}\n"))
    }
}

/// The outcome of a call: one of few.
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
        Answer::NotLeader { .. } => "not-leader",
        Answer::Unknown => "unknown",
    }
}
