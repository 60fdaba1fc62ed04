//! Lists the commands and dispatches to them.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use rosemarygauge::cmd;

/// Exit code of a command that could not do its work; 1 means that it did, and
/// found something wrong.
const FAILED: u8 = 2;

/// Fleet capacity and maintenance manager between callers and upstreams.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an entry instance.
    #[command(long_about = cmd::serve::HELP)]
    Serve(cmd::serve::Args),
    /// Send open-loop load and account for every request.
    #[command(long_about = cmd::load::HELP)]
    Load(Box<cmd::load::Args>),
    /// Run stand-in upstreams that prove what they ran.
    #[command(long_about = cmd::upstream::HELP)]
    Upstream(Box<cmd::upstream::Args>),
    /// Run TCP links with faults that are switched while they run.
    #[command(long_about = cmd::proxy::HELP)]
    Proxy(cmd::proxy::Args),
}

fn main() -> ExitCode {
    let clean = match Cli::parse().command {
        Command::Serve(args) => cmd::serve::run(&args).map(|()| true),
        Command::Load(args) => cmd::load::run(&args),
        Command::Upstream(args) => cmd::upstream::run(&args).map(|()| true),
        Command::Proxy(args) => cmd::proxy::run(&args).map(|()| true),
    };
    match clean {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("rosemarygauge: {err:#}");
            ExitCode::from(FAILED)
        }
    }
}
