use std::collections::BTreeMap;

use super::spread::spare;
use super::{Location, Spread, Tolerance};
use crate::model::{RegionName, ZoneName};

/// The number of voters to have, and how many of them a zone and a region may hold.
///
/// The limits hold at all times, also while a zone cannot be reached: a leader that sees only
/// a part of the instances could otherwise gather all voters in that part, and with them every
/// copy of what it acknowledges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterPlan {
    /// Number of voters.
    pub voters: usize,
    /// Most voters in one availability zone; `usize::MAX` if there are too few zones to
    /// survive the loss of one.
    pub per_zone: usize,
    /// Most voters in one region; `usize::MAX` if there are too few regions.
    pub per_region: usize,
}

impl VoterPlan {
    /// Plans for the instances that are available as voters, each given by its location.
    ///
    /// The loss of zones and regions comes before the number of instances: where a zone has so
    /// few instances that the voters asked for do not fit, there are fewer of them. Where no
    /// number fits, as with two zones, the number is kept, and the voters are spread as evenly
    /// as possible.
    pub fn new<'a>(
        available: impl IntoIterator<Item = Option<&'a Location>>,
        tolerance: &Tolerance,
    ) -> Self {
        let available = Available::of(available);
        let most = largest_odd(tolerance.voters().min(available.count()));
        let without_regions = Tolerance {
            regions: 0,
            ..*tolerance
        };
        let sizes = || (3..=most).rev().step_by(2);
        let plans = [tolerance, &without_regions]
            .into_iter()
            .flat_map(|losses| {
                sizes().map(|voters| Self {
                    voters,
                    per_zone: limit(voters, losses.zones),
                    per_region: limit(voters, losses.regions),
                })
            });
        let mut plans = plans.filter(|plan| available.holds(plan));
        plans.next().unwrap_or(Self {
            voters: most,
            per_zone: usize::MAX,
            per_region: usize::MAX,
        })
    }

    /// Returns whether no zone and no region holds more voters than it may.
    pub(super) fn allows(&self, spread: &Spread) -> bool {
        spread.fullest_zone() <= self.per_zone && spread.fullest_region() <= self.per_region
    }
}

/// The instances that can vote, counted by region and zone.
#[derive(Debug, Default)]
struct Available<'a> {
    regions: BTreeMap<Option<&'a RegionName>, BTreeMap<&'a ZoneName, usize>>,
    unknown: usize,
}

impl<'a> Available<'a> {
    fn of(locations: impl IntoIterator<Item = Option<&'a Location>>) -> Self {
        let mut available = Self::default();
        for location in locations {
            match location {
                Some(location) => {
                    let region = available.regions.entry(location.region.as_ref());
                    *region.or_default().entry(&location.zone).or_default() += 1;
                }
                None => available.unknown += 1,
            }
        }
        available
    }

    fn count(&self) -> usize {
        let zones = self.regions.values().flat_map(BTreeMap::values);
        zones.sum::<usize>() + self.unknown
    }

    /// Returns whether the instances suffice for a plan within its limits.
    fn holds(&self, plan: &VoterPlan) -> bool {
        let in_region = |zones: &BTreeMap<&ZoneName, usize>| {
            let usable = zones.values().map(|count| (*count).min(plan.per_zone));
            usable.sum::<usize>().min(plan.per_region)
        };
        let usable = self.regions.values().map(in_region).sum::<usize>();
        usable + self.unknown >= plan.voters
    }
}

/// Returns how many of `voters` voters a group may hold if `lost` such groups may be lost.
fn limit(voters: usize, lost: usize) -> usize {
    spare(voters).checked_div(lost).unwrap_or(usize::MAX)
}

fn largest_odd(count: usize) -> usize {
    count - usize::from(count.is_multiple_of(2) && count > 0)
}
