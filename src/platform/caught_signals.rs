use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::mpsc::UnboundedSender;

use super::Settings;
use super::settings_fault::list;
use crate::control::{Signal, WallClock};

/// Planned stops and changed settings that a process was asked for; they wait until
/// its loop can take them.
#[derive(Debug)]
pub struct CaughtSignals(Signals);

impl CaughtSignals {
    /// Catches them from now on.
    ///
    /// Before anything else at a start, which takes seconds on a slow disk: uncaught,
    /// either signal ends the process without a line, and a planned stop looks like a
    /// crash. Caught ones lose nothing by waiting, as settings are read when taken.
    ///
    /// # Errors
    /// The system refuses the handlers.
    pub fn catch() -> std::io::Result<Self> {
        Signals::new([SIGTERM, SIGHUP]).map(Self)
    }

    /// Hands them to the loop, those that wait first.
    pub(super) fn pass_on(
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

/// Reads the settings again; wrong ones change nothing.
fn reload(wall: &WallClock) -> Option<Signal> {
    match Settings::load() {
        Ok(settings) => {
            tracing::info!(seeds = ?settings.seeds, "serve: the settings are read again");
            wall.set_offset_ms(settings.clock_offset_ms);
            Some(Signal::Found(settings.seed_names()))
        }
        Err(faults) => {
            tracing::error!(
                faults = list(&faults),
                "serve: the changed settings are wrong"
            );
            None
        }
    }
}
