/// What can go wrong on a link.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum LinkError {
    /// The socket failed.
    #[display("socket: {_0}")]
    Io(std::io::Error),
    /// The h2 connection failed.
    #[display("h2: {_0}")]
    H2(h2::Error),
    /// The peer did not prove the shared key.
    #[display("peer did not prove the shared key")]
    #[from(skip)]
    Unproved,
    /// The peer keeps no more links.
    #[display("peer has no room for another link")]
    #[from(skip)]
    Refused,
    /// A frame is larger than allowed.
    #[display("frame of {_0} bytes is over the limit")]
    #[from(skip)]
    TooLarge(#[error(not(source))] usize),
    /// A frame cannot be decoded.
    #[display("{_0}")]
    Codec(crate::codec::CodecError),
    /// The peer did not answer in time.
    #[display("peer was silent for too long")]
    #[from(skip)]
    Silent,
    /// The peer spoke another protocol.
    #[display("peer answered against the protocol")]
    #[from(skip)]
    Protocol,
    /// The stream ended.
    #[display("stream ended")]
    #[from(skip)]
    Ended,
}
