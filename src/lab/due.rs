use crate::jobs::TaskId;

/// What happens in an emulated fleet at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The event with this number arrives at the control instance.
    Arrives(u64),
    /// A run on the machine in this place ends, if it still goes on.
    Ends(usize, TaskId, u32),
    /// A renewal waited for an end for as long as it may.
    Waited(usize, u64),
    /// The machine in this place is back.
    Back(usize),
}
