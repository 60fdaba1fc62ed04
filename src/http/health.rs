use std::sync::atomic::{AtomicU8, Ordering};

use http::StatusCode;

use super::reply::{Reply, text};
use crate::entry::Health;

/// What the balancer reads; written by the driver.
///
/// Draining answers 503, so that a balancer sends nothing new. Cut off answers
/// 200: the entry instance goes on serving what its zone can.
#[derive(Debug, Default)]
pub struct HealthBoard(AtomicU8);

const STARTING: u8 = 0;
const READY: u8 = 1;
const CUT_OFF: u8 = 2;
const DRAINING: u8 = 3;

impl HealthBoard {
    /// Shows how the entry instance is.
    pub fn show(&self, health: Health) {
        let code = match health {
            Health::Starting => STARTING,
            Health::Ready => READY,
            Health::CutOff => CUT_OFF,
            Health::Draining => DRAINING,
        };
        self.0.store(code, Ordering::Relaxed);
    }

    /// The answer to `GET /health`.
    pub(super) fn reply(&self) -> Reply {
        match self.0.load(Ordering::Relaxed) {
            STARTING => text(StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
            READY => text(StatusCode::OK, "ready\n"),
            CUT_OFF => text(StatusCode::OK, "cut-off\n"),
            _ => text(StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
        }
    }

    /// Whether connections are to be closed after their answer.
    pub(super) fn is_draining(&self) -> bool {
        self.0.load(Ordering::Relaxed) == DRAINING
    }
}
