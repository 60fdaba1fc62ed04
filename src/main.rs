//! Lists the commands and dispatches to them.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use rosemarygauge::cmd;

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
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Serve(args) => cmd::serve::run(&args),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("rosemarygauge: {err:#}");
            ExitCode::FAILURE
        }
    }
}
