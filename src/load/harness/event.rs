//! Scheduled events of a simulation, and the results of attempts.

use super::super::{AttemptId, AttemptRefusal, RequestId, View};
use super::Behaviour;
use crate::model::InstanceName;

#[derive(Clone, Debug)]
pub(super) enum Event {
    Arrive(RequestId),
    Cancel(RequestId),
    AttemptEnd(Attempt),
    Report(InstanceName),
    LoadExchange,
    Wake(usize),
    Behave(InstanceName, Behaviour),
    View(Box<View>),
    Fresh(bool),
}

#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptId,
    pub(super) worker: InstanceName,
    pub(super) start_ms: u64,
    pub(super) result: AttemptResult,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptResult {
    Status(u16),
    Refused(AttemptRefusal),
    Lost,
}
