use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::model::Class;

use super::Answer;

/// Longest time told apart: a day, beyond any deadline. Longer ones count as it.
const LONGEST_US: u64 = 86_400_000_000;

/// Times from the intended start to the answer, by class and kind of answer.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    kinds: BTreeMap<(Class, &'static str), Histogram<u64>>,
}

/// Quantiles of one kind of answer, in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Quantiles {
    /// The class.
    pub class: Class,
    /// The kind of answer.
    pub answer: &'static str,
    /// Answers counted.
    pub count: u64,
    /// Half took no longer.
    pub p50_us: u64,
    /// 90 % took no longer.
    pub p90_us: u64,
    /// 99 % took no longer.
    pub p99_us: u64,
    /// 99.9 % took no longer.
    pub p999_us: u64,
    /// The longest.
    pub max_us: u64,
}

impl Latency {
    /// Counts an answer.
    pub fn record(&mut self, class: Class, answer: &Answer, us: u64) {
        let kind = match answer {
            Answer::Done { .. } => "done",
            Answer::NotRun { .. } => "not-run",
            Answer::Unknown => "unknown",
            Answer::Accepted { .. } => "accepted",
            _ => return,
        };
        let histogram = self.kinds.entry((class, kind)).or_insert_with(|| {
            // Wrong bounds are the only error, and these are constant.
            Histogram::new_with_max(LONGEST_US, 3).expect("1 µs to a day, three digits")
        });
        histogram.saturating_record(us);
    }

    /// Quantiles by class and kind of answer.
    pub fn quantiles(&self) -> Vec<Quantiles> {
        let one = |((class, answer), h): (&(Class, &'static str), &Histogram<u64>)| Quantiles {
            class: *class,
            answer,
            count: h.len(),
            p50_us: h.value_at_quantile(0.5),
            p90_us: h.value_at_quantile(0.9),
            p99_us: h.value_at_quantile(0.99),
            p999_us: h.value_at_quantile(0.999),
            max_us: h.max(),
        };
        self.kinds.iter().map(one).collect()
    }
}
