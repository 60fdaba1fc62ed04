//! Logs: short sentences on standard error, each with the prefix of its part.

use serde::Deserialize;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt;

/// How logs are written.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// For people or for programs.
    pub format: LogFormat,
    /// `error`, `warn`, `info`, `debug` or `trace`; or by part, as
    /// `info,rosemarygauge::link=debug`.
    pub level: String,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// A line of text.
    Text,
    /// A line of JSON.
    Json,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".into(),
        }
    }
}

/// Starts logging; a second call changes nothing.
pub fn start(settings: &LogSettings) {
    let filter = EnvFilter::try_new(&settings.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false);
    // An error means that logging was started before, as in a test.
    let _ = match settings.format {
        LogFormat::Text => lines.try_init(),
        LogFormat::Json => lines.json().try_init(),
    };
}
