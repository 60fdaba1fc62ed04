use std::cmp::Reverse;

use super::{Location, Member, Spread, Tolerance, VoterPlan};
use crate::consensus::VoterChange;
use crate::model::EntryName;

/// Silence after which a voter counts as lost and is replaced. It is longer than a restart or a short network
/// partition, so that these do not change the voters.
///
/// When a voter is permanently lost and its successor has caught up, the next disk may be
/// lost. If the lost voter were still a voter then and its successor were not, too few
/// complete data folders would be left and no leader could ever be elected again. This
/// time, two checks and two commits are over before the 4 s that a successor has to catch up.
pub(in crate::control) const VOTER_TIMEOUT_MS: u64 = 2_000;
/// Silence up to which an instance may become a voter. One that follows the log answers several
/// times as often.
const CANDIDATE_TIMEOUT_MS: u64 = 1_000;
/// Silence after which an instance counts as gone for good. Until then its zone keeps its
/// part of the voters' number and limits, because a partition ends earlier.
const GONE_TIMEOUT_MS: u64 = 30_000;
/// How long an instance is heard without a gap before voters move only to lie more evenly. A
/// network that fails again and again would otherwise move them each time.
const SETTLED_MS: u64 = 5_000;

/// Returns the next change on the way to voters that survive the losses of `tolerance`;
/// `None` if there is nothing to change, or nothing that can be done now.
///
/// A voter is replaced in two steps: its successor is added first and the voter removed
/// second, so that no quorum is smaller on the way. `me` is the leader and stays a voter.
pub fn next_voter_change(
    me: &EntryName,
    members: &[Member],
    tolerance: &Tolerance,
) -> Option<VoterChange> {
    let plan = VoterPlan::new(available(members, tolerance), tolerance);
    let voters: Vec<&Member> = members.iter().filter(|m| m.is_voter).collect();
    if voters.len() > plan.voters {
        let removed = superfluous_voter(me, &voters, &plan)?;
        return Some(VoterChange::Remove(removed.name.clone()));
    }
    let candidates: Vec<&Member> = members
        .iter()
        .filter(|m| !m.is_voter && m.is_heard(CANDIDATE_TIMEOUT_MS))
        .collect();
    let added = if voters.len() < plan.voters {
        missing_voter(&voters, &candidates, &plan)
    } else {
        successor(me, &voters, &candidates, &plan)
            .or_else(|| better_placed(&voters, &candidates, &plan))
    };
    added.map(|member| VoterChange::Add(member.name.clone()))
}

/// Returns the locations of the instances that may vote.
///
/// Voters that are gone for good count only where the others are too few to replace them: the
/// number of voters never falls because some of them are lost.
fn available<'a>(
    members: &'a [Member],
    tolerance: &Tolerance,
) -> impl Iterator<Item = Option<&'a Location>> {
    let present = members.iter().filter(|m| m.is_heard(GONE_TIMEOUT_MS));
    let keep_voters = present.count() < tolerance.voters();
    let counted = members
        .iter()
        .filter(move |m| m.is_heard(GONE_TIMEOUT_MS) || keep_voters && m.is_voter);
    counted.map(|member| member.location.as_ref())
}

/// Returns the spread of the voters without one, and with another in its place.
fn replaced(voters: &[&Member], without: Option<&Member>, with: Option<&Member>) -> Spread {
    let kept = voters
        .iter()
        .copied()
        .filter(|voter| without.is_none_or(|without| without.name != voter.name));
    Spread::of(kept.chain(with).map(|member| member.location.as_ref()))
}

/// Returns the voter to remove while there are too many: one that is lost, or one in the
/// fullest zone.
fn superfluous_voter<'a>(
    me: &EntryName,
    voters: &[&'a Member],
    plan: &VoterPlan,
) -> Option<&'a Member> {
    let all = replaced(voters, None, None);
    let others = voters.iter().copied().filter(|voter| voter.name != *me);
    others.max_by_key(|voter| {
        let location = voter.location.as_ref();
        let allowed = plan.allows(&replaced(voters, Some(voter), None));
        let lost_ms = (!voter.is_heard(VOTER_TIMEOUT_MS)).then_some(voter.silent_ms);
        (
            allowed,
            lost_ms,
            all.in_zone(location),
            all.in_region(location),
            Reverse(voter.present_ms),
        )
    })
}

