//! The account of what clients make a process hold.
#![allow(missing_docs, clippy::unwrap_used)]

use std::sync::Arc;
use std::time::{Duration, Instant};

use quickcheck_macros::quickcheck;
use rosemarygauge::intake::{Client, Hold, Intake, ORDINARY_REQUEST_BYTES, Shortage};
use rosemarygauge::places::Places;

const LIMIT_BYTES: usize = 1 << 20;
const LISTENER: &str = "callers";
/// Longer than a client may stall while something is short.
const STALL: Duration = Duration::from_secs(1);

fn client(intake: &Arc<Intake>, now: Instant) -> Arc<Client> {
    intake.open(now, LISTENER, Places::only(1).try_take())
}

/// Returns a request that holds this much beside what its place covers.
fn holding(client: &Arc<Client>, bytes: usize) -> Hold {
    let mut hold = client.hold();
    assert!(hold.resize(ORDINARY_REQUEST_BYTES + bytes));
    hold
}

/// For any order of requests that grow, shrink and end, they hold no more than the limit, a
/// refused growth changes nothing, and all is given back.
#[quickcheck]
fn requests_never_hold_more_than_the_limit(events: Vec<(u8, u32)>) -> bool {
    let intake = Intake::new(LIMIT_BYTES);
    let now = Instant::now();
    let mut open: Vec<Option<(Hold, usize)>> = (0..8).map(|_| None).collect();
    for (place, bytes) in events {
        let request = &mut open[usize::from(place % 8)];
        if bytes % 5 == 0 {
            *request = None;
            continue;
        }
        let bytes = bytes as usize % (2 * LIMIT_BYTES);
        let (hold, held) = request.get_or_insert_with(|| (client(&intake, now).hold(), 0));
        if hold.resize(bytes) {
            *held = bytes.saturating_sub(ORDINARY_REQUEST_BYTES);
        }
        let held: usize = open.iter().flatten().map(|(_, held)| held).sum();
        if intake.held_bytes() != held || held > LIMIT_BYTES {
            return false;
        }
    }
    drop(open);
    intake.held_bytes() == 0
}

/// Guards against ordinary callers that a crowd keeps out.
#[test]
fn requests_of_ordinary_size_fit_when_all_is_held() {
    let intake = Intake::new(LIMIT_BYTES);
    let now = Instant::now();
    let _all = holding(&client(&intake, now), LIMIT_BYTES);
    let mut ordinary = client(&intake, now).hold();
    assert!(ordinary.resize(ORDINARY_REQUEST_BYTES));
    assert!(!ordinary.resize(ORDINARY_REQUEST_BYTES + 1));
}

/// Guards against a client that keeps its room for as long as it likes, and against the
/// eviction of one that has just sent something, is being served, or holds nothing.
#[test]
fn the_client_that_has_stalled_for_longest_makes_room() {
    let intake = Intake::new(LIMIT_BYTES);
    let began = Instant::now();
    let clients: Vec<_> = (0..4).map(|_| client(&intake, began)).collect();
    let _holds: Vec<_> = clients[..3].iter().map(|c| holding(c, 1_000)).collect();
    assert!(!intake.evict(began, Shortage::Memory), "none has stalled");
    let later = began + STALL;
    assert!(clients[0].begin_serving());
    clients[1].record_progress(later);
    assert!(intake.evict(later, Shortage::Memory));
    assert!(
        !intake.evict(later, Shortage::Memory),
        "no other has stalled"
    );
    let evicted: Vec<_> = clients.iter().map(|c| is_evicted(c)).collect();
    assert_eq!(evicted, [false, false, true, false]);
    assert!(
        !clients[2].begin_serving(),
        "it was served after its eviction"
    );

    assert!(!intake.evict(later, Shortage::Places("health")));
    assert!(intake.evict(later, Shortage::Places(LISTENER)));
    assert!(is_evicted(&clients[3]));
}

fn is_evicted(client: &Client) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_time().build().unwrap();
    let evicted = async { tokio::time::timeout(Duration::ZERO, client.evicted()).await };
    runtime.block_on(evicted).is_ok()
}

/// Guards against calls that pile up because each is abandoned by its caller, who then connects
/// again.
#[test]
fn a_place_is_taken_until_the_request_is_done() {
    let intake = Intake::new(LIMIT_BYTES);
    let places = Places::only(1);
    let client = intake.open(Instant::now(), LISTENER, places.try_take());
    let hold = client.hold();
    drop(client);
    assert_eq!(places.free(), 0);
    drop(hold);
    assert_eq!(places.free(), 1);
}
