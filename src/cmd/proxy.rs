//! `proxy`: TCP links with faults that are switched while they run.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::str::FromStr;
use std::sync::Arc;

use http::{Method, Response, StatusCode};
use serde::Deserialize;
use signal_hook::consts::{SIGINT, SIGTERM};
use tokio::sync::watch;

use crate::cmd::Exit;
use crate::http::{Handler, HttpServer, Incoming, Limits};
use crate::proxy::{Hub, Link, LinkFaults};

/// What `--help` says.
pub const HELP: &str = "\
Run TCP links with faults that can be switched while they run, for trials on
loopback.

Each link listens on one address and passes connections on to another. One line
of JSON with the control address goes to standard output when all listen. There,
links are numbered from 0 in the order of the arguments; none named means all:

  POST /faults   {\"links\":[0],\"faults\":{\"backward\":\"hold\"}}
                 accept: pass, refuse or reset; forward and backward: pass or
                 hold; delay_ms; reset_after_forward_bytes and
                 reset_after_backward_bytes; what is left out is healthy
  POST /silence  {\"links\":[0]}   what is open now never carries a byte again
  POST /reset    {\"links\":[0]}   what is open now is reset

Each byte passes through one thread of this process, so this is the wrong tool
for measuring throughput.

Example:

  rosemarygauge proxy --link 127.0.0.1:9101=127.0.0.1:7101";

/// Arguments of `proxy`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Where to listen and what to pass connections on to.
    #[arg(long, required = true, value_name = "LISTEN=TARGET")]
    link: Vec<Route>,
}

/// One `LISTEN=TARGET`.
#[derive(Clone, Copy, Debug)]
struct Route {
    listen: SocketAddr,
    target: SocketAddr,
}

impl FromStr for Route {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (listen, target) = text.split_once('=').ok_or("give LISTEN=TARGET")?;
        let address = |text: &str| text.parse().map_err(|_| format!("{text}: give IP:port"));
        Ok(Self {
            listen: address(listen)?,
            target: address(target)?,
        })
    }
}

/// Body of the control requests.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    #[serde(default)]
    links: Vec<usize>,
    #[serde(default)]
    faults: LinkFaults,
}

/// Runs until SIGTERM or SIGINT.
///
/// # Errors
/// An address cannot be listened on.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let hub = Hub::start()?;
    let links = args
        .link
        .iter()
        .map(|route| hub.link(route.listen, route.target))
        .collect::<io::Result<Vec<_>>>()?;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addresses: Vec<_> = links.iter().map(|link| link.address()).collect();
    let ready = serde_json::json!({ "control": listener.local_addr()?, "links": addresses });
    let mut signals = signal_hook::iterator::Signals::new([SIGINT, SIGTERM])?;
    let server = HttpServer::new("control", listener, Limits::default(), handler(links));
    let (stop, stopped) = watch::channel(false);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let control = std::thread::spawn(move || runtime.block_on(server.run(stopped)));
    writeln!(io::stdout(), "{ready}")?;
    signals.forever().next();
    stop.send_replace(true);
    // A panic in it was printed already.
    let _ = control.join();
    Ok(Exit::Done)
}

fn handler(links: Vec<Link>) -> Handler {
    crate::http::handler(Arc::new(links), |links, incoming| async move {
        answer(&links, &incoming)
    })
}

fn answer(links: &[Link], incoming: &Incoming) -> Response<http_body_util::Full<bytes::Bytes>> {
    let (status, text) = match change(links, incoming) {
        Ok(()) => (StatusCode::OK, String::new()),
        Err(reason) => (StatusCode::BAD_REQUEST, reason),
    };
    let mut reply = Response::new(text.into());
    *reply.status_mut() = status;
    reply
}

fn change(links: &[Link], incoming: &Incoming) -> Result<(), String> {
    let change: Change = serde_json::from_slice(&incoming.body).map_err(|e| e.to_string())?;
    if let Some(number) = change.links.iter().find(|number| **number >= links.len()) {
        return Err(format!("link {number}: there are only {}", links.len()));
    }
    let chosen = links
        .iter()
        .enumerate()
        .filter(|(number, _)| change.links.is_empty() || change.links.contains(number));
    for (_, link) in chosen {
        match (&incoming.head.method, incoming.head.uri.path()) {
            (&Method::POST, "/faults") => link.set(change.faults.clone()),
            (&Method::POST, "/silence") => link.silence_open(),
            (&Method::POST, "/reset") => link.reset_open(),
            _ => return Err("POST /faults, /silence or /reset".to_owned()),
        }
    }
    Ok(())
}
