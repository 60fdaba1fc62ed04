//! `serve`: runs an entry instance.

use std::net::TcpListener;
use std::path::PathBuf;

use clap::Args as ClapArgs;
use eyre::WrapErr;
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::config::Settings;
use super::Exit;
use crate::entry::{Driver, DriverSettings, Listeners};
use crate::logs;

/// What `--help` says.
pub const HELP: &str = "\
Run an entry instance: take calls from callers, announcements from upstreams and
changes from operators, together with the other entry instances named in the
settings.

The process runs until SIGTERM or SIGINT. It then takes nothing new, lets what is
in flight end, and exits with 0. When it is ready it prints one line of JSON with
the addresses it listens on; an address with port 0 in the settings gets a free
port.

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
/// Wrong settings, or an address that cannot be listened on.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let conf = Settings::load(&args.settings)?;
    logs::start(&conf.log);
    let listeners = Listeners {
        callers: listen(&conf.callers)?,
        upstreams: listen(&conf.upstreams)?,
        operators: listen(&conf.operators)?,
        peers: listen(&conf.peers)?,
    };
    let ready = serde_json::json!({
        "ready": conf.entry,
        "callers": listeners.callers.local_addr()?,
        "upstreams": listeners.upstreams.local_addr()?,
        "operators": listeners.operators.local_addr()?,
        "peers": listeners.peers.local_addr()?,
    });
    let mut signals = signal_hook::iterator::Signals::new([SIGINT, SIGTERM])?;
    let driver = Driver::start(DriverSettings {
        node: conf.node()?,
        listeners,
        peers: conf.peer_addresses()?,
        key: conf.peer_key()?,
        keys: conf.operator_keys()?,
        disk: None,
    })?;
    println!("{ready}");
    if signals.forever().next().is_some() {
        tracing::info!("serve: planned stop begins");
        driver.stop();
    }
    driver.join();
    tracing::info!("serve: stopped");
    Ok(Exit::Done)
}

fn listen(address: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| format!("{address}: cannot listen there"))
}
