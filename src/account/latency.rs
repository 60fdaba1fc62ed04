use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::model::Class;

use super::Answer;

/// Upper bound of the histograms: one day, which exceeds any deadline. Longer times
/// count as this value.
const MAX_LATENCY_US: u64 = 86_400_000_000;

/// Histograms of the time from a request's due time to its answer, by class and kind
/// of answer.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    histograms: BTreeMap<(Class, &'static str), Histogram<u64>>,
}

/// Quantiles of one kind of answer, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// Class of the requests.
    pub class: Class,
    /// Kind of answer.
    pub answer: &'static str,
    /// Number of answers.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl Latency {
    /// Records the latency of an answer, in microseconds. Answers that are not done,
    /// not-run, unknown or accepted are ignored.
    pub fn record(&mut self, class: Class, answer: &Answer, latency_us: u64) {
        let kind = match answer {
            Answer::Done { .. } => "done",
            Answer::NotRun { .. } => "not-run",
            Answer::Unknown => "unknown",
            Answer::Accepted { .. } => "accepted",
            _ => return,
        };
        let histogram = self.histograms.entry((class, kind)).or_insert_with(|| {
            Histogram::new_with_max(MAX_LATENCY_US, 3)
                .expect("the bounds are constant and valid: 1 µs to a day, three digits")
        });
        histogram.saturating_record(latency_us);
    }

    /// Returns the quantiles by class and kind of answer.
    pub fn quantiles(&self) -> Vec<Quantiles> {
        let quantiles =
            |((class, answer), h): (&(Class, &'static str), &Histogram<u64>)| Quantiles {
                class: *class,
                answer,
                count: h.len(),
                p50_us: h.value_at_quantile(0.5),
                p90_us: h.value_at_quantile(0.9),
                p99_us: h.value_at_quantile(0.99),
                p999_us: h.value_at_quantile(0.999),
                max_us: h.max(),
            };
        self.histograms.iter().map(quantiles).collect()
    }
}
