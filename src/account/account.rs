use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use crate::model::Class;
use crate::upstream::{RunEnd, RunRecord};

use super::{Answer, Ledger, Sent};

/// The closing account: what callers were told against what was run.
///
/// Each request counts once in `sent` and, by what its caller knows at last,
/// once in one of `done`, `not_run`, `unknown`, `cancelled` and `lost`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Account {
    /// Requests.
    pub sent: u64,
    /// Answered whole.
    pub done: u64,
    /// Of these, answered by an upstream with a status from 400.
    pub done_failed: u64,
    /// Refused.
    pub not_run: u64,
    /// Refused, by reason.
    pub not_run_by_reason: BTreeMap<String, u64>,
    /// May or may not have run.
    pub unknown: u64,
    /// Given up by the caller.
    pub cancelled: u64,
    /// Patient jobs accepted, whatever became of them.
    pub accepted: u64,
    /// Sent again after a lost answer.
    pub resent: u64,
    /// Calls that ended before a whole answer.
    pub cut_off: u64,
    /// Calls that no entry instance took.
    pub no_entry: u64,
    /// Answers outside the protocol.
    pub malformed: u64,
    /// Connections that one entry instance refused and the next one took.
    pub refused_connections: u64,
    /// Refusals that do not say when to come back.
    pub no_come_back: u64,
    /// Starts on record.
    pub runs: u64,
    /// Violation: no final answer, or a patient job accepted and not finished.
    pub lost: u64,
    /// Violation: ran again although it may run once.
    pub doubled: u64,
    /// Violation: answer to another request.
    pub mixed_up: u64,
    /// Violation: done, but the body is no whole answer.
    pub not_whole: u64,
    /// Violation: the caller was told that it did not run, and it ran.
    pub not_run_but_ran: u64,
    /// Violation: done, but no run is on record.
    pub done_without_run: u64,
    /// Whether the stand-ins' records were compared.
    pub checked: bool,
    /// The first violations, in words.
    pub examples: Vec<String>,
}

/// Violations told in words; the rest are only counted.
const EXAMPLES: usize = 20;

impl Account {
    /// Draws the account. Without runs only what callers saw is checked.
    pub fn draw(ledger: &Ledger, runs: Option<&[RunRecord]>) -> Self {
        let mut by_body: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
        for run in runs.unwrap_or_default() {
            by_body.entry(&run.body_sha256).or_default().push(run);
        }
        let mut account = Self {
            checked: runs.is_some(),
            runs: runs.map_or(0, |runs| runs.len() as u64),
            refused_connections: ledger.refused_connections(),
            ..Self::default()
        };
        for (number, sent) in ledger.sent() {
            account.count(sent);
            account.check_answers(*number, sent);
            if account.checked {
                let ran = by_body.get(sent.body_sha256.as_str());
                account.check_runs(*number, sent, ran.map_or(&[], Vec::as_slice));
            }
        }
        account
    }

    /// Whether nothing was lost, doubled, mixed up or told wrongly.
    pub fn is_clean(&self) -> bool {
        self.lost
            + self.doubled
            + self.mixed_up
            + self.not_whole
            + self.not_run_but_ran
            + self.done_without_run
            == 0
    }

    fn count(&mut self, sent: &Sent) {
        self.sent += 1;
        self.resent += u64::from(sent.resent);
        self.accepted += u64::from(sent.has(|a| matches!(a, Answer::Accepted { .. })));
        for answer in &sent.answers {
            match answer {
                Answer::CutOff => self.cut_off += 1,
                Answer::NoEntry => self.no_entry += 1,
                Answer::Malformed { .. } => self.malformed += 1,
                Answer::NotRun { come_back, .. } => self.no_come_back += u64::from(!come_back),
                _ => {}
            }
        }
        match sent.last_word() {
            Some(Answer::Done { status, .. }) => {
                self.done += 1;
                self.done_failed += u64::from(*status >= 400);
            }
            Some(Answer::NotRun { reason, .. }) => {
                self.not_run += 1;
                *self.not_run_by_reason.entry(reason.clone()).or_default() += 1;
            }
            Some(Answer::Unknown) => self.unknown += 1,
            Some(Answer::Cancelled) => self.cancelled += 1,
            _ => {}
        }
    }

    fn check_answers(&mut self, number: u64, sent: &Sent) {
        if !sent.is_settled() {
            self.lost += 1;
            self.example(number, || format!("lost, told only {:?}", sent.answers));
        }
        for answer in &sent.answers {
            match answer {
                Answer::Done { proof: None, .. } => {
                    self.not_whole += 1;
                    self.example(number, || "done without a whole answer".to_owned());
                }
                Answer::Done {
                    proof: Some(proof), ..
                } if proof.echo != sent.body_sha256 => {
                    self.mixed_up += 1;
                    self.example(number, || {
                        format!("got run {} of {}", proof.run, proof.instance)
                    });
                }
                _ => {}
            }
        }
    }

