/// A fault in a configuration, displayed with its remedy.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ConfigurationFault {
    /// The document cannot be decoded.
    #[display("it cannot be read in full ({cause}): send it whole")]
    Unreadable {
        /// The decoding error.
        cause: String,
    },
    /// A queue names a pool that is not listed.
    #[display("queue {queue} names the pool {pool}, which is not listed: add it")]
    UnknownPool {
        /// The queue.
        queue: String,
        /// The pool that it names.
        pool: String,
    },
    /// Two queues have the same host and path prefix.
    #[display("queues {first} and {second} share host and prefix: change one")]
    SamePlace {
        /// Name of the first queue.
        first: String,
        /// Name of the second queue.
        second: String,
    },
    /// A queue has a timeout of 0.
    #[display("queue {queue} has a timeout of 0: give it at least 1 ms")]
    NoTimeout {
        /// The queue.
        queue: String,
    },
    /// A workspace has no name.
    #[display("a workspace has no name: give it one")]
    NamelessWorkspace,
    /// Two workspaces have the same name.
    #[display("two workspaces are named {workspace}: rename one")]
    SameWorkspace {
        /// Their name.
        workspace: String,
    },
    /// Two workspaces list the same key.
    #[display("workspaces {first} and {second} share a key: give each its own")]
    SharedKey {
        /// Name of the first workspace.
        first: String,
        /// Name of the second workspace.
        second: String,
    },
    /// A workspace lists a key twice.
    #[display("workspace {workspace} lists a key twice: list it once")]
    RepeatedKey {
        /// The workspace.
        workspace: String,
    },
    /// A weight, priority or limit of a workspace is below 0 or too large.
    #[display("workspace {workspace} has a {field} that is negative or too large: give 0 or more")]
    NegativeLimit {
        /// The workspace.
        workspace: String,
        /// The field.
        field: &'static str,
    },
    /// Workspaces are in force and the configuration names none, not even an empty list.
    #[display("workspaces are in force and it has no list of them: add the list")]
    NoWorkspaces,
    /// The configuration is larger than [`CONFIGURATION_LIMIT_BYTES`](super::CONFIGURATION_LIMIT_BYTES).
    #[display(
        "it takes {size_bytes} bytes as it is kept, {limit_bytes} are the most: \
         drop queues that nobody uses, or shorten names"
    )]
    TooLarge {
        /// Its encoded size.
        size_bytes: usize,
        /// The largest encoded size.
        limit_bytes: usize,
    },
}
