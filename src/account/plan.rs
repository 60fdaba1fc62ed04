use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::model::Class;

use super::Mix;

/// One request as it is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    /// Counts the requests of the plan.
    pub number: u64,
    /// When it is due, in microseconds after the start.
    pub due_us: u64,
    /// The service.
    pub service: String,
    /// Its class.
    pub class: Class,
    /// The team.
    pub team: String,
    /// The caller within the team.
    pub caller: String,
    /// The request key.
    pub key: Option<String>,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The body, unlike that of any other request.
    pub body: String,
    /// When the caller goes away, in milliseconds after sending.
    pub cancel_after_ms: Option<u64>,
    /// It is sent twice at once, through different entry instances.
    pub twin: bool,
}

/// The requests of an experiment, in the order of their due times.
///
/// Arrivals are random and independent (exponential gaps), since evenly spaced
/// ones never meet in a burst and so show no queue below saturation.
#[derive(Clone, Debug)]
pub struct Plan {
    mix: Mix,
    rate_per_s: f64,
    until_us: u64,
    label: String,
    number: u64,
    due_us: f64,
    rng: ChaCha8Rng,
}

impl Plan {
    /// Plans `rate_per_s` requests a second for `duration_ms`. Keys and bodies
    /// carry `label`, so that two runs of one plan do not share them.
    pub fn new(mix: Mix, rate_per_s: f64, duration_ms: u64, label: &str, seed: u64) -> Self {
        Self {
            mix,
            rate_per_s,
            until_us: duration_ms * 1_000,
            label: label.to_owned(),
            number: 0,
            due_us: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn pick(&mut self, weights: impl Iterator<Item = u32> + Clone) -> usize {
        let sum: u32 = weights.clone().sum();
        let mut at = self.rng.random_range(0..sum.max(1));
        for (i, weight) in weights.enumerate() {
            if at < weight {
                return i;
            }
            at -= weight;
        }
        0
    }

    fn body(&self, number: u64) -> String {
        let mut body = format!("{{\"run\":\"{}\",\"n\":{number},\"pad\":\"", self.label);
        let pad = self.mix.body_bytes.saturating_sub(body.len() + 2);
        body.extend(std::iter::repeat_n('x', pad));
        body.push_str("\"}");
        body
    }
}

impl Iterator for Plan {
    type Item = Planned;

    fn next(&mut self) -> Option<Planned> {
        let unit: f64 = self.rng.random();
        self.due_us += -(1.0 - unit).ln() * 1e6 / self.rate_per_s;
        let due_us = self.due_us as u64;
        if due_us >= self.until_us || self.mix.services.is_empty() || self.mix.teams.is_empty() {
            return None;
        }
        let number = self.number;
        self.number += 1;

        let weights: Vec<u32> = self.mix.services.iter().map(|s| s.weight).collect();
        let service = self.pick(weights.into_iter());
        let service = self.mix.services[service].clone();
        let weights: Vec<u32> = self.mix.teams.iter().map(|t| t.weight).collect();
        let team = self.pick(weights.into_iter());
        let team = self.mix.teams[team].clone();
        let caller = self.rng.random_range(0..team.callers);

        let idempotent = !self.chance(self.mix.not_idempotent_percent);
        // A patient job without a key could not be asked for again after its
        // acceptance was lost.
        let keyed = !idempotent || service.class == Class::Patient;
        let cancelled = self.chance(self.mix.cancel_percent);
        let twin = self.chance(self.mix.twin_percent) && keyed && !cancelled;
        Some(Planned {
            number,
            due_us,
            service: service.name,
            class: service.class,
            caller: format!("{}-{caller}", team.name),
            team: team.name,
            key: keyed.then(|| format!("{}-{number}", self.label)),
            idempotent,
            body: self.body(number),
            cancel_after_ms: cancelled.then_some(self.mix.cancel_after_ms),
            twin,
        })
    }
}
