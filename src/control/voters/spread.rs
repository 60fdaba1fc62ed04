use std::collections::BTreeMap;

use super::{Location, Tolerance};
use crate::model::{RegionName, ZoneName};

/// Number of voters in each availability zone and region.
///
/// An instance that has not said where it runs counts as a zone and a region of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    zones: BTreeMap<ZoneName, usize>,
    regions: BTreeMap<Option<RegionName>, usize>,
    unknown: usize,
}

/// Which of the losses of a [`Tolerance`] a set of voters survives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Borne {
    /// The loss of so many instances.
    pub instances: bool,
    /// The loss of so many availability zones.
    pub zones: bool,
    /// The loss of so many regions.
    pub regions: bool,
}

impl Borne {
    /// Returns whether all losses are survived.
    pub fn all(&self) -> bool {
        self.instances && self.zones && self.regions
    }
}

impl Spread {
    /// Counts the locations of voters.
    pub fn of<'a>(locations: impl IntoIterator<Item = Option<&'a Location>>) -> Self {
        let mut spread = Self::default();
        for location in locations {
            spread.add(location);
        }
        spread
    }

    /// Counts one more voter.
    pub fn add(&mut self, location: Option<&Location>) {
        match location {
            Some(location) => {
                *self.zones.entry(location.zone.clone()).or_default() += 1;
                *self.regions.entry(location.region.clone()).or_default() += 1;
            }
            None => self.unknown += 1,
        }
    }

    /// Returns the number of voters in each zone whose name is known.
    pub fn zones(&self) -> &BTreeMap<ZoneName, usize> {
        &self.zones
    }

    /// Returns the number of voters that have not said where they run.
    pub fn unknown(&self) -> usize {
        self.unknown
    }

    /// Returns the number of voters in the zone of a location.
    pub(super) fn in_zone(&self, location: Option<&Location>) -> usize {
        let zone = location.and_then(|location| self.zones.get(&location.zone));
        zone.copied().unwrap_or(0)
    }

    /// Returns the number of voters in the region of a location.
    pub(super) fn in_region(&self, location: Option<&Location>) -> usize {
        let region = location.and_then(|location| self.regions.get(&location.region));
        region.copied().unwrap_or(0)
    }

    /// Returns the largest number of voters in one zone.
    pub(super) fn fullest_zone(&self) -> usize {
        let unknown = usize::from(self.unknown > 0);
        self.zones.values().copied().max().unwrap_or(0).max(unknown)
    }

    /// Returns the largest number of voters in one region.
    pub(super) fn fullest_region(&self) -> usize {
        let unknown = usize::from(self.unknown > 0);
        self.regions
            .values()
            .copied()
            .max()
            .unwrap_or(0)
            .max(unknown)
    }

    /// Returns which losses leave a majority of these voters.
    pub fn borne(&self, tolerance: &Tolerance) -> Borne {
        let voters = self.zones.values().sum::<usize>() + self.unknown;
        let spare = spare(voters);
        let lost = |counts: &mut dyn Iterator<Item = usize>, most: usize| {
            let mut counts: Vec<usize> = counts.collect();
            counts.extend(std::iter::repeat_n(1, self.unknown));
            counts.sort_unstable_by(|a, b| b.cmp(a));
            counts.into_iter().take(most).sum::<usize>()
        };
        Borne {
            instances: tolerance.instances <= spare,
            zones: lost(&mut self.zones.values().copied(), tolerance.zones) <= spare,
            regions: lost(&mut self.regions.values().copied(), tolerance.regions) <= spare,
        }
    }
}

/// Returns how many of `voters` voters may be lost without the loss of the quorum.
pub(super) fn spare(voters: usize) -> usize {
    voters.saturating_sub(1) / 2
}
