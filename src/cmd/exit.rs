use std::process::ExitCode;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It did what was asked: exit code 0.
    Done,
    /// The system refused, and nothing was changed: exit code 1.
    Refused,
    /// A check or an account found faults: exit code 1.
    Faults,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Done => Self::SUCCESS,
            Exit::Refused | Exit::Faults => Self::FAILURE,
        }
    }
}
