//! Places for connections, of which several kinds share what is left over.
//!
//! Each kind has places of its own, which no other can take, and beyond these takes from a
//! common rest. So their sum fits into the descriptors of the process, no kind can keep the
//! others out, and what one does not need is not lost to the others.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Places of one kind.
#[derive(Clone, Debug)]
pub struct Places {
    own: Arc<Semaphore>,
    shared: Arc<Semaphore>,
}

/// One place, given back when it is dropped.
#[derive(Debug)]
pub struct Place {
    _permit: OwnedSemaphorePermit,
}

impl Places {
    /// So many places, and none in common with others.
    pub fn only(count: usize) -> Self {
        Self::sharing(count, &Arc::new(Semaphore::new(0)))
    }

    /// So many places of its own, and those in common.
    pub fn sharing(own: usize, shared: &Arc<Semaphore>) -> Self {
        Self {
            own: Arc::new(Semaphore::new(own.min(Semaphore::MAX_PERMITS))),
            shared: Arc::clone(shared),
        }
    }

    /// A place, if one is free.
    pub fn try_take(&self) -> Option<Place> {
        let own = Arc::clone(&self.own).try_acquire_owned();
        let permit = own.or_else(|_| Arc::clone(&self.shared).try_acquire_owned());
        permit.ok().map(|permit| Place { _permit: permit })
    }

    /// A place, as soon as one is free.
    pub async fn take(&self) -> Place {
        let permit = tokio::select! {
            permit = Arc::clone(&self.own).acquire_owned() => permit,
            permit = Arc::clone(&self.shared).acquire_owned() => permit,
        };
        Place {
            _permit: permit.expect("the semaphores are never closed"),
        }
    }

    /// How many are free.
    pub fn free(&self) -> usize {
        self.own.available_permits() + self.shared.available_permits()
    }
}
