//! Lists the commands and dispatches to them.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use rosemarygauge::cmd;

/// Exit code of a command that could not do its work; 1 means that it did, and
/// the answer was a refusal or a fault found.
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
    /// See it all at work, in one process.
    #[command(long_about = cmd::demo::HELP)]
    Demo(cmd::demo::Args),
    /// Run an entry instance.
    #[command(long_about = cmd::serve::HELP)]
    Serve(cmd::serve::Args),
    /// Run an instance on machines whose platform writes its settings.
    #[command(long_about = cmd::platform::HELP)]
    Platform(cmd::platform::Args),
    /// Check a settings file.
    #[command(long_about = cmd::check::HELP)]
    Check(cmd::check::Args),
    /// Fetch, check or change the table of weights and limits.
    #[command(long_about = cmd::table::HELP)]
    Table(cmd::table::Args),
    /// List pools and their budgets, or change them.
    #[command(long_about = cmd::pool::HELP)]
    Pool(cmd::pool::Args),
    /// Move an instance to another pool.
    #[command(long_about = cmd::move_instance::HELP)]
    Move(cmd::move_instance::Args),
    /// Take an instance out of service, or let it serve again.
    #[command(long_about = cmd::drain::HELP)]
    Drain(cmd::drain::Args),
    /// Plan, start, stop or look at a maintenance wave.
    #[command(long_about = cmd::wave::HELP)]
    Wave(cmd::wave::Args),
    /// Print how the system is.
    #[command(long_about = cmd::status::HELP)]
    Status(cmd::status::Args),
    /// Print what was decided, when and why.
    #[command(long_about = cmd::explain::HELP)]
    Explain(cmd::explain::Args),
    /// Measure the decisions against naive ones and against their bounds.
    #[command(long_about = cmd::measure::HELP)]
    Measure(cmd::measure::Args),
    /// Compare policies on emulated fleets.
    #[command(long_about = cmd::lab::HELP)]
    Lab(cmd::lab::Args),
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
    match run(&Cli::parse().command) {
        Ok(exit) => exit.into(),
        Err(err) => {
            eprintln!("rosemarygauge: {}", one_line(&err));
            ExitCode::from(FAILED)
        }
    }
}

fn run(command: &Command) -> eyre::Result<cmd::Exit> {
    match command {
        Command::Demo(args) => cmd::demo::run(args),
        Command::Serve(args) => cmd::serve::run(args),
        Command::Platform(args) => cmd::platform::run(args),
        Command::Check(args) => cmd::check::run(args),
        Command::Table(args) => cmd::table::run(args),
        Command::Pool(args) => cmd::pool::run(args),
        Command::Move(args) => cmd::move_instance::run(args),
        Command::Drain(args) => cmd::drain::run(args),
        Command::Wave(args) => cmd::wave::run(args),
        Command::Status(args) => cmd::status::run(args),
        Command::Explain(args) => cmd::explain::run(args),
        Command::Measure(args) => cmd::measure::run(args),
        Command::Lab(args) => cmd::lab::run(args),
        Command::Load(args) => cmd::load::run(args),
        Command::Upstream(args) => cmd::upstream::run(args),
        Command::Proxy(args) => cmd::proxy::run(args),
    }
}

/// The error with its causes, less those that a line before them tells already.
fn one_line(err: &eyre::Report) -> String {
    let mut line = String::new();
    for cause in err.chain().map(ToString::to_string) {
        if line.is_empty() {
            line = cause;
        } else if !line.contains(&cause) {
            line = format!("{line}: {cause}");
        }
    }
    line
}
