use std::io;

/// Why a stand-in could not be started.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// A socket, thread or file could not be had.
    #[display("{_0}")]
    Io(io::Error),
    /// The file of instances is wrong.
    #[display("instances file: {_0}")]
    Csv(csv::Error),
    /// An argument is wrong.
    #[display("{_0}")]
    #[from(ignore)]
    Argument(#[error(not(source))] String),
}
