use crate::model::InstanceName;

use super::FleetCommand;

/// An action requested by the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControllerAction {
    /// Propose the command to the replicated log.
    Propose(FleetCommand),
    /// Send the order to the upstream or to the platform. Orders may be lost; they
    /// are repeated until they take effect.
    Order {
        /// The instance.
        instance: InstanceName,
        /// The incarnation it is for. It is void for any later one, so that a late
        /// order does not reboot an instance twice.
        incarnation: u64,
        /// The order.
        order: PlatformOrder,
    },
}

/// An order for one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum PlatformOrder {
    /// Accept no new requests; finish or checkpoint the running ones.
    #[display("drain")]
    Drain,
    /// Restart.
    #[display("reboot")]
    Reboot,
    /// Replace the machine by another one with the same name.
    #[display("replace")]
    Replace,
    /// Stop permanently.
    #[display("stop")]
    Stop,
}
