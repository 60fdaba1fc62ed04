use std::collections::BTreeMap;

use crate::control::{Location, Presence};
use crate::model::EntryName;

/// An instance counts as present for this long after its last greeting.
pub(super) const PEER_TIMEOUT_MS: u64 = 2_500;
/// Greetings to a peer that has not said where it runs, in which the own location is sent at
/// once; it is sent with every [`SLOW_OFFER_GREETINGS`]th one after them.
const FAST_OFFERS: u32 = 3;
const SLOW_OFFER_GREETINGS: u32 = 12;

/// The other control instances that this one has heard.
#[derive(Debug, Default)]
pub(super) struct Peers {
    contacts: BTreeMap<EntryName, Contact>,
    /// Greetings sent to instances that have not said where they run.
    greeted: BTreeMap<EntryName, u32>,
}

/// What is known of a control instance.
#[derive(Debug)]
struct Contact {
    heard_ms: u64,
    /// Since when it has been heard without a gap.
    since_ms: u64,
    presence: Option<Presence>,
}

impl Peers {
    /// Records a greeting, with what the instance says about itself.
    pub(super) fn record(&mut self, now_ms: u64, name: &EntryName, presence: Option<Presence>) {
        let contact = self.contacts.entry(name.clone()).or_insert(Contact {
            heard_ms: now_ms,
            since_ms: now_ms,
            presence: None,
        });
        if now_ms >= contact.heard_ms + PEER_TIMEOUT_MS {
            contact.since_ms = now_ms;
        }
        contact.heard_ms = now_ms;
        if presence.is_some() {
            contact.presence = presence;
            self.greeted.remove(name);
        }
    }

    /// Returns whether an instance understands [`Presence`], which instances of earlier builds
    /// do not: it ends their link.
    pub(super) fn understands_presence(&self, name: &EntryName) -> bool {
        let contact = self.contacts.get(name);
        contact.is_some_and(|contact| contact.presence.is_some())
    }

    /// Counts a greeting to an instance that may not understand [`Presence`]. Returns whether
    /// to send it nevertheless, to find out.
    pub(super) fn offers_presence(&mut self, name: &EntryName) -> bool {
        let greeted = self.greeted.entry(name.clone()).or_default();
        *greeted = greeted.saturating_add(1);
        *greeted <= FAST_OFFERS || greeted.is_multiple_of(SLOW_OFFER_GREETINGS)
    }

    /// Returns the instances that are present.
    pub(super) fn present(&self, now_ms: u64) -> impl Iterator<Item = &EntryName> {
        let present = self
            .contacts
            .iter()
            .filter(move |(_, contact)| now_ms < contact.heard_ms + PEER_TIMEOUT_MS);
        present.map(|(name, _)| name)
    }

    /// Returns whether an instance is present.
    pub(super) fn is_present(&self, now_ms: u64, name: &EntryName) -> bool {
        let contact = self.contacts.get(name);
        contact.is_some_and(|contact| now_ms < contact.heard_ms + PEER_TIMEOUT_MS)
    }

    /// Returns all instances that were ever heard.
    pub(super) fn names(&self) -> impl Iterator<Item = &EntryName> {
        self.contacts.keys()
    }

    /// Returns the time since an instance was heard, and how long it was heard without a gap
    /// before; `None` if it never was.
    pub(super) fn silent_and_present_ms(
        &self,
        now_ms: u64,
        name: &EntryName,
    ) -> Option<(u64, u64)> {
        let contact = self.contacts.get(name)?;
        let present_ms = match self.is_present(now_ms, name) {
            true => now_ms.saturating_sub(contact.since_ms),
            false => 0,
        };
        Some((now_ms.saturating_sub(contact.heard_ms), present_ms))
    }

    /// Returns where an instance said that it runs.
    pub(super) fn location(&self, name: &EntryName) -> Option<&Location> {
        let presence = self.contacts.get(name)?.presence.as_ref()?;
        Some(&presence.location)
    }

    /// Returns how many control instances a present instance said that it hears.
    pub(super) fn reach(&self, now_ms: u64, name: &EntryName) -> Option<usize> {
        let contact = self.contacts.get(name)?;
        let presence = contact.presence.as_ref()?;
        (now_ms < contact.heard_ms + PEER_TIMEOUT_MS).then_some(usize::from(presence.heard))
    }
}
