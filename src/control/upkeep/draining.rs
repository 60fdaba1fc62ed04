use super::order_state::OrderState;
use crate::model::InstanceName;

/// A machine that is being drained, with the state of the order to begin its upkeep.
#[derive(Debug)]
pub(super) struct Draining {
    pub(super) wave: u64,
    /// `None` for a machine that is off.
    pub(super) worker: Option<InstanceName>,
    pub(super) since_ms: u64,
    pub(super) order: OrderState,
    /// Whether any order for the machine was left unanswered: the upkeep may then have begun
    /// even if a later order is refused.
    pub(super) ever_unanswered: bool,
    /// When an order was last sent.
    pub(super) ordered_ms: u64,
    pub(super) retry_ms: u64,
}
