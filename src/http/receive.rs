//! Receives the body of a request within what the process may hold.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::Limits;
use super::reply::{Reply, set, text};
use crate::intake::{Hold, Shortage};

/// When a caller that found no room may come again, in seconds.
const RETRY_S: &str = "1";
/// Time for which a body waits for the memory of a client that is evicted for it.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(200);
/// Size up to which the buffer of an announced body is allocated at once. A larger one grows with
/// what arrives, so that an announcement alone takes no room.
const FIRST_BUFFER_BYTES: usize = 16 << 10;

/// Why a request's body is not received. The request has had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum BodyFault {
    /// The body is over the limit.
    #[display("too-large")]
    TooLarge,
    /// The connection failed before the end of the body.
    #[display("cut-short")]
    CutShort,
    /// The body did not arrive in time.
    #[display("late")]
    Late,
    /// Clients make the process hold as much as they may.
    #[display("no-memory")]
    NoMemory,
    /// The client stalled, and its room was needed.
    #[display("evicted")]
    Evicted,
}

impl BodyFault {
    /// Returns the answer, after which the connection is closed.
    pub fn reply(self, limits: &Limits) -> Reply {
        let limit = limits.body_bytes;
        let mut reply = match self {
            Self::TooLarge => text(
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("body: over {limit} bytes: send a smaller one\n"),
            ),
            Self::CutShort => text(StatusCode::BAD_REQUEST, "body: cut short: send it whole\n"),
            Self::Late => text(
                StatusCode::REQUEST_TIMEOUT,
                "body: did not come in time: send it again\n",
            ),
            Self::NoMemory | Self::Evicted => no_room("request"),
        };
        set(&mut reply, "connection", "close");
        reply
    }
}

/// Returns the refusal of something that was not done for lack of room.
pub(super) fn no_room(what: &str) -> Reply {
    let line = format!("no room for another {what}; nothing was done: come again\n");
    let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, line);
    set(&mut reply, "retry-after", RETRY_S);
    set(&mut reply, "connection", "close");
    reply
}

/// Receives a body, counting its buffer in `hold`.
///
/// # Errors
/// Returns why the body is not received.
pub(super) async fn receive(
    body: Incoming,
    limits: &Limits,
    hold: &mut Hold,
) -> Result<Bytes, BodyFault> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(BodyFault::TooLarge);
    }
    let client = std::sync::Arc::clone(hold.client());
    tokio::select! {
        received = timeout(limits.body_timeout, collect(body, limits, hold)) => {
            received.unwrap_or(Err(BodyFault::Late))
        }
        () = client.evicted() => Err(BodyFault::Evicted),
    }
}

/// Copies the parts of a body into one buffer. Kept one by one, each would hold on to the read
/// buffer that it came in, many times the size of a short chunk.
async fn collect(mut body: Incoming, limits: &Limits, hold: &mut Hold) -> Result<Bytes, BodyFault> {
    let announced = body.size_hint().exact().map(|bytes| bytes as usize);
    let most = announced.unwrap_or(limits.body_bytes);
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFault::CutShort)?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        let bytes = buffer.len() + part.len();
        if bytes > limits.body_bytes {
            return Err(BodyFault::TooLarge);
        }
        if bytes > buffer.capacity() {
            let doubled = (2 * buffer.capacity()).max(FIRST_BUFFER_BYTES);
            let capacity = doubled.min(most).max(bytes);
            // Both buffers exist while one is copied to the other.
            reserve(hold, buffer.capacity() + capacity).await?;
            buffer.reserve_exact(capacity - buffer.len());
            reserve(hold, buffer.capacity()).await?;
        }
        buffer.extend_from_slice(&part);
    }
    Ok(Bytes::from(buffer))
}

/// Counts a buffer of this size, evicting a stalled client if there is no room.
async fn reserve(hold: &mut Hold, bytes: usize) -> Result<(), BodyFault> {
    if hold.resize(bytes) {
        return Ok(());
    }
    let intake = std::sync::Arc::clone(hold.client().intake());
    if !intake.evict(Instant::now(), Shortage::Memory) {
        return Err(BodyFault::NoMemory);
    }
    let room = async {
        loop {
            let mut freed = std::pin::pin!(intake.freed().notified());
            freed.as_mut().enable();
            if hold.resize(bytes) {
                return;
            }
            freed.await;
        }
    };
    let room = timeout(EVICTION_TIMEOUT, room).await;
    room.map_err(|_| BodyFault::NoMemory)
}
