//! Lists the commands and dispatches to them.

use std::process::ExitCode;

use clap::Parser;
use rosemarygauge::cmd;

/// Fleet capacity and maintenance manager between callers and upstreams.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    Upstream(Box<cmd::upstream::Args>),
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Upstream(args) => cmd::upstream::run(*args).map_err(|e| e.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("rosemarygauge: {e}");
            ExitCode::FAILURE
        }
    }
}
