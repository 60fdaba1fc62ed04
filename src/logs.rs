//! Logs: short sentences on standard error, each with the prefix of its part.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt;

use crate::config::{LogFormat, LogSettings};

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
