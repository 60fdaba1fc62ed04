//! Settings of an entry instance: one JSON file, checked as a whole at start.
//!
//! [`Settings::load`] reads the file and the key files that it names, and
//! reports everything that is wrong at once, each with its field and a remedy.
//! A process with half-right settings must not start: two entry instances under
//! one name, or a voter without a disk, break promises much later and far away.

mod draft;
mod error;
mod fields;
mod keys;
mod log;
mod member;
mod secret;
mod settings;
mod whole;

pub use error::{SettingError, SettingFault};
pub use keys::{MIN_PEER_KEY_BYTES, MIN_TOKEN_BYTES};
pub use log::{LogFormat, LogSettings};
pub use member::Member;
pub use secret::Secret;
pub use settings::Settings;
