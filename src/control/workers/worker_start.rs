/// What the start time in a message of a worker says about its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerStart {
    /// The message is from the process that is known, or does not say.
    Known,
    /// It is from an earlier process, which has ended.
    Earlier,
    /// The worker has started again.
    Later,
}