    fn check_runs(&mut self, number: u64, sent: &Sent, runs: &[&RunRecord]) {
        if sent.ran_too_often(runs) {
            self.doubled += 1;
            self.example(number, || format!("doubled: {}", places(runs)));
        }
        if sent.was_told_not_run() && !runs.is_empty() {
            self.not_run_but_ran += 1;
            self.example(number, || format!("told not-run, ran: {}", places(runs)));
        }
        let done = sent.has(|a| matches!(a, Answer::Done { .. }));
        let ended = |run: &&RunRecord| matches!(run.end, RunEnd::Finished | RunEnd::Failed);
        if done && !runs.iter().any(ended) {
            self.done_without_run += 1;
            self.example(number, || "done, but no run ended".to_owned());
        }
    }

    fn example(&mut self, number: u64, text: impl FnOnce() -> String) {
        if self.examples.len() < EXAMPLES {
            self.examples.push(format!("request {number}: {}", text()));
        }
    }
}

impl Sent {
    fn has(&self, pred: impl Fn(&Answer) -> bool) -> bool {
        self.answers.iter().any(pred)
    }

    /// The final answer that tells most: a caller that resends a key may be
    /// refused once and be given the stored answer later.
    fn last_word(&self) -> Option<&Answer> {
        let done = |a: &&Answer| matches!(a, Answer::Done { .. });
        self.answers
            .iter()
            .find(done)
            .or_else(|| self.answers.iter().rev().find(|a| a.is_final()))
    }

    /// An urgent request may start once. A patient job may start again under a
    /// new fencing number, since only the newest can finish it.
    fn ran_too_often(&self, runs: &[&RunRecord]) -> bool {
        if self.idempotent {
            return false;
        }
        match self.class {
            Class::Urgent => runs.len() > 1,
            Class::Patient => {
                let fences: BTreeSet<_> = runs.iter().map(|run| run.fence).collect();
                fences.len() < runs.len()
            }
        }
    }

    /// Whether `not-run` speaks for all that was sent. An idempotent request
    /// sent again after a lost answer may be refused the second time although
    /// it ran the first; under a key that may run once it may not.
    fn was_told_not_run(&self) -> bool {
        self.has(|a| matches!(a, Answer::NotRun { .. })) && (!self.idempotent || self.tries == 1)
    }
}

fn places(runs: &[&RunRecord]) -> String {
    let place = |run: &&RunRecord| {
        let (instance, run_id, request) = (&run.instance, run.run, &run.request);
        let (attempt, started) = (run.attempt, run.started_ms);
        format!("{instance} run {run_id} (request {request} attempt {attempt} at {started})")
    };
    runs.iter().map(place).collect::<Vec<_>>().join(", ")
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "sent            {:>9}", self.sent)?;
        writeln!(
            f,
            "  done          {:>9}  ({} failed)",
            self.done, self.done_failed
        )?;
        writeln!(f, "  not run       {:>9}", self.not_run)?;
        for (reason, count) in &self.not_run_by_reason {
            writeln!(f, "    {reason:<14}{count:>7}")?;
        }
        writeln!(f, "  unknown       {:>9}", self.unknown)?;
        writeln!(f, "  cancelled     {:>9}", self.cancelled)?;
        writeln!(f, "  lost          {:>9}", self.lost)?;
        writeln!(f, "accepted        {:>9}", self.accepted)?;
        writeln!(f, "resent          {:>9}", self.resent)?;
        writeln!(f, "cut off         {:>9}", self.cut_off)?;
        writeln!(f, "no entry        {:>9}", self.no_entry)?;
        writeln!(f, "malformed       {:>9}", self.malformed)?;
        writeln!(f, "next entry tried{:>9}", self.refused_connections)?;
        writeln!(f, "runs            {:>9}", self.runs)?;
        writeln!(f, "doubled         {:>9}", self.doubled)?;
        writeln!(f, "mixed up        {:>9}", self.mixed_up)?;
        writeln!(f, "not whole       {:>9}", self.not_whole)?;
        writeln!(f, "not run but ran {:>9}", self.not_run_but_ran)?;
        writeln!(f, "done without run{:>9}", self.done_without_run)?;
        if !self.checked {
            writeln!(f, "(not compared with what the upstreams ran)")?;
        }
        for example in &self.examples {
            writeln!(f, "! {example}")?;
        }
        Ok(())
    }
}
