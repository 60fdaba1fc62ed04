use crate::model::InstanceName;

use super::FleetCommand;

/// What the controller wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControllerAction {
    /// Put the command in the log.
    Propose(FleetCommand),
    /// Hand the order to the upstream or to the platform; it may be lost, and
    /// comes again until it shows.
    Order {
        /// The instance.
        instance: InstanceName,
        /// The incarnation it is for; void for any later one, so that an order
        /// that arrives late does not reboot an instance twice.
        incarnation: u64,
        /// The order.
        order: PlatformOrder,
    },
}

/// What the platform does to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum PlatformOrder {
    /// Take nothing new, finish or checkpoint what runs.
    #[display("drain")]
    Drain,
    /// Restart.
    #[display("reboot")]
    Reboot,
    /// Give the name to another machine.
    #[display("replace")]
    Replace,
    /// Stop for good.
    #[display("stop")]
    Stop,
}
