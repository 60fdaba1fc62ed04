//! `explain`: what was decided, when and why.

use clap::{Args as ClapArgs, ValueEnum};

use super::Exit;
use super::client::{Conn, show};

/// What `--help` says.
pub const HELP: &str = "\
Print what was decided about one thing, when and why: a request (written
`team/caller/key`, or a patient job's id), an instance, a pool, a wave, or a row (written
`service/zone`, or a team's name).

The last decisions are kept, not all: how many were left out is said.

Example:

    rosemarygauge explain instance w-17 --at 127.0.0.1:7301 --token-file token
    rosemarygauge explain row scoring/amman-a --at 127.0.0.1:7301 --token-file token";

/// Arguments of `explain`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The kind of thing.
    #[arg(value_enum)]
    kind: Kind,
    /// Its name.
    name: String,
    #[command(flatten)]
    conn: Conn,
}

/// What can be explained.
#[derive(Clone, Copy, Debug, ValueEnum, derive_more::Display)]
enum Kind {
    /// A request, by team, caller and key, or a job id.
    #[display("request")]
    Request,
    /// An instance.
    #[display("instance")]
    Instance,
    /// A pool.
    #[display("pool")]
    Pool,
    /// A wave.
    #[display("wave")]
    Wave,
    /// A row of the table.
    #[display("row")]
    Row,
}

/// Prints the decisions.
///
/// # Errors
/// No entry instance answered.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let answer = args
        .conn
        .get(&format!("/explain/{}/{}", args.kind, args.name))?;
    show(&args.conn, &answer)?;
    Ok(if answer.accepted {
        Exit::Done
    } else {
        Exit::Refused
    })
}
