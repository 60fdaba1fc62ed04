//! Bootstrap and leader election of three control instances while a crowd of clients takes
//! their connections first.

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

use crate::deployment::settings;
use crate::deployment::{CONTROL_PORT, LINK_PORT, Process, configuration, post, until};
use crate::own_loopback::OwnLoopback;

/// Number of clients. It is more than twice the former limit on links of a listener.
const CLIENTS: u8 = 150;
const FIRST_CLIENT: u8 = 10;
/// Time after the start of the last control instance in which a change has to be acknowledged.
const LEADER_TIMEOUT: Duration = Duration::from_secs(6);
/// The adapter's link key.
const LINK_KEY: &[u8] = b"rosemarygauge links, version 1";

/// Clients that send `Hello` to all control instances, at the highest rate of entry instances,
/// until it is dropped.
struct Crowd {
    clients: Arc<Vec<Links<PeerMessage>>>,
    /// Dropping it ends the thread that sends the messages.
    _stop: Sender<()>,
}

const HELLO_INTERVAL: Duration = Duration::from_millis(400);

impl Crowd {
    fn start(at: &OwnLoopback) -> Self {
        let clients = (FIRST_CLIENT..FIRST_CLIENT + CLIENTS).map(|last| {
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
        let (stop, stopped) = channel();
        let senders = Arc::clone(&clients);
        std::thread::spawn(move || {
            while stopped.recv_timeout(HELLO_INTERVAL) == Err(RecvTimeoutError::Timeout) {
                send_hellos(&senders, &controls);
            }
        });
        Self {
            clients,
            _stop: stop,
        }
    }

    fn total(&self, event: LinkEvent) -> u64 {
        let totals = self.clients.iter().map(|c| c.stats().total(event));
        totals.sum()
    }
}

fn send_hellos(clients: &[Links<PeerMessage>], controls: &[EntryName]) {
    for client in clients {
        for control in controls {
            client.send(control, &PeerMessage::Hello { has_folder: false });
        }
    }
}

/// Starts one of three control instances.
pub fn start(at: &OwnLoopback, folder: &Path, last: u8, max_fds: usize) -> Process {
    let control = at.address(last, CONTROL_PORT);
    let mut conf = settings(&control.ip().to_string(), LINK_PORT);
    let seeds: Vec<String> = (1..=3)
        .map(|last| at.address(last, CONTROL_PORT).to_string())
        .collect();
    conf["seeds"] = json!(seeds);
    conf["limits"]["max_fds"] = json!(max_fds);
    conf["data_dir"] = json!(folder.join(format!("data-{last}")));
    let own = folder.join(format!("settings-{last}"));
    std::fs::create_dir_all(&own).unwrap();
    Process::start("control", &own, &conf)
}

/// Checks that a change is acknowledged in time, which needs a leader.
fn assert_leader_acknowledges(at: &OwnLoopback, version: u64) {
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
    assert!(took < LEADER_TIMEOUT, "{took:?}");
}

/// Starts a crowd that takes its slots before the third voter starts, and checks that a leader is
/// elected. Then kills all three voters at once, restarts them and checks again.
fn elects_leader_after_crowd(max_fds: usize, is_connected: impl Fn(&Crowd) -> bool) {
    let folder = tempfile::tempdir().unwrap();
    let at = OwnLoopback::take();
    let crowd = Crowd::start(&at);
    let mut first = [1, 2].map(|last| start(&at, folder.path(), last, max_fds));
    until("the crowd's links", || is_connected(&crowd).then_some(()));
    // Half-open connections, as a network partition leaves them: open, without any data.
    let silent: Vec<TcpStream> = (0..CLIENTS)
        .map(|n| {
            let to: SocketAddr = at.address(1 + n % 2, LINK_PORT);
            TcpStream::connect(to).unwrap()
        })
        .collect();
    let mut third = start(&at, folder.path(), 3, max_fds);
    assert_leader_acknowledges(&at, 1);

    for process in first.iter_mut().chain([&mut third]) {
        process.signal("-KILL");
        process.end();
    }
    let _again = [1, 2, 3].map(|last| start(&at, folder.path(), last, max_fds));
    assert_leader_acknowledges(&at, 2);
    drop(silent);
}

/// Guards against 150 clients that take the slots of the initial voters, so that no leader is
/// elected.
#[test]
fn a_leader_is_elected_beside_a_crowd_of_clients() {
    let links = 2 * u64::from(CLIENTS);
    elects_leader_after_crowd(4_096, |crowd| crowd.total(LinkEvent::Up) >= links);
}

/// Guards against the same failure with more clients than slots.
#[test]
fn a_leader_is_elected_beside_more_clients_than_slots() {
    elects_leader_after_crowd(640, |crowd| crowd.total(LinkEvent::Failed) >= 20);
}
