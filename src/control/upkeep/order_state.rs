/// State of the order to begin an upkeep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderState {
    /// Not sent, or refused.
    NotSent,
    /// Sent, and not answered yet.
    Sent,
    /// The answer was lost. The upkeep may have begun, so the machine counts as down until
    /// the outcome is known.
    Unconfirmed,
}
