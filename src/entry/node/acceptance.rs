//! Acceptance of patient jobs: proposed to the replicated state, which accepts or
//! refuses them.

use crate::model::{Outcome, RefusalReason, RequestKey};
use crate::state::{
    Change, Fingerprint, JobId, JobReply, MAX_JOB_PART_BYTES, NewJob, Reply, scoped_key,
};

use super::super::{Call, CallAnswer, CallId, Effect};
use super::answers::{NO_QUORUM_RETRY_MS, not_run, outcome_without_key_check};
use super::{Node, Purpose};

/// How long the acceptance of a patient job may take.
const JOB_ACCEPT_TIMEOUT_MS: u64 = 5_000;

impl Node {
    pub(super) fn accept_job(
        &mut self,
        now_ms: u64,
        id: CallId,
        call: &Call,
        out: &mut Vec<Effect>,
    ) {
        if self.is_cut_off(now_ms) {
            let outcome =
                outcome_without_key_check(call, RefusalReason::NoQuorum, NO_QUORUM_RETRY_MS);
            return self.answer_call(id, outcome, out);
        }
        let limit_bytes = MAX_JOB_PART_BYTES;
        if call.body.len() as u64 > limit_bytes {
            let reply = Reply::Job(JobReply::TooLarge { limit_bytes });
            return self.answer_acceptance(id, reply, out);
        }
        let number = self.next_request();
        let job = JobId::from(format!(
            "{}-{}-{number}",
            self.settings.me, self.settings.incarnation
        ));
        let own = call.key.as_ref().map_or(job.as_str(), RequestKey::as_str);
        let new = NewJob {
            key: scoped_key(&call.team, &call.caller, own),
            fingerprint: Fingerprint::of(&call.service, &call.team, &call.caller, &call.body),
            job,
            service: call.service.clone(),
            team: call.team.clone(),
            caller: call.caller.clone(),
            idempotent: call.idempotent,
            body: call.body.to_vec(),
        };
        let timeout_ms = call.deadline_ms.min(JOB_ACCEPT_TIMEOUT_MS);
        let purpose = Purpose::Accept(id);
        self.open_proposal(now_ms, Change::JobAccept(new), purpose, timeout_ms, out);
    }

    /// Answers a call that submitted a patient job.
    pub(super) fn answer_acceptance(&mut self, id: CallId, reply: Reply, out: &mut Vec<Effect>) {
        let outcome = match reply {
            Reply::Job(JobReply::Accepted { job }) => {
                let answer = CallAnswer::Accepted {
                    job: job.as_str().to_owned(),
                };
                return out.push(Effect::AnswerCall { id, answer });
            }
            Reply::Job(JobReply::Conflict) => not_run(RefusalReason::KeyConflict, None),
            Reply::Job(JobReply::Full) => not_run(RefusalReason::QueueFull, Some(60_000)),
            Reply::Job(JobReply::TooLarge { limit_bytes }) => {
                let message =
                    format!("body: over {limit_bytes} bytes: send a reference to it instead");
                let answer = CallAnswer::BadRequest(message);
                return out.push(Effect::AnswerCall { id, answer });
            }
            _ => Outcome::Unknown,
        };
        self.answer_call(id, outcome, out);
    }
}
