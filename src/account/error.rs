use std::io;

/// Why an experiment could not be run or accounted for.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum Error {
    /// A thread could not be started.
    #[display("{_0}")]
    Io(io::Error),
    /// A stand-in did not say what it ran.
    #[display("cannot read the runs of {control}: {reason}")]
    #[from(ignore)]
    Runs {
        /// Its control address.
        control: String,
        /// What went wrong.
        reason: String,
    },
    /// An argument is wrong.
    #[display("{_0}")]
    #[from(ignore)]
    Argument(#[error(not(source))] String),
}
