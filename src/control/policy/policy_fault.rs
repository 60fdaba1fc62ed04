/// A fault in a policy, displayed with its remedy.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
pub enum PolicyFault {
    /// The file cannot be read.
    #[display("policy {path}: {cause}; name a file that can be read")]
    NoFile {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        cause: String,
    },
    /// The text is not JSON, or has an unknown field or a value of the wrong type.
    #[display("policy: {cause}; correct the field, or leave it out for its default")]
    Unreadable {
        /// The error of the parser.
        cause: String,
    },
    /// A value is out of its range.
    #[display("policy: {field} is {value}; give {min} to {max}")]
    OutOfRange {
        /// Path of the field, such as `needs.window_ms`.
        field: &'static str,
        /// The value in the file.
        value: f64,
        /// The smallest accepted value.
        min: f64,
        /// The largest accepted value.
        max: f64,
    },
}
