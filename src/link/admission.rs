//! Admission control for the incoming connections of a listener.
//!
//! Hundreds of clients may connect at once, after a power loss or at the first start, or
//! reconnect repeatedly behind a network partition that leaves their old connections half
//! open. If slots were assigned in order of arrival, clients could take all of them:
//! replicas could not reach each other, no leader would be elected, and nothing would be
//! served.
//!
//! A connection is therefore unauthenticated until its first frame is verified, and the
//! oldest unauthenticated connection is evicted in favor of a new one. An authenticated peer
//! has one link, which a newer one replaces. When all slots are taken, a client is refused,
//! while a replica evicts the client with the oldest link.

use std::collections::BTreeMap;

use super::PeerClass;
use crate::model::EntryName;
use crate::places::{Place, Places};

/// Reason why a connection is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Refusal {
    /// All slots are taken.
    #[display("all slots are taken")]
    Full,
    /// A newer connection evicted it before it was authenticated.
    #[display("evicted before it was authenticated")]
    Evicted,
}

/// The connections of a listener. Dropping a handle `H` closes its connection.
#[derive(Debug)]
pub struct Admission<H> {
    max_unauthenticated: usize,
    places: Places,
    last_id: u64,
    unauthenticated: BTreeMap<u64, H>,
    authenticated: BTreeMap<EntryName, AuthenticatedLink<H>>,
}

#[derive(Debug)]
struct AuthenticatedLink<H> {
    id: u64,
    class: PeerClass,
    handle: H,
    place: Place,
}

impl<H> Admission<H> {
    /// Returns an admission control without connections. It allows `max_unauthenticated`
    /// unauthenticated connections and one authenticated link for each of `places`.
    pub fn new(max_unauthenticated: usize, places: Places) -> Self {
        Self {
            max_unauthenticated,
            places,
            last_id: 0,
            unauthenticated: BTreeMap::new(),
            authenticated: BTreeMap::new(),
        }
    }

    /// Returns the number of links of authenticated peers.
    pub fn authenticated(&self) -> usize {
        self.authenticated.len()
    }

    /// Registers a new connection. Returns its id and the connection that it evicts, if any.
    pub fn register(&mut self, handle: H) -> (u64, Option<H>) {
        self.last_id += 1;
        let evicted = match self.unauthenticated.len() >= self.max_unauthenticated {
            true => self.unauthenticated.pop_first().map(|(_, handle)| handle),
            false => None,
        };
        self.unauthenticated.insert(self.last_id, handle);
        (self.last_id, evicted)
    }

    /// Admits a connection as the link of an authenticated peer. Returns the connection that
    /// it replaces or evicts, if any.
    ///
    /// # Errors
    /// The connection was evicted before, or all slots are taken.
    pub fn admit(
        &mut self,
        id: u64,
        name: &EntryName,
        class: PeerClass,
    ) -> Result<Option<H>, Refusal> {
        let handle = self.unauthenticated.remove(&id).ok_or(Refusal::Evicted)?;
        let (place, closed) = self.reserve(name, class).ok_or(Refusal::Full)?;
        let link = AuthenticatedLink {
            id,
            class,
            handle,
            place,
        };
        self.authenticated.insert(name.clone(), link);
        Ok(closed)
    }

    /// Returns a slot for a link of this peer and the link that held it before, if any.
    fn reserve(&mut self, name: &EntryName, class: PeerClass) -> Option<(Place, Option<H>)> {
        if let Some(older) = self.authenticated.remove(name) {
            return Some((older.place, Some(older.handle)));
        }
        if let Some(place) = self.places.try_take() {
            return Some((place, None));
        }
        let candidate = self.eviction_candidate(class)?;
        let evicted = self.authenticated.remove(&candidate)?;
        Some((evicted.place, Some(evicted.handle)))
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: u64, name: Option<&EntryName>) {
        self.unauthenticated.remove(&id);
        if let Some(name) = name
            && self
                .authenticated
                .get(name)
                .is_some_and(|link| link.id == id)
        {
            self.authenticated.remove(name);
        }
    }

    /// Returns the peer whose link is evicted for a link of this class, if any.
    fn eviction_candidate(&self, class: PeerClass) -> Option<EntryName> {
        if class == PeerClass::Client {
            return None;
        }
        let clients = self.authenticated.iter();
        let clients = clients.filter(|(_, link)| link.class == PeerClass::Client);
        clients
            .min_by_key(|(_, link)| link.id)
            .map(|(name, _)| name.clone())
    }
}
