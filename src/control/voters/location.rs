use serde::{Deserialize, Serialize};

use crate::model::{RegionName, ZoneName};

/// Where a control instance runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Location {
    /// Its region; `None` if the deployment names none.
    pub region: Option<RegionName>,
    /// Its availability zone.
    pub zone: ZoneName,
}
