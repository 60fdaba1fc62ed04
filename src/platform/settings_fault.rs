/// What is wrong with the platform's settings, with the remedy.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum SettingsFault {
    /// The file cannot be read.
    #[display("settings {path}: {cause}; name a file that can be read")]
    Unreadable {
        /// Where it should be.
        path: String,
        /// Why it cannot.
        cause: String,
    },
    /// The file is no JSON.
    #[display("settings: not JSON ({cause}); fill the template in with all fields as JSON")]
    NotJson {
        /// Why not.
        cause: String,
    },
    /// A field that is needed is not there.
    #[display("settings: {field} is missing; give {wanted}")]
    Missing {
        /// The field.
        field: String,
        /// What it should be.
        wanted: &'static str,
    },
    /// A field holds something else.
    #[display("settings: {field} is {found}; give {wanted}")]
    Wrong {
        /// The field.
        field: String,
        /// What it holds.
        found: String,
        /// What it should be.
        wanted: &'static str,
    },
}

/// Faults of any kind, a line each.
pub(super) fn list<T: ToString>(faults: &[T]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
