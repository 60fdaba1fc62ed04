use crate::jobs::TaskId;

/// A promise that was broken in a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum RuleBreak {
    /// Nobody handed it in.
    #[display("task {task} starts, but nobody handed it in")]
    Unknown {
        /// The task.
        task: TaskId,
    },
    /// A task runs in two places at once.
    #[display("task {task} starts at {now_ms} ms while it runs elsewhere")]
    Twice {
        /// The task.
        task: TaskId,
        /// When.
        now_ms: u64,
    },
    /// A task starts although its work is done.
    #[display("task {task} starts at {now_ms} ms although it is done")]
    AfterDone {
        /// The task.
        task: TaskId,
        /// When.
        now_ms: u64,
    },
    /// A task starts before a step that it comes after.
    #[display("task {task} starts at {now_ms} ms before step {before} is done")]
    Order {
        /// The task.
        task: TaskId,
        /// The step that is not done.
        before: u16,
        /// When.
        now_ms: u64,
    },
    /// A worker has more to do than it has room for.
    #[display("task {task} starts at {now_ms} ms on a worker without room for it")]
    Capacity {
        /// The task.
        task: TaskId,
        /// When.
        now_ms: u64,
    },
    /// The decisions panicked; where and why was printed then.
    #[display("a decision panicked: see above")]
    Panicked,
    /// Nobody leads, or nothing is in force, in a time that is ample.
    #[display("no leader took the configuration within {within_ms} ms")]
    NoLeader {
        /// The time.
        within_ms: u64,
    },
}
