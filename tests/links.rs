//! Links between instances: admission of connections and batching of messages.
#![allow(missing_docs, clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::time::Duration;

use quickcheck_macros::quickcheck;
use rosemarygauge::control::{ConnectionBudget, Grant};
use rosemarygauge::link::{
    Admission, Directory, LinkEvent, LinkLimits, Links, LinksConfig, PeerClass, PeerKey, Refusal,
};
use rosemarygauge::model::EntryName;
use rosemarygauge::places::Places;

const MAX_UNAUTHENTICATED: usize = 4;
const SLOTS: usize = 8;

fn admission() -> Admission<u64> {
    Admission::new(MAX_UNAUTHENTICATED, Places::only(SLOTS))
}

fn name(text: impl std::fmt::Display) -> EntryName {
    EntryName::from(text.to_string())
}

/// Connects and authenticates a peer. Returns the handle of the link that it closes, if any.
fn connect(
    admission: &mut Admission<u64>,
    handle: u64,
    peer: &EntryName,
    class: PeerClass,
) -> Result<Option<u64>, Refusal> {
    let (id, _) = admission.register(handle);
    admission.admit(id, peer, class)
}

/// Guards against clients that connect first, take all slots and keep the replicas from
/// electing a leader.
#[test]
fn replicas_are_admitted_after_any_number_of_clients() {
    let mut admission = admission();
    let mut refused = 0;
    for client in 0..150 {
        let admitted = connect(&mut admission, client, &name(client), PeerClass::Client);
        refused += usize::from(admitted == Err(Refusal::Full));
    }
    assert_eq!((admission.authenticated(), refused), (8, 142));
    for replica in 0..5 {
        let peer = name(format!("replica-{replica}"));
        let admitted = connect(&mut admission, 1_000 + replica, &peer, PeerClass::Replica);
        assert_eq!(admitted, Ok(Some(replica)), "the oldest client is evicted");
    }
    assert_eq!(admission.authenticated(), 8);
}

/// Guards against a replica that evicts another one.
#[test]
fn replicas_do_not_evict_each_other() {
    let mut admission = admission();
    for replica in 0..8 {
        assert!(connect(&mut admission, replica, &name(replica), PeerClass::Replica).is_ok());
    }
    let ninth = connect(&mut admission, 8, &name(8), PeerClass::Replica);
    assert_eq!(ninth, Err(Refusal::Full));
}

/// Guards against half-open connections, left by a network partition, that keep their peers
/// from reconnecting.
#[test]
fn a_newer_link_of_a_peer_replaces_the_older_one() {
    let mut admission = admission();
    for round in 0..3 {
        for client in 0..8 {
            let admitted = connect(
                &mut admission,
                10 * round + client,
                &name(client),
                PeerClass::Client,
            );
            let replaced = (round > 0).then(|| 10 * (round - 1) + client);
            assert_eq!(admitted, Ok(replaced));
        }
    }
    assert_eq!(admission.authenticated(), 8);
}

/// Guards against the end of a replaced connection removing the link that replaced it.
#[test]
fn the_end_of_a_replaced_link_keeps_the_newer_one() {
    let mut admission = admission();
    let peer = name("a");
    let (first, _) = admission.register(1);
    assert_eq!(admission.admit(first, &peer, PeerClass::Client), Ok(None));
    assert_eq!(
        connect(&mut admission, 2, &peer, PeerClass::Client),
        Ok(Some(1))
    );
    admission.remove(first, Some(&peer));
    assert_eq!(admission.authenticated(), 1);
}

/// Guards against connections that never authenticate and keep all other peers out.
#[test]
fn the_oldest_unauthenticated_connection_is_evicted() {
    let mut admission = admission();
    let (stuck, _) = admission.register(0);
    let evicted: Vec<Option<u64>> = (1..=5).map(|handle| admission.register(handle).1).collect();
    assert_eq!(evicted, [None, None, None, Some(0), Some(1)]);
    let late = admission.admit(stuck, &name("a"), PeerClass::Replica);
    assert_eq!(late, Err(Refusal::Evicted));
}

/// Guards against limits whose sum exceeds the process's limit on open files.
#[quickcheck]
fn the_connection_budget_stays_within_the_open_file_limit(open_files: u16, memory_mb: u8) -> bool {
    let grant = Grant {
        open_files: usize::from(open_files),
        memory_bytes: Some(usize::from(memory_mb) << 20),
    };
    [
        ConnectionBudget::control(grant),
        ConnectionBudget::entry(grant),
    ]
    .iter()
    .all(|b| {
        let kept = b.unproved + b.outgoing + b.incoming + b.callers + b.workers;
        kept + b.shared <= usize::from(open_files).max(64)
    })
}

