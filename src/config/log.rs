use serde::Deserialize;

/// How the process logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Form of a line.
    pub format: LogFormat,
    /// Least level that is logged: `error`, `warn`, `info`, `debug`, `trace`.
    pub level: String,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// For programs, one object a line.
    Json,
}

/// The levels, as in the settings.
pub(super) const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
