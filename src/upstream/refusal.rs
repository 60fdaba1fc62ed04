/// Why a stand-in did not start a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Refusal {
    /// All slots are taken.
    #[display("busy")]
    Busy,
    /// It drains or leaves.
    #[display("leaving")]
    Leaving,
    /// The dispatch was made for another incarnation, pool or pool epoch.
    #[display("stale-epoch")]
    StaleEpoch,
}
