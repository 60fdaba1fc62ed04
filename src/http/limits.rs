use std::time::Duration;

/// Bounds on what one listener takes in.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once; further ones are answered that there is no room.
    pub connections: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of a connection that have arrived and are not read.
    pub unread_bytes: usize,
    /// Time for a request's head to come, also on an idle connection; a
    /// connection that went silent is closed after it.
    pub head_timeout: Duration,
    /// Time for a request's body to come.
    pub body_timeout: Duration,
    /// Time for which a client may take no byte of its answer.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            unread_bytes: 32 * 1024,
            head_timeout: Duration::from_secs(15),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
        }
    }
}

impl Limits {
    /// The same for a listener whose requests have no body to speak of.
    pub fn without_bodies(self) -> Self {
        Self {
            body_bytes: crate::intake::ORDINARY_REQUEST_BYTES,
            ..self
        }
    }
}
