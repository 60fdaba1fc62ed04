use serde::{Deserialize, Serialize};

use crate::control::Location;

/// What a control instance says about itself to the others, at regular intervals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Where it runs.
    pub location: Location,
    /// Number of other control instances that it hears.
    pub heard: u16,
}
