//! `serve`: runs an entry instance.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::Args as ClapArgs;
use eyre::{WrapErr, bail};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::Exit;
use crate::config::Settings;
use crate::entry::{Driver, DriverSettings, Listeners, NodeSettings};
use crate::http::OperatorKeys;
use crate::link::PeerKey;
use crate::logs;
use crate::storage::Disk;

/// What `--help` says.
pub const HELP: &str = "\
Run an entry instance: take calls from callers, announcements from upstreams and
changes from operators, together with the other entry instances named in the
settings.

The process runs until SIGTERM or SIGINT. It then tells the balancer, takes
nothing new, lets what is in flight end, and exits with 0. When it is ready it
prints one line of JSON with the addresses it listens on; an address with port 0
in the settings gets a free port.

Example:

    rosemarygauge serve --settings amman-a-1.json";

/// Arguments of `serve`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// Settings file in JSON.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

/// Runs until a signal asks for a planned stop.
///
/// # Errors
/// Wrong settings, a data folder that cannot be used, or an address that cannot
/// be listened on.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    // Before the data folder is opened, which can take seconds: uncaught, a planned stop
    // ends the process as a crash would. Caught, it waits until the instance is up.
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let conf = load(args)?;
    logs::start(&conf.log);
    let disk = match &conf.data_folder {
        Some(folder) => Some(Disk::open(folder)?),
        None => None,
    };
    let listeners = Listeners {
        callers: listen(conf.callers)?,
        upstreams: listen(conf.upstreams)?,
        operators: listen(conf.operators)?,
        peers: listen(conf.peers)?,
    };
    let ready = serde_json::json!({
        "ready": conf.entry,
        "callers": listeners.callers.local_addr()?,
        "upstreams": listeners.upstreams.local_addr()?,
        "operators": listeners.operators.local_addr()?,
        "peers": listeners.peers.local_addr()?,
    });
    let driver = Driver::start(DriverSettings {
        node: node_settings(&conf)?,
        listeners,
        peers: conf.peer_addresses(),
        key: PeerKey::from(conf.peer_key().expose().clone()),
        keys: OperatorKeys::from(conf.operator_keys().expose().clone()),
        disk,
    })?;
    println!("{ready}");
    let stopper = driver.stopper();
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            if signals.forever().next().is_some() {
                tracing::info!("serve: planned stop begins");
                stopper.stop();
            }
        })?;
    driver.join()?;
    tracing::info!("serve: stopped");
    Ok(Exit::Done)
}

fn load(args: &Args) -> eyre::Result<Settings> {
    match Settings::load(&args.settings) {
        Ok(conf) => Ok(conf),
        Err(errors) => {
            for err in &errors {
                eprintln!("{err}");
            }
            bail!("{}: the settings are wrong", args.settings.display())
        }
    }
}

fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("{address}: cannot listen there"))
}

/// What the node is told of the settings.
fn node_settings(conf: &Settings) -> eyre::Result<NodeSettings> {
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis();
    Ok(NodeSettings {
        me: conf.entry.clone(),
        incarnation: u64::try_from(incarnation)?,
        zone: conf.zone.clone(),
        members: conf
            .members
            .iter()
            .map(|member| (member.entry.clone(), member.zone.clone()))
            .collect(),
        voters: conf.voters().map(|member| member.entry.clone()).collect(),
        upstream_lease_ms: conf.upstream_lease_ms,
        refresh_ms: conf.refresh_ms,
        heartbeat_ms: conf.heartbeat_ms,
        election_timeout_ms: conf.election_timeout_ms,
        view_lease_ms: conf.view_lease_ms,
        stop_grace_ms: conf.stop_grace_ms,
        seed: rand::random(),
        ..NodeSettings::default()
    })
}
