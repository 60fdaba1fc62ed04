use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use crate::model::Class;
use crate::upstream::{RunEnd, RunRecord};

use super::{Answer, Ledger, SentRequest};

/// Result of comparing the answers that callers got with the runs on record.
///
/// Each request counts once in `sent` and, by its caller's final answer, once in one
/// of `done`, `not_run`, `unknown`, `cancelled` and `lost`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Account {
    /// Requests sent, each counted once.
    pub sent: u64,
    /// Requests that an upstream ran and answered.
    pub done: u64,
    /// Requests counted in `done` whose status is 400 or above.
    pub done_failed: u64,
    /// Requests refused without being run.
    pub not_run: u64,
    /// Requests refused, by reason.
    pub not_run_by_reason: BTreeMap<String, u64>,
    /// Requests whose outcome is unknown: they may or may not have run.
    pub unknown: u64,
    /// Requests cancelled by the caller.
    pub cancelled: u64,
    /// Patient jobs accepted, regardless of their outcome.
    pub accepted: u64,
    /// Attempts sent again after a lost answer.
    pub resent: u64,
    /// Calls that ended before a complete answer.
    pub cut_off: u64,
    /// Calls for which no entry instance accepted a connection.
    pub no_entry: u64,
    /// Answers that don't follow the protocol.
    pub malformed: u64,
    /// Connections refused by an entry instance, after each of which the next instance
    /// was tried.
    pub refused_connections: u64,
    /// Refusals without a `Retry-After` header.
    pub no_come_back: u64,
    /// Runs in the upstreams' records.
    pub runs: u64,
    /// Violation: no final answer, or a patient job accepted but not finished.
    pub lost: u64,
    /// Violation: a request that may run at most once ran again.
    pub doubled: u64,
    /// Violation: the answer belongs to another request.
    pub mixed_up: u64,
    /// Violation: answered as done, but the body is not a complete proof.
    pub not_whole: u64,
    /// Violation: answered as not run, but the request ran.
    pub not_run_but_ran: u64,
    /// Violation: answered as done, but no run is on record.
    pub done_without_run: u64,
    /// Whether the answers were compared with the upstreams' records.
    pub checked: bool,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
}

/// Violations that are described; the others are only counted.
const MAX_EXAMPLES: usize = 20;

impl Account {
    /// Builds the account of a ledger. Without `runs` only the callers' answers are
    /// checked.
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
        for (number, sent) in ledger.requests() {
            account.count(sent);
            account.check_answers(*number, sent);
            if account.checked {
                let ran = by_body.get(sent.body_sha256.as_str());
                account.check_runs(*number, sent, ran.map_or(&[], Vec::as_slice));
            }
        }
        account
    }

    /// Returns whether there is no violation.
    pub fn is_clean(&self) -> bool {
        self.lost
            + self.doubled
            + self.mixed_up
            + self.not_whole
            + self.not_run_but_ran
            + self.done_without_run
            == 0
    }

    fn count(&mut self, sent: &SentRequest) {
        self.sent += 1;
        self.resent += u64::from(sent.resent);
        self.accepted += u64::from(sent.has(|a| matches!(a, Answer::Accepted { .. })));
        for answer in &sent.answers {
            match answer {
                Answer::CutOff => self.cut_off += 1,
                Answer::NoEntry => self.no_entry += 1,
                Answer::Malformed { .. } => self.malformed += 1,
                Answer::NotRun {
                    has_retry_after, ..
                } => self.no_come_back += u64::from(!has_retry_after),
                _ => {}
            }
        }
        match sent.final_answer() {
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

    fn check_answers(&mut self, number: u64, sent: &SentRequest) {
        if !sent.is_settled() {
            self.lost += 1;
            self.add_example(number, || {
                format!("lost, got only the answers {:?}", sent.answers)
            });
        }
        for answer in &sent.answers {
            match answer {
                Answer::Done { proof: None, .. } => {
                    self.not_whole += 1;
                    self.add_example(number, || {
                        "answered as done without a complete proof".to_owned()
                    });
                }
                Answer::Done {
                    proof: Some(proof), ..
                } if proof.echo != sent.body_sha256 => {
                    self.mixed_up += 1;
                    self.add_example(number, || {
                        format!("got the answer of run {} on {}", proof.run, proof.instance)
                    });
                }
                _ => {}
            }
        }
    }

    fn check_runs(&mut self, number: u64, sent: &SentRequest, runs: &[&RunRecord]) {
        if sent.has_forbidden_rerun(runs) {
            self.doubled += 1;
            self.add_example(number, || {
                format!("ran more than once: {}", describe_runs(runs))
            });
        }
        if sent.was_answered_not_run() && !runs.is_empty() {
            self.not_run_but_ran += 1;
            self.add_example(number, || {
                format!("answered as not-run, but ran: {}", describe_runs(runs))
            });
        }
        let done = sent.has(|a| matches!(a, Answer::Done { .. }));
        let ended = |run: &&RunRecord| matches!(run.end, RunEnd::Finished | RunEnd::Failed);
        if done && !runs.iter().any(ended) {
            self.done_without_run += 1;
            self.add_example(number, || "answered as done, but no run ended".to_owned());
        }
    }

    fn add_example(&mut self, number: u64, text: impl FnOnce() -> String) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(format!("request {number}: {}", text()));
        }
    }
}

impl SentRequest {
    fn has(&self, pred: impl Fn(&Answer) -> bool) -> bool {
        self.answers.iter().any(pred)
    }

    /// Returns the most informative final answer. `Done` takes precedence, since a
    /// caller that resends a key may be refused once and get the stored answer later.
    fn final_answer(&self) -> Option<&Answer> {
        let done = |a: &&Answer| matches!(a, Answer::Done { .. });
        self.answers
            .iter()
            .find(done)
            .or_else(|| self.answers.iter().rev().find(|a| a.is_final()))
    }

    /// Returns whether a request that may run at most once ran again. An urgent request
    /// may start once. A patient job may start again under a new fencing token, since
    /// only the newest one can finish it.
    fn has_forbidden_rerun(&self, runs: &[&RunRecord]) -> bool {
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

    /// Returns whether a `not-run` answer covers all attempts. An idempotent request
    /// that is sent again after a lost answer may be refused the second time although
    /// the first attempt ran. For a request that may run at most once, `not-run` covers
    /// all attempts with its key.
    fn was_answered_not_run(&self) -> bool {
        self.has(|a| matches!(a, Answer::NotRun { .. })) && (!self.idempotent || self.attempts == 1)
    }
}

fn describe_runs(runs: &[&RunRecord]) -> String {
    let describe = |run: &&RunRecord| {
        let (instance, run_id, request) = (&run.instance, run.run, &run.request);
        let (attempt, started) = (run.attempt, run.started_ms);
        format!("{instance} run {run_id} (request {request} attempt {attempt} at {started})")
    };
    runs.iter().map(describe).collect::<Vec<_>>().join(", ")
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
