use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::EntryName;

/// The voters, each with the incarnation of the data folder it votes from.
///
/// A name alone is not an identity: a voter that lost its disk forgot its votes
/// and acknowledgements, so with its name alone it could help to elect a leader
/// that lacks committed entries, and an accepted row would revert. With the
/// incarnation in the membership the new, empty folder counts for nothing until
/// the leader has caught it up and changed the membership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    voters: BTreeMap<EntryName, u64>,
}

impl Membership {
    /// The voters with the incarnations of their data folders.
    pub fn new(voters: BTreeMap<EntryName, u64>) -> Self {
        Self { voters }
    }

    /// The voters in the order of their names, with their incarnations.
    pub fn iter(&self) -> impl Iterator<Item = (&EntryName, u64)> {
        self.voters.iter().map(|(name, inc)| (name, *inc))
    }

    /// The incarnation under which a voter counts.
    pub fn incarnation(&self, name: &EntryName) -> Option<u64> {
        self.voters.get(name).copied()
    }

    /// Whether the entry instance votes from this very data folder.
    pub fn counts(&self, name: &EntryName, incarnation: Option<u64>) -> bool {
        incarnation.is_some() && self.incarnation(name) == incarnation
    }

    /// How many voters there are.
    pub fn len(&self) -> usize {
        self.voters.len()
    }

    /// Whether there is no voter: the cluster is not created yet.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// How many voters decide.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The same voters with one added, or with another incarnation.
    pub fn with(&self, name: &EntryName, incarnation: u64) -> Self {
        let mut voters = self.voters.clone();
        voters.insert(name.clone(), incarnation);
        Self { voters }
    }

    /// The same voters but for one.
    pub fn without(&self, name: &EntryName) -> Self {
        let mut voters = self.voters.clone();
        voters.remove(name);
        Self { voters }
    }

    /// What at least a quorum of the voters has reached, given what each has.
    /// The smallest value if there is no voter.
    pub fn reached<T: Copy + Ord + Default>(&self, of: impl Fn(&EntryName, u64) -> T) -> T {
        let mut values: Vec<T> = self.iter().map(|(name, inc)| of(name, inc)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let place = self.quorum() - 1;
        values.get(place).copied().unwrap_or_default()
    }

    /// An upper bound of its size on the wire, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.voters.keys().map(|n| n.as_str().len() + 18).sum()
    }
}