/// Guards against refusing one kind of connection while shared slots are free, and against one
/// kind taking the slots that are reserved for the others.
#[test]
fn connection_kinds_share_spare_slots_and_keep_reserved_ones() {
    let grant = Grant {
        open_files: 4_324,
        memory_bytes: None,
    };
    let budget = ConnectionBudget::control(grant);
    let places = budget.places();
    let links: Vec<_> = std::iter::from_fn(|| places.incoming.try_take()).collect();
    assert_eq!(links.len(), budget.incoming + budget.shared);
    assert!(links.len() > 1_000, "{}", links.len());
    assert_eq!(places.workers.free(), budget.workers);
    assert_eq!(places.callers.free(), budget.callers);
    drop(links);
    let workers: Vec<_> = std::iter::from_fn(|| places.workers.try_take()).collect();
    assert_eq!(workers.len(), budget.workers + budget.shared);
    assert_eq!(places.incoming.free(), budget.incoming);
}

/// For any order of connecting, authenticating and disconnecting, there are no more links than
/// the limit and at most one for each peer, and only a newer link of the same replica closes a
/// replica's link.
#[quickcheck]
fn limits_hold_for_any_order_of_events(events: Vec<(u8, u8, bool)>) -> bool {
    let mut admission = admission();
    let mut open: Vec<(u64, EntryName, PeerClass)> = Vec::new();
    for (kind, peer, replica) in events {
        let class = match replica {
            true => PeerClass::Replica,
            false => PeerClass::Client,
        };
        let peer = name(format!("{class}-{}", peer % 12));
        match kind % 3 {
            0 | 1 => {
                let (id, _) = admission.register(u64::MAX);
                let Ok(closed) = admission.admit(id, &peer, class) else {
                    continue;
                };
                if closed.is_some() {
                    let place = match open.iter().position(|(_, name, _)| *name == peer) {
                        Some(place) => place,
                        None => {
                            let mut clients = open.iter();
                            match clients.position(|(_, _, class)| *class == PeerClass::Client) {
                                Some(place) => place,
                                None => return false,
                            }
                        }
                    };
                    open.remove(place);
                }
                open.push((id, peer, class));
            }
            _ => {
                if !open.is_empty() {
                    let (id, name, _) = open.remove(0);
                    admission.remove(id, Some(&name));
                }
            }
        }
        let names: BTreeSet<&EntryName> = open.iter().map(|(_, name, _)| name).collect();
        if open.len() > SLOTS || names.len() != open.len() {
            return false;
        }
        if admission.authenticated() != open.len() {
            return false;
        }
    }
    true
}

/// Starts two replicas with a link in each direction. The second one passes its frames to
/// `sink`, which may block the thread of its links.
fn linked_replicas(
    sink: impl Fn(EntryName, u64) -> bool + Send + Sync + 'static,
) -> [Links<u64>; 2] {
    let listeners = ["a", "b"].map(|me| (name(me), TcpListener::bind("127.0.0.1:0").unwrap()));
    let addresses = listeners
        .iter()
        .map(|(me, l)| (me.clone(), l.local_addr().unwrap()));
    let addresses: BTreeMap<_, _> = addresses.collect();
    let conf = |me: &EntryName| LinksConfig {
        me: me.clone(),
        key: PeerKey::from(vec![7; 32]),
        peers: Directory::Listed(addresses.clone()),
        class: PeerClass::Replica,
        limits: LinkLimits::for_peers(2),
        places: Places::only(2),
    };
    let [(a, at_a), (b, at_b)] = listeners;
    [
        Links::start(conf(&a), at_a, |_, _| true).unwrap(),
        Links::start(conf(&b), at_b, sink).unwrap(),
    ]
}

/// Guards against a link that ends because a busy process receives hundreds of short messages
/// at once, so that followers lose their leader at peak load.
#[test]
fn accumulated_short_messages_do_not_end_the_link() {
    let (seen, messages) = channel();
    let [a, _b] = linked_replicas(move |_, number| {
        if number == 0 {
            std::thread::park_timeout(Duration::from_millis(300));
        }
        seen.send(number).is_ok()
    });
    let to = name("b");
    let limit = Duration::from_secs(20);
    while a.stats().total(LinkEvent::Up) == 0 {
        std::thread::yield_now();
    }
    for number in 0..20_000 {
        a.send(&to, &number);
        // The pause makes some messages leave in short frames of their own.
        if number % 4 == 0 {
            std::thread::park_timeout(Duration::from_micros(10));
        }
        if number % 500 == 499 {
            assert!(messages.recv_timeout(limit).is_ok(), "{number}");
        }
    }
    assert_eq!(a.stats().total(LinkEvent::Failed), 0);
}
