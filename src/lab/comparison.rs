use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::Serialize;

use super::interval::mean;
use super::{Interval, Outcome, Play, RuleBreak, Workload, paired};
use crate::control::Policy;

/// Two policies on the same seeds, measure by measure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// The seeds that were played.
    pub seeds: Vec<u64>,
    /// The measures.
    pub rows: Vec<Row>,
}

/// A measure under both policies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Its name.
    pub measure: String,
    /// The mean under the first policy.
    pub mean_a: f64,
    /// The mean under the second one.
    pub mean_b: f64,
    /// The second less the first.
    pub difference: Interval,
}

impl Comparison {
    /// Plays both policies on each seed, so many plays at a time.
    ///
    /// # Errors
    /// The seed whose play broke a promise, and which; the first of several.
    pub fn play(
        workload: &Workload,
        policies: &[Policy; 2],
        seeds: &[u64],
        jobs: usize,
    ) -> Result<Self, (u64, RuleBreak)> {
        let outcomes = play_all(workload, policies, seeds, jobs)?;
        let of = |policy: usize, place: usize| -> Vec<f64> {
            let plays = outcomes.iter().skip(policy).step_by(policies.len());
            plays.map(|outcome| outcome.measures[place].1).collect()
        };
        let names = outcomes.first().map(|o| o.measures.as_slice());
        let rows = names.unwrap_or_default().iter().enumerate();
        let rows = rows.map(|(place, (name, _))| {
            let (a, b) = (of(0, place), of(1, place));
            Row {
                measure: name.clone(),
                mean_a: mean(&a),
                mean_b: mean(&b),
                difference: paired(&a, &b),
            }
        });
        Ok(Self {
            seeds: seeds.to_vec(),
            rows: rows.collect(),
        })
    }
}

type Played = Result<Outcome, RuleBreak>;

/// The outcomes of both policies, seed by seed.
fn play_all(
    workload: &Workload,
    policies: &[Policy; 2],
    seeds: &[u64],
    jobs: usize,
) -> Result<Vec<Outcome>, (u64, RuleBreak)> {
    let plays: Vec<(u64, &Policy)> = seeds
        .iter()
        .flat_map(|seed| policies.iter().map(|policy| (*seed, policy)))
        .collect();
    let slots: Vec<Mutex<Option<Played>>> = plays.iter().map(|_| Mutex::new(None)).collect();
    let next = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, plays.len().max(1)) {
            scope.spawn(|| {
                while let Some(place) = claim(&next, plays.len()) {
                    let (seed, policy) = plays[place];
                    // Else a panic would not tell its seed. Nothing of the play is used after.
                    let play = AssertUnwindSafe(|| Play::run(workload, policy, seed));
                    let played = catch_unwind(play).unwrap_or(Err(RuleBreak::Panicked));
                    if played.is_err() {
                        // Nothing more is begun: the comparison ends with this seed.
                        next.store(plays.len(), Ordering::SeqCst);
                    }
                    if let Ok(mut slot) = slots[place].lock() {
                        *slot = Some(played);
                    }
                }
            });
        }
    });
    let played = slots
        .into_iter()
        .zip(&plays)
        .filter_map(|(slot, (seed, _))| {
            let played = slot.into_inner().ok().flatten()?;
            Some(played.map_err(|err| (*seed, err)))
        });
    played.collect()
}

/// The next play that nobody has begun.
fn claim(next: &AtomicUsize, count: usize) -> Option<usize> {
    let place = next.fetch_add(1, Ordering::SeqCst);
    (place < count).then_some(place)
}
