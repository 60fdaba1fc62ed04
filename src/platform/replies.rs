//! HTTP replies that the entry and the control listeners share.

use http::StatusCode;
use serde_json::{Value, json};

use crate::control::Refusal;
use crate::http::{Reply, set};

/// Returns the reply to a request whose outcome is unknown. The sender may retry it.
pub(super) fn unknown_outcome(status: StatusCode) -> Reply {
    let error = "what became of it is not known here; send it again";
    crate::http::json(status, &json!({ "error": error }))
}

/// When a caller may come again whose request found no memory.
const NO_ROOM_RETRY_MS: u64 = 1_000;

/// Returns the reply to a request for whose content there is no memory. It had no effect.
pub(super) fn no_room(path: &str) -> Reply {
    tracing::info!(path, "call: refused, there is no memory for it");
    let refusal = Refusal::Busy {
        retry_after_ms: NO_ROOM_RETRY_MS,
    };
    refused(&refusal, StatusCode::NOT_FOUND)
}

/// Returns the reply to a request that was refused and had no effect. The status
/// `not_known_status` stands for [`Refusal::NotKnown`].
pub(super) fn refused(refusal: &Refusal, not_known_status: StatusCode) -> Reply {
    let status = match refusal {
        Refusal::Wrong(_) => StatusCode::BAD_REQUEST,
        Refusal::NoQueue => StatusCode::NOT_FOUND,
        Refusal::NotKnown => not_known_status,
        Refusal::NoConfiguration => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::Busy { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::Unauthorized(_) => StatusCode::UNAUTHORIZED,
        Refusal::TakenId => StatusCode::CONFLICT,
    };
    let mut reply = crate::http::json(status, &json!({ "error": refusal.to_string() }));
    if let Refusal::Busy { retry_after_ms } = refusal {
        let seconds = retry_after_ms.div_ceil(1_000).max(1);
        set(&mut reply, "retry-after", &seconds.to_string());
    }
    if let Refusal::Unauthorized(_) = refusal {
        set(&mut reply, "www-authenticate", "Bearer");
    }
    reply
}

/// Returns a successful reply with a JSON body.
pub(super) fn success(value: &Value) -> Reply {
    crate::http::json(StatusCode::OK, value)
}
