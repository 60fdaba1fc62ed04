use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::model::Class;

use super::Mix;

/// One request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Sequence number within the plan, from 0.
    pub number: u64,
    /// Due time, in microseconds after the start.
    pub due_us: u64,
    /// Service that it calls.
    pub service: String,
    /// Class of the request.
    pub class: Class,
    /// Team of the caller.
    pub team: String,
    /// Name of the caller within the team.
    pub caller: String,
    /// Request key, if it carries one.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Body, which is unique to the request.
    pub body: String,
    /// Time from sending to the caller's cancellation, in milliseconds, if it cancels.
    pub cancel_after_ms: Option<u64>,
    /// Whether it is sent twice at once, through different entry instances.
    pub twin: bool,
}

/// Iterator over the requests of an experiment, in the order of their due times.
///
/// Arrivals are a Poisson process, since evenly spaced requests never form a burst and
/// so cause no queue below saturation.
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
    /// Plans `rate_per_s` requests per second for `duration_ms`. Keys and bodies contain
    /// `label`, so that two runs of one plan don't share them.
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

    fn pick_weighted(&mut self, weights: impl Iterator<Item = u32> + Clone) -> usize {
        let sum: u32 = weights.clone().sum();
        let mut remaining = self.rng.random_range(0..sum.max(1));
        for (i, weight) in weights.enumerate() {
            if remaining < weight {
                return i;
            }
            remaining -= weight;
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
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        let unit: f64 = self.rng.random();
        self.due_us += -(1.0 - unit).ln() * 1e6 / self.rate_per_s;
        let due_us = self.due_us as u64;
        if due_us >= self.until_us || self.mix.services.is_empty() || self.mix.teams.is_empty() {
            return None;
        }
        let number = self.number;
        self.number += 1;

        let weights: Vec<u32> = self.mix.services.iter().map(|s| s.weight).collect();
        let service = self.pick_weighted(weights.into_iter());
        let service = self.mix.services[service].clone();
        let weights: Vec<u32> = self.mix.teams.iter().map(|t| t.weight).collect();
        let team = self.pick_weighted(weights.into_iter());
        let team = self.mix.teams[team].clone();
        let caller = self.rng.random_range(0..team.callers);

        let idempotent = !self.chance(self.mix.not_idempotent_percent);
        // Without a key, a patient job whose acceptance was lost could not be found
        // again.
        let keyed = !idempotent || service.class == Class::Patient;
        let cancelled = self.chance(self.mix.cancel_percent);
        let twin = self.chance(self.mix.twin_percent) && keyed && !cancelled;
        Some(PlannedRequest {
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
