//! What both kinds of listeners share.

use http::StatusCode;
use serde_json::{Value, json};

use crate::control::Refusal;
use crate::http::{Reply, set};

/// The answer to a call whose outcome is not known: it may be sent again.
pub(super) fn unknown(status: StatusCode) -> Reply {
    let line = "what became of it is not known here; send it again";
    crate::http::json(status, &json!({ "error": line }))
}

/// The answer to a call that has no effect.
pub(super) fn refused(refusal: &Refusal, not_known: StatusCode) -> Reply {
    let status = match refusal {
        Refusal::Wrong(_) => StatusCode::BAD_REQUEST,
        Refusal::NoQueue => StatusCode::NOT_FOUND,
        Refusal::NotKnown => not_known,
        Refusal::NoConfiguration => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::Busy { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut reply = crate::http::json(status, &json!({ "error": refusal.to_string() }));
    if let Refusal::Busy { retry_after_ms } = refusal {
        let seconds = retry_after_ms.div_ceil(1_000).max(1);
        set(&mut reply, "retry-after", &seconds.to_string());
    }
    reply
}

/// A plain success.
pub(super) fn done(value: &Value) -> Reply {
    crate::http::json(StatusCode::OK, value)
}
