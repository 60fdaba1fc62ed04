use std::io;

/// Errors of running an experiment or of collecting its run records.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// A thread could not be started.
    #[display("{_0}")]
    Io(io::Error),
    /// The run records of a stand-in upstream could not be read.
    #[display("cannot read the runs of {control}: {reason}")]
    #[from(ignore)]
    Runs {
        /// Control address of the stand-in.
        control: String,
        /// Cause of the failure.
        reason: String,
    },
    /// An argument is invalid.
    #[display("{_0}")]
    #[from(ignore)]
    Argument(#[error(not(source))] String),
}
