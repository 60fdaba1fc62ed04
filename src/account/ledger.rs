use std::collections::BTreeMap;

use crate::model::Class;

use super::{Answer, Planned};

/// What callers sent and were told.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    sent: BTreeMap<u64, Sent>,
    refused_connections: u64,
}

/// One request and all that came of it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its class.
    pub class: Class,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// SHA-256 of its body, in hexadecimal.
    pub body_sha256: String,
    /// Times it was sent.
    pub tries: u32,
    /// Times it was sent because an answer was lost.
    pub resent: u32,
    /// What its calls brought, in order of arrival.
    pub answers: Vec<Answer>,
}

impl Sent {
    /// A request that has not been sent yet.
    pub fn new(planned: &Planned, body_sha256: String) -> Self {
        Self {
            class: planned.class,
            idempotent: planned.idempotent,
            body_sha256,
            tries: 0,
            resent: 0,
            answers: Vec::new(),
        }
    }

    /// Whether the caller knows what became of it.
    pub fn is_settled(&self) -> bool {
        self.answers.iter().any(Answer::is_final)
    }
}

impl Ledger {
    /// Opens a request.
    pub fn open(&mut self, number: u64, sent: Sent) {
        self.sent.insert(number, sent);
    }

    /// Notes that it is sent, `again` if for a lost answer.
    pub fn send(&mut self, number: u64, again: bool) {
        if let Some(sent) = self.sent.get_mut(&number) {
            sent.tries += 1;
            sent.resent += u32::from(again);
        }
    }

    /// Notes what a call brought.
    pub fn answer(&mut self, number: u64, answer: Answer) {
        if let Some(sent) = self.sent.get_mut(&number) {
            sent.answers.push(answer);
        }
    }

    /// Notes entry instances that did not take a connection.
    pub fn refuse_connections(&mut self, count: u64) {
        self.refused_connections += count;
    }

    /// Patient jobs that were accepted and whose end is not known.
    pub fn open_jobs(&self) -> usize {
        let accepted = |a: &Answer| matches!(a, Answer::Accepted { .. });
        self.sent
            .values()
            .filter(|sent| !sent.is_settled() && sent.answers.iter().any(accepted))
            .count()
    }

    /// Requests by number.
    pub fn sent(&self) -> &BTreeMap<u64, Sent> {
        &self.sent
    }

    /// Connections that an entry instance did not take, so that the next one
    /// was tried.
    pub fn refused_connections(&self) -> u64 {
        self.refused_connections
    }
}
