/// The losses that the control instances must survive without losing their quorum. Only one
/// of the three kinds occurs at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// Number of instances with a data folder that may be lost at once.
    pub instances: usize,
    /// Number of availability zones that may be lost at once.
    pub zones: usize,
    /// Number of regions that may be lost at once.
    pub regions: usize,
}

impl Tolerance {
    /// Returns the number of voters of which a majority is left after the loss of
    /// `instances` of them.
    pub fn voters(&self) -> usize {
        2 * self.instances + 1
    }
}
