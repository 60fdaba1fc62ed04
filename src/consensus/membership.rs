use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::EntryName;

/// The voters, each with the incarnation of the data folder from which it votes.
///
/// A name alone does not identify a voter: one that lost its disk no longer knows its
/// votes and acknowledgements and could help to elect a leader that lacks committed
/// entries, so that an accepted row would revert. Because the membership lists the
/// incarnation, a new, empty folder has no vote until the leader has caught it up and
/// changed the membership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    voters: BTreeMap<EntryName, u64>,
}

impl Membership {
    /// Creates a membership from the voters and the incarnations of their data folders.
    pub fn new(voters: BTreeMap<EntryName, u64>) -> Self {
        Self { voters }
    }

    /// Iterates over the voters and their incarnations, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&EntryName, u64)> {
        self.voters.iter().map(|(name, inc)| (name, *inc))
    }

    /// Returns the incarnation of the data folder from which a voter votes, or `None` if
    /// the name is not a voter.
    pub fn incarnation(&self, name: &EntryName) -> Option<u64> {
        self.voters.get(name).copied()
    }

    /// Returns whether the entry instance is a voter with exactly this incarnation.
    pub fn is_voter(&self, name: &EntryName, incarnation: Option<u64>) -> bool {
        incarnation.is_some() && self.incarnation(name) == incarnation
    }

    /// Returns the number of voters.
    pub fn len(&self) -> usize {
        self.voters.len()
    }

    /// Returns whether there is no voter, which means that the cluster is not created yet.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns a copy in which the voter is added or has the given incarnation.
    pub fn with_voter(&self, name: &EntryName, incarnation: u64) -> Self {
        let mut voters = self.voters.clone();
        voters.insert(name.clone(), incarnation);
        Self { voters }
    }

    /// Returns a copy without one voter.
    pub fn without_voter(&self, name: &EntryName) -> Self {
        let mut voters = self.voters.clone();
        voters.remove(name);
        Self { voters }
    }

    /// Returns the highest value that at least a quorum of the voters has reached, where
    /// `value_of` returns the value of one voter. Returns the default if there is no voter.
    pub fn quorum_reached<T: Copy + Ord + Default>(
        &self,
        value_of: impl Fn(&EntryName, u64) -> T,
    ) -> T {
        let mut values: Vec<T> = self.iter().map(|(name, inc)| value_of(name, inc)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let position = self.quorum() - 1;
        values.get(position).copied().unwrap_or_default()
    }

    /// Returns an upper bound of the encoded size, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.voters.keys().map(|n| n.as_str().len() + 18).sum()
    }
}
