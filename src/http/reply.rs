use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::Full;

/// An answer that is sent whole.
pub type Reply = Response<Full<Bytes>>;

/// A JSON answer.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Reply {
    let mut text = value.to_string();
    text.push('\n');
    with_type(status, "application/json", text.into())
}

/// A plain text answer.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    with_type(status, "text/plain; charset=utf-8", text.into())
}

/// An answer of a given content type.
pub fn with_type(status: StatusCode, kind: &'static str, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    reply
}

/// Adds a header; a value that no header can carry is left out.
pub fn set(reply: &mut Reply, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        let name = HeaderName::from_static(name);
        reply.headers_mut().insert(name, value);
    }
}
