//! Which incoming connections a listener keeps.
//!
//! Pattern of load: hundreds of clients connect at once, all after a power loss or at the
//! first start, or again and again behind a cut that leaves their old connections half
//! open. First come, first served would let them take every place: replicas could not
//! reach each other, no leader would be elected, and nothing would be served.
//!
//! So a connection counts as unproved until its first frame is verified, and the oldest of
//! these makes room for a new one. A proved peer has one link: a newer one replaces it. When
//! all places are taken a client is refused, while a replica takes the place of the client
//! that was there for longest.

use std::collections::BTreeMap;

use super::PeerClass;
use crate::model::EntryName;
use crate::places::{Place, Places};

/// Why a connection is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Refusal {
    /// All places are taken.
    #[display("all places are taken")]
    Full,
    /// Its place went to a newer connection before it was proved.
    #[display("it took too long to prove itself")]
    Evicted,
}

/// The connections of a listener. Dropping a handle `H` closes its connection.
#[derive(Debug)]
pub struct Admission<H> {
    unproved_max: usize,
    places: Places,
    last_id: u64,
    unproved: BTreeMap<u64, H>,
    proved: BTreeMap<EntryName, Proved<H>>,
}

#[derive(Debug)]
struct Proved<H> {
    id: u64,
    class: PeerClass,
    handle: H,
    place: Place,
}

impl<H> Admission<H> {
    /// Without any connection: at most so many unproved ones, and places for the others.
    pub fn new(unproved_max: usize, places: Places) -> Self {
        Self {
            unproved_max,
            places,
            last_id: 0,
            unproved: BTreeMap::new(),
            proved: BTreeMap::new(),
        }
    }

    /// Links of proved peers.
    pub fn proved(&self) -> usize {
        self.proved.len()
    }

    /// A connection arrives: its number, and the one that makes room for it.
    pub fn arrive(&mut self, handle: H) -> (u64, Option<H>) {
        self.last_id += 1;
        let evicted = match self.unproved.len() >= self.unproved_max {
            true => self.unproved.pop_first().map(|(_, handle)| handle),
            false => None,
        };
        self.unproved.insert(self.last_id, handle);
        (self.last_id, evicted)
    }

    /// A connection has proved whose it is: the one that makes room for it.
    ///
    /// # Errors
    /// It is not kept.
    pub fn prove(
        &mut self,
        id: u64,
        name: &EntryName,
        class: PeerClass,
    ) -> Result<Option<H>, Refusal> {
        let handle = self.unproved.remove(&id).ok_or(Refusal::Evicted)?;
        let (place, closed) = self.room(name, class).ok_or(Refusal::Full)?;
        let proved = Proved {
            id,
            class,
            handle,
            place,
        };
        self.proved.insert(name.clone(), proved);
        Ok(closed)
    }

    /// A place for a link of this peer, and the link whose place it was.
    fn room(&mut self, name: &EntryName, class: PeerClass) -> Option<(Place, Option<H>)> {
        if let Some(older) = self.proved.remove(name) {
            return Some((older.place, Some(older.handle)));
        }
        if let Some(place) = self.places.try_take() {
            return Some((place, None));
        }
        let victim = self.victim(class)?;
        let victim = self.proved.remove(&victim)?;
        Some((victim.place, Some(victim.handle)))
    }

    /// A connection has ended.
    pub fn leave(&mut self, id: u64, name: Option<&EntryName>) {
        self.unproved.remove(&id);
        if let Some(name) = name
            && self.proved.get(name).is_some_and(|proved| proved.id == id)
        {
            self.proved.remove(name);
        }
    }

    /// Whose link makes room for one of this class.
    fn victim(&self, class: PeerClass) -> Option<EntryName> {
        if class == PeerClass::Client {
            return None;
        }
        let clients = self.proved.iter();
        let clients = clients.filter(|(_, proved)| proved.class == PeerClass::Client);
        clients
            .min_by_key(|(_, proved)| proved.id)
            .map(|(name, _)| name.clone())
    }
}
