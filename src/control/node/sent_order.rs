use crate::control::Placement;
use crate::model::InstanceName;

/// An order that awaits its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SentOrder {
    Start(Placement),
    Stop(Placement),
    Renew { worker: InstanceName, sent_ms: u64 },
    Throttle(Placement),
}

impl SentOrder {
    pub(super) fn worker(&self) -> &InstanceName {
        match self {
            Self::Start(p) | Self::Stop(p) | Self::Throttle(p) => &p.worker,
            Self::Renew { worker, .. } => worker,
        }
    }
}