/// Returns the candidate that lies best beside the voters, within the limits of the plan.
fn best_candidate<'a>(
    voters: &[&Member],
    without: Option<&Member>,
    candidates: &[&'a Member],
    plan: &VoterPlan,
) -> Option<&'a Member> {
    let rest = replaced(voters, without, None);
    candidates
        .iter()
        .copied()
        .filter(|candidate| plan.allows(&replaced(voters, without, Some(candidate))))
        .min_by_key(|candidate| {
            let location = candidate.location.as_ref();
            let in_region = match plan.per_region {
                usize::MAX => 0,
                _ => rest.in_region(location),
            };
            (
                location.is_none(),
                rest.in_zone(location),
                in_region,
                Reverse(candidate.present_ms.min(SETTLED_MS)),
            )
        })
}

/// Returns the voter to add while there are too few. Where voters lie outside of the limits,
/// any that lies in the emptiest zone.
fn missing_voter<'a>(
    voters: &[&Member],
    candidates: &[&'a Member],
    plan: &VoterPlan,
) -> Option<&'a Member> {
    let within = best_candidate(voters, None, candidates, plan);
    within.or_else(|| {
        let spread = replaced(voters, None, None);
        let is_below_limit = |candidate: &&&Member| {
            let location = candidate.location.as_ref();
            spread.in_zone(location) < plan.per_zone && spread.in_region(location) < plan.per_region
        };
        let below = candidates.iter().filter(is_below_limit);
        below
            .min_by_key(|candidate| spread.in_zone(candidate.location.as_ref()))
            .copied()
    })
}

/// Returns the successor of a voter that is lost, the longest silent one first.
fn successor<'a>(
    me: &EntryName,
    voters: &[&Member],
    candidates: &[&'a Member],
    plan: &VoterPlan,
) -> Option<&'a Member> {
    let others = voters.iter().copied().filter(|voter| voter.name != *me);
    let mut lost: Vec<&Member> = others
        .filter(|voter| !voter.is_heard(VOTER_TIMEOUT_MS))
        .collect();
    lost.sort_by_key(|voter| Reverse(voter.silent_ms));
    lost.into_iter()
        .find_map(|voter| best_candidate(voters, Some(voter), candidates, plan))
}

/// Returns a candidate that makes the voters lie better: at once if a zone or region holds
/// more of them than it may, and once all is settled if they lie unevenly.
fn better_placed<'a>(
    voters: &[&Member],
    candidates: &[&'a Member],
    plan: &VoterPlan,
) -> Option<&'a Member> {
    let spread = replaced(voters, None, None);
    let fullest = spread.fullest_zone();
    if !plan.allows(&spread) {
        let outside = candidates.iter().copied().filter(|candidate| {
            let location = candidate.location.as_ref();
            let from_zone = fullest > plan.per_zone && spread.in_zone(location) < plan.per_zone;
            let from_region = fullest <= plan.per_zone
                && spread.in_zone(location) < plan.per_zone
                && spread.in_region(location) < plan.per_region;
            location.is_some() && (from_zone || from_region)
        });
        return outside.min_by_key(|candidate| {
            let location = candidate.location.as_ref();
            (
                spread.in_region(location).min(plan.per_region),
                spread.in_zone(location),
            )
        });
    }
    let settled = |member: &&Member| member.present_ms >= SETTLED_MS;
    if !voters.iter().all(settled) {
        return None;
    }
    let emptiest = candidates
        .iter()
        .copied()
        .filter(|candidate| candidate.location.is_some() && settled(candidate))
        .min_by_key(|candidate| spread.in_zone(candidate.location.as_ref()))?;
    let location = emptiest.location.as_ref();
    let is_uneven = spread.in_zone(location) + 2 <= fullest;
    let fits_region = spread.in_region(location) < plan.per_region;
    (is_uneven && fits_region).then_some(emptiest)
}
