/// Error on a link.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum LinkError {
    /// The socket failed.
    #[display("socket: {_0}")]
    Io(std::io::Error),
    /// The h2 connection failed.
    #[display("h2: {_0}")]
    H2(h2::Error),
    /// A MAC is wrong, or the peer's name is unknown.
    #[display("peer failed authentication; check that both sides use the same key")]
    #[from(skip)]
    Unauthenticated,
    /// The peer has no free slot for another link.
    #[display("peer has no room for another link")]
    #[from(skip)]
    Refused,
    /// A frame exceeds the size limit. Holds its size in bytes.
    #[display("frame of {_0} bytes is over the limit")]
    #[from(skip)]
    TooLarge(#[error(not(source))] usize),
    /// A frame cannot be decoded.
    #[display("{_0}")]
    Codec(crate::codec::CodecError),
    /// The peer did not respond in time.
    #[display("peer was silent for too long")]
    #[from(skip)]
    Silent,
    /// The peer violated the protocol.
    #[display("peer violated the link protocol")]
    #[from(skip)]
    Protocol,
    /// The peer ended the stream.
    #[display("stream ended")]
    #[from(skip)]
    Ended,
}
