use std::io;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::thread;
use std::time::Duration;

use ureq::Agent;

use super::member::Member;
use crate::unix_time::unix_ms;
use crate::upstream_api::AnnounceReply;

/// Refresh until an entry instance has said otherwise, in milliseconds.
const FIRST_REFRESH_MS: u64 = 1_000;

/// Longest wait for the answer to one announcement: shorter than any lease, so
/// that a silent connection is given up before the lease runs out.
const ANNOUNCE_TIMEOUT_MS: u64 = 1_000;

/// Enough for one blocking HTTP call; fifty instances times three entry
/// instances make 150 of these threads.
const STACK_BYTES: usize = 256 * 1024;

/// Announces one instance to one entry instance until its channel closes.
///
/// Each pair has a thread of its own, so that a silent entry instance delays
/// the announcements to no other.
pub(super) fn start(member: &Arc<Member>, entry: String) -> io::Result<()> {
    let (tx, rx) = mpsc::channel();
    member.add_announcer(tx);
    let member = Arc::clone(member);
    thread::Builder::new()
        .name("announcer".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || announce_loop(&member, &entry, &rx))?;
    Ok(())
}

fn announce_loop(member: &Member, entry: &str, rx: &Receiver<()>) {
    let agent = agent();
    let mut refresh_ms = FIRST_REFRESH_MS;
    loop {
        if let Some(reply) = announce(&agent, member, entry) {
            refresh_ms = reply.refresh_ms.max(1);
            member.worker().hear(unix_ms(), entry, &reply);
            member.changed.notify_one();
        }
        match rx.recv_timeout(Duration::from_millis(refresh_ms)) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn announce(agent: &Agent, member: &Member, entry: &str) -> Option<AnnounceReply> {
    let report = member.worker().report(unix_ms())?;
    let sent = agent
        .post(format!("http://{entry}/announce"))
        .send_json(&report);
    match sent {
        Ok(mut reply) if reply.status().is_success() => reply.body_mut().read_json().ok(),
        Ok(reply) => {
            tracing::warn!(
                "upstream: {entry} refused the announcement: {}",
                reply.status()
            );
            None
        }
        Err(e) => {
            tracing::debug!("upstream: cannot announce to {entry}: {e}");
            None
        }
    }
}

fn agent() -> Agent {
    Agent::config_builder()
        .max_redirects(0)
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(Duration::from_millis(ANNOUNCE_TIMEOUT_MS)))
        .build()
        .new_agent()
}
