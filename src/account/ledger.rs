use std::collections::BTreeMap;

use crate::model::Class;

use super::{Answer, PlannedRequest};

/// Record of the requests that callers sent and the answers that they got.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    requests: BTreeMap<u64, SentRequest>,
    refused_connections: u64,
}

/// One request with its attempts and answers.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Class of the request.
    pub class: Class,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// SHA-256 of the body, in hexadecimal.
    pub body_sha256: String,
    /// Number of times it was sent.
    pub attempts: u32,
    /// Number of times it was sent again because an answer was lost.
    pub resent: u32,
    /// Results of its calls, in order of arrival.
    pub answers: Vec<Answer>,
}

impl SentRequest {
    /// Returns the record of a request that has not been sent yet.
    pub fn new(planned: &PlannedRequest, body_sha256: String) -> Self {
        Self {
            class: planned.class,
            idempotent: planned.idempotent,
            body_sha256,
            attempts: 0,
            resent: 0,
            answers: Vec::new(),
        }
    }

    /// Returns whether the caller got a final answer.
    pub fn is_settled(&self) -> bool {
        self.answers.iter().any(Answer::is_final)
    }
}

impl Ledger {
    /// Adds a request before its first attempt.
    pub fn add_request(&mut self, number: u64, sent: SentRequest) {
        self.requests.insert(number, sent);
    }

    /// Counts an attempt; `is_resend` says whether it follows a lost answer.
    pub fn record_attempt(&mut self, number: u64, is_resend: bool) {
        if let Some(sent) = self.requests.get_mut(&number) {
            sent.attempts += 1;
            sent.resent += u32::from(is_resend);
        }
    }

    /// Records the result of a call.
    pub fn record_answer(&mut self, number: u64, answer: Answer) {
        if let Some(sent) = self.requests.get_mut(&number) {
            sent.answers.push(answer);
        }
    }

    /// Counts connections that entry instances refused.
    pub fn record_refused_connections(&mut self, count: u64) {
        self.refused_connections += count;
    }

    /// Returns the number of patient jobs that were accepted and have no final answer.
    pub fn unfinished_jobs(&self) -> usize {
        let accepted = |a: &Answer| matches!(a, Answer::Accepted { .. });
        self.requests
            .values()
            .filter(|sent| !sent.is_settled() && sent.answers.iter().any(accepted))
            .count()
    }

    /// Returns the requests by number.
    pub fn requests(&self) -> &BTreeMap<u64, SentRequest> {
        &self.requests
    }

    /// Returns the number of connections that an entry instance refused, so that the
    /// next one was tried.
    pub fn refused_connections(&self) -> u64 {
        self.refused_connections
    }
}
