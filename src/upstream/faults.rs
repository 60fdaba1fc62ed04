use serde::{Deserialize, Serialize};

/// What is wrong with a stand-in; may be changed while it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Starts everything and answers 500 at once.
    pub fail_everything: bool,
    /// Run times in percent of the real ones; 100 changes nothing.
    pub slow_percent: u32,
    /// Starts requests and never answers them.
    pub silent: bool,
    /// Ends answers half way.
    pub cut_short: CutShort,
    /// Sends no announcements, but goes on serving.
    pub mute: bool,
    /// Age of the usage it reports, in milliseconds.
    pub usage_lag_ms: u64,
    /// Goes on running a request whose connection is gone.
    pub orphans: bool,
    /// Is dead: port closed, connections cut, no announcements. Cleared, it
    /// comes back with a new incarnation.
    pub dead: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            fail_everything: false,
            slow_percent: 100,
            silent: false,
            cut_short: CutShort::Never,
            mute: false,
            usage_lag_ms: 0,
            orphans: false,
            dead: false,
        }
    }
}

/// How an answer is cut short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutShort {
    /// Answers are whole.
    #[default]
    Never,
    /// Half of the bytes that `content-length` announced, then a close.
    Length,
    /// One chunk and no last chunk, then a close.
    Chunked,
}
