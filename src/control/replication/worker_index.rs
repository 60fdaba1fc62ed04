use std::borrow::Borrow;
use std::collections::{BTreeMap, BTreeSet};

use crate::model::InstanceName;

/// Index of the workers by a property of theirs, such as their address. Two workers may have it
/// in common: one that has ended and its successor.
///
/// The index is derived from the workers and is not part of a snapshot. Without it each question
/// for a worker requires a scan of all of them. When a wave or a network partition ends, every
/// worker sends a report that asks one, and calls and renewals would wait for one scan per
/// worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerIndex<K>(BTreeMap<K, BTreeSet<InstanceName>>);

impl<K> Default for WorkerIndex<K> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K: Ord> FromIterator<(K, InstanceName)> for WorkerIndex<K> {
    fn from_iter<I: IntoIterator<Item = (K, InstanceName)>>(workers: I) -> Self {
        let mut index = Self::default();
        for (key, worker) in workers {
            index.add(key, &worker);
        }
        index
    }
}

impl<K: Ord> WorkerIndex<K> {
    /// Adds a worker under a key.
    pub fn add(&mut self, key: K, worker: &InstanceName) {
        let workers = self.0.entry(key).or_default();
        workers.insert(worker.clone());
    }

    /// Removes a worker from a key.
    pub fn remove<Q>(&mut self, key: &Q, worker: &InstanceName)
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        if let Some(workers) = self.0.get_mut(key) {
            workers.remove(worker);
            if workers.is_empty() {
                self.0.remove(key);
            }
        }
    }

    /// Returns the workers under a key, in the order of their names.
    pub fn at<'a, Q>(
        &'a self,
        key: &Q,
    ) -> impl DoubleEndedIterator<Item = &'a InstanceName> + use<'a, K, Q>
    where
        K: Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.0.get(key).into_iter().flatten()
    }
}
