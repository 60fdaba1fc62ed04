use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::mpsc::UnboundedSender;

use super::Settings;
use super::settings_fault::join_lines;
use crate::control::{Signal, WallClock};

/// Signals for a planned stop (SIGTERM) or a reload of the settings (SIGHUP), queued until the
/// event loop takes them.
#[derive(Debug)]
pub struct CaughtSignals(Signals);

impl CaughtSignals {
    /// Installs the signal handlers.
    ///
    /// It has to be called first in the process, because the start takes seconds on a slow
    /// disk. Without a handler either signal ends the process without a log line, and a planned
    /// stop looks like a crash. Queued signals lose nothing by the delay, because the settings
    /// are read when the signal is taken.
    ///
    /// # Errors
    /// The system rejects the handlers.
    pub fn catch() -> std::io::Result<Self> {
        Signals::new([SIGTERM, SIGHUP]).map(Self)
    }

    /// Forwards the signals to the event loop, starting with those that are queued.
    pub(super) fn forward(
        self,
        signals: UnboundedSender<Signal>,
        wall: WallClock,
    ) -> std::io::Result<()> {
        let Self(mut caught) = self;
        std::thread::Builder::new()
            .name("signals".into())
            .spawn(move || {
                for signal in caught.forever() {
                    let signal = match signal {
                        SIGHUP => reload(&wall),
                        _ => Some(Signal::Stop),
                    };
                    if signal.is_some_and(|signal| signals.send(signal).is_err()) {
                        return;
                    }
                }
            })?;
        Ok(())
    }
}

/// Reloads the settings. Invalid settings change nothing.
fn reload(wall: &WallClock) -> Option<Signal> {
    match Settings::load() {
        Ok(settings) => {
            tracing::info!(seeds = ?settings.seeds, "serve: the settings are read again");
            wall.set_offset_ms(settings.clock_offset_ms);
            Some(Signal::Found(settings.seed_names()))
        }
        Err(faults) => {
            tracing::error!(
                faults = join_lines(&faults),
                "serve: the changed settings are invalid and are ignored"
            );
            None
        }
    }
}
