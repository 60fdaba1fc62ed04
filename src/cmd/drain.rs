//! `drain`: takes an instance out of service, or lets it serve again.

use clap::Args as ClapArgs;

use super::Exit;
use super::client::Conn;
use super::pool::send_fleet;
use crate::maintenance::FleetCommand;
use crate::model::InstanceName;

/// What `--help` says.
pub const HELP: &str = "\
Take an instance out of service: it gets nothing new and what runs may finish.

A drain that would break its pool's budget is refused with the arithmetic. --undo
lets a drained instance serve again; --restore does so for one that was set aside
because it did not come back or came back sick.

Example:

    rosemarygauge drain w-17 --at 127.0.0.1:7301 --token-file token
    rosemarygauge drain w-17 --undo --at 127.0.0.1:7301 --token-file token";

/// Arguments of `drain`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    /// The instance.
    instance: String,
    /// Let it serve again.
    #[arg(long)]
    undo: bool,
    /// Let an instance that was set aside serve again.
    #[arg(long, conflicts_with = "undo")]
    restore: bool,
    /// Id of this change, to send it again after a lost answer.
    #[arg(long, value_name = "ID")]
    change_id: Option<String>,
    #[command(flatten)]
    conn: Conn,
}

/// Drains an instance or ends its drain.
///
/// # Errors
/// No entry instance answered.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let instance = InstanceName::from(args.instance.as_str());
    let (command, done) = if args.undo {
        let done = format!("{instance} serves again");
        (FleetCommand::Undrain { instance }, done)
    } else if args.restore {
        let done = format!("{instance} is given back to its pool");
        (FleetCommand::Restore { instance }, done)
    } else {
        let done = format!("{instance} drains");
        (FleetCommand::Drain { instance }, done)
    };
    send_fleet(&args.conn, args.change_id.as_deref(), &command, &done)
}
