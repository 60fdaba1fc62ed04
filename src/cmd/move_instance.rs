//! `move`: brings an instance from one pool to another.

use clap::Args as ClapArgs;

use super::Exit;
use super::client::Conn;
use super::pool::send_fleet;
use crate::maintenance::FleetCommand;
use crate::model::{InstanceName, PoolName};

/// What `--help` says.
pub const HELP: &str = "\
Move an instance to another pool, or undo a move that has not finished.

The instance is drained first. It changes pool only when every entry instance has
provably stopped sending it work of the old pool; `explain instance` says whom a
move waits for. A move that would break the old pool's budget is refused with the
arithmetic.

Example:

    rosemarygauge move w-17 --to scoring --at 127.0.0.1:7301 --token-file token";

/// Arguments of `move`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The instance.
    instance: String,
    /// The pool it is to join.
    #[arg(long, value_name = "POOL", required_unless_present = "undo")]
    to: Option<String>,
    /// Undo the move: the instance stays where it was.
    #[arg(long, conflicts_with = "to")]
    undo: bool,
    /// Id of this change, to send it again after a lost answer.
    #[arg(long, value_name = "ID")]
    change_id: Option<String>,
    #[command(flatten)]
    conn: Conn,
}

/// Starts or undoes a move.
///
/// # Errors
/// No entry instance answered.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let instance = InstanceName::from(args.instance.as_str());
    let (command, done) = match &args.to {
        Some(to) => {
            let to = PoolName::from(to.as_str());
            let done = format!("{instance} drains for its move to {to}");
            (FleetCommand::StartMove { instance, to }, done)
        }
        None => {
            let done = format!("the move of {instance} is undone");
            let reason = "undone by an operator".into();
            (FleetCommand::AbortMove { instance, reason }, done)
        }
    };
    send_fleet(&args.conn, args.change_id.as_deref(), &command, &done)
}
