/// Fault in the platform's settings. Its text includes the remedy.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum SettingsFault {
    /// The settings file cannot be read.
    #[display("settings {path}: {cause}; name a file that can be read")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Cause given by the system.
        cause: String,
    },
    /// The settings are not valid JSON.
    #[display("settings: not JSON ({cause}); fill the template in with all fields as JSON")]
    NotJson {
        /// Cause given by the JSON parser.
        cause: String,
    },
    /// A required field is missing.
    #[display("settings: {field} is missing; give {wanted}")]
    Missing {
        /// Dotted path of the field.
        field: String,
        /// Description of a valid value.
        wanted: &'static str,
    },
    /// A field has a wrong value.
    #[display("settings: {field} is {found}; give {wanted}")]
    Wrong {
        /// Dotted path of the field.
        field: String,
        /// Its value.
        found: String,
        /// Description of a valid value.
        wanted: &'static str,
    },
}

/// Returns the texts of the faults, one on each line.
pub(super) fn join_lines<T: ToString>(faults: &[T]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
