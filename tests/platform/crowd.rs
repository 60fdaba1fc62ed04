//! Three control instances beside a crowd of clients that connect before they find each
//! other: the log is founded and a leader stands all the same.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use rosemarygauge::control::PeerMessage;
use rosemarygauge::link::{
    Directory, LinkEvent, LinkLimits, Links, LinksConfig, PeerClass, PeerKey,
};
use rosemarygauge::model::EntryName;
use rosemarygauge::places::Places;
use serde_json::{Value, json};

use crate::own_loopback::OwnLoopback;
use crate::path::{CONTROL_PORT, LINK_PORT, Process, configuration, post, until};
use crate::settings::settings;

/// Clients, more than twice the links that a listener once took.
const CROWD: u8 = 150;
const FIRST_CLIENT: u8 = 10;
/// How long after the last control instance's start a change has to be acknowledged.
const LEADER_LIMIT: Duration = Duration::from_secs(6);
/// As the adapter writes it.
const LINK_KEY: &[u8] = b"rosemarygauge links, version 1";

/// Clients that greet all control instances, as often as entry instances do at most, until
/// it is dropped.
struct Crowd {
    clients: Arc<Vec<Links<PeerMessage>>>,
    _greeting: Sender<()>,
}

const GREET_EVERY: Duration = Duration::from_millis(400);

impl Crowd {
    fn gather(at: &OwnLoopback) -> Self {
        let clients = (FIRST_CLIENT..FIRST_CLIENT + CROWD).map(|last| {
            let address = at.address(last, LINK_PORT);
            let conf = LinksConfig {
                me: EntryName::from(address.ip().to_string()),
                key: PeerKey::from(LINK_KEY.to_vec()),
                peers: Directory::ByAddress { port: LINK_PORT },
                class: PeerClass::Client,
                limits: LinkLimits::for_peers(3),
                places: Places::only(3),
            };
            Links::start(conf, TcpListener::bind(address).unwrap(), |_, _| true).unwrap()
        });
        let clients: Arc<Vec<_>> = Arc::new(clients.collect());
        let controls = (1..=3).map(|last| at.address(last, LINK_PORT).ip());
        let controls: Vec<_> = controls.map(|ip| EntryName::from(ip.to_string())).collect();
        let (greeting, over) = channel();
        let greeters = Arc::clone(&clients);
        std::thread::spawn(move || {
            while over.recv_timeout(GREET_EVERY) == Err(RecvTimeoutError::Timeout) {
                greet(&greeters, &controls);
            }
        });
        Self {
            clients,
            _greeting: greeting,
        }
    }

    fn counted(&self, event: LinkEvent) -> u64 {
        let counted = self.clients.iter().map(|c| c.stats().total(event));
        counted.sum()
    }
}

fn greet(clients: &[Links<PeerMessage>], controls: &[EntryName]) {
    for client in clients {
        for control in controls {
            client.send(control, &PeerMessage::Hello { has_folder: false });
        }
    }
}

pub fn start(at: &OwnLoopback, folder: &Path, last: u8, max_fds: usize) -> Process {
    let control = at.address(last, CONTROL_PORT);
    let mut core = settings(&control.ip().to_string(), LINK_PORT);
    let seeds: Vec<String> = (1..=3)
        .map(|last| at.address(last, CONTROL_PORT).to_string())
        .collect();
    core["seeds"] = json!(seeds);
    core["limits"]["max_fds"] = json!(max_fds);
    core["data_dir"] = json!(folder.join(format!("data-{last}")));
    let own = folder.join(format!("settings-{last}"));
    std::fs::create_dir_all(&own).unwrap();
    Process::start("control", &own, &core)
}

/// Waits until a change is acknowledged, for which there has to be a leader.
fn leader_acknowledges(at: &OwnLoopback, version: u64) {
    let began = Instant::now();
    let mut change: Value = configuration();
    change["version"] = json!(version);
    until("an acknowledged change", || {
        (1..=3).find_map(|last| {
            let url = format!("http://{}/Config.Replace", at.address(last, CONTROL_PORT));
            post(&url, &change).filter(|(status, _)| *status == 200)
        })
    });
    let took = began.elapsed();
    assert!(took < LEADER_LIMIT, "{took:?}");
}

/// A crowd that has taken its places before the third voter starts; then all three are killed
/// at once and start again.
fn crowd_first(max_fds: usize, crowd_is_there: impl Fn(&Crowd) -> bool) {
    let folder = tempfile::tempdir().unwrap();
    let at = OwnLoopback::take();
    let crowd = Crowd::gather(&at);
    let mut first = [1, 2].map(|last| start(&at, folder.path(), last, max_fds));
    until("the crowd's links", || crowd_is_there(&crowd).then_some(()));
    // Connections of a crowd that was cut off: open, and nothing comes on them.
    let silent: Vec<TcpStream> = (0..CROWD)
        .map(|n| {
            let to: SocketAddr = at.address(1 + n % 2, LINK_PORT);
            TcpStream::connect(to).unwrap()
        })
        .collect();
    let mut third = start(&at, folder.path(), 3, max_fds);
    leader_acknowledges(&at, 1);

    for process in first.iter_mut().chain([&mut third]) {
        process.signal("-KILL");
        process.end();
    }
    let _again = [1, 2, 3].map(|last| start(&at, folder.path(), last, max_fds));
    leader_acknowledges(&at, 2);
    drop(silent);
}

/// Guards against: 150 clients take the places of the first voters, and no leader stands.
#[test]
fn a_crowd_of_clients_keeps_no_voter_out() {
    let links = 2 * u64::from(CROWD);
    crowd_first(4_096, |crowd| crowd.counted(LinkEvent::Up) >= links);
}

/// Guards against: the same where there are more clients than places.
#[test]
fn more_clients_than_places_keep_no_voter_out() {
    crowd_first(640, |crowd| crowd.counted(LinkEvent::Failed) >= 20);
}
