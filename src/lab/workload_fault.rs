/// What is wrong with a workload, with the remedy.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
pub enum WorkloadFault {
    /// The file cannot be read.
    #[display("workload {path}: {cause}; name a file that can be read")]
    NoFile {
        /// Where it should be.
        path: String,
        /// Why it cannot.
        cause: String,
    },
    /// It cannot be read, or names what there is not.
    #[display("workload: {cause}; mend the field, or leave it out if it has a default")]
    Unreadable {
        /// Why.
        cause: String,
    },
    /// A value is out of its range.
    #[display("workload: {field} is {value}; give {least} to {most}")]
    OutOfRange {
        /// The field.
        field: String,
        /// What it is.
        value: f64,
        /// The smallest that is taken.
        least: f64,
        /// The largest that is taken.
        most: f64,
    },
    /// A name that cannot be used.
    #[display(
        "workload: {field} is {name:?}; give 1 to 40 small letters, digits and hyphens, \
         each name once"
    )]
    BadName {
        /// The field.
        field: String,
        /// What it is.
        name: String,
    },
    /// A pool that there is not.
    #[display("workload: {field} is {pool:?}; name one of fleet.pools")]
    NoPool {
        /// The field.
        field: String,
        /// What it names.
        pool: String,
    },
    /// A task that fits on no machine.
    #[display(
        "workload: {field} asks for more than a machine has; ask for less, or raise \
         fleet.cpu_milli or fleet.memory_mb"
    )]
    TooLarge {
        /// The field.
        field: String,
    },
}
