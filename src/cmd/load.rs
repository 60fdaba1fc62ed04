//! `load`: open-loop load and its closing account.

use serde::Serialize;

use super::Exit;
use crate::account::{
    Account, Error, Experiment, Mix, Outcome, Plan, Quantiles, ServiceShare, TeamShare, fetch_runs,
};
use crate::unix_time::unix_ms;

/// What `--help` says.
pub const HELP: &str = "\
Sends requests at their due moments, whether or not earlier ones were answered,
to the entry instances in turn, as a balancer would: one that refuses the
connection is passed over for the next. Latency counts from the due moment.

At the end an account compares what callers were told with what the stand-in
upstreams say they ran (--upstream-control): lost, doubled, mixed up, told
not-run although it ran. The exit code is 0 if there is none of these, 1 if
there is, 2 if an argument is wrong.

Each request in flight holds a thread (--threads). Too few delay requests; the
report says how many were sent late. Each request is kept until the account
(about 1 KB), so this is no tool for runs of days.

Example: 300 requests a second for 20 s, a fifth of them not idempotent:

  rosemarygauge load --entry 127.0.0.1:7101 --entry 127.0.0.1:7201 \\
      --service eligibility:urgent:4 --service archiving:patient:1 \\
      --rate 300 --duration-ms 20000 --not-idempotent 20 --resend 3 \\
      --upstream-control 127.0.0.1:46337";

/// Arguments of `load`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Caller address of an entry instance.
    #[arg(long, required = true, value_name = "ADDR")]
    entry: Vec<String>,
    /// Control address of a stand-in process whose runs are compared.
    #[arg(long, value_name = "ADDR")]
    upstream_control: Vec<String>,
    /// Service with its class (urgent or patient) and weight.
    #[arg(long, required = true, value_name = "NAME:CLASS:WEIGHT")]
    service: Vec<ServiceShare>,
    /// Team with its weight and number of callers.
    #[arg(long, default_value = "team:1:10", value_name = "NAME:WEIGHT:CALLERS")]
    team: Vec<TeamShare>,
    /// Requests a second.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// How long requests are sent, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    duration_ms: u64,
    /// Deadline of urgent requests in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    deadline_ms: u64,
    /// Deadline of patient requests in milliseconds.
    #[arg(long, default_value_t = 600_000)]
    patient_deadline_ms: u64,
    /// Share of requests that may run at most once and carry a key.
    #[arg(long, default_value_t = 0, value_name = "PERCENT")]
    not_idempotent: u32,
    /// Share of keyed requests sent twice at once through different entries.
    #[arg(long, default_value_t = 0, value_name = "PERCENT")]
    twins: u32,
    /// Share of requests whose caller goes away.
    #[arg(long, default_value_t = 0, value_name = "PERCENT")]
    cancel: u32,
    /// When such a caller goes away, in milliseconds after sending.
    #[arg(long, default_value_t = 10)]
    cancel_after_ms: u64,
    /// Times a request is sent again, under the same key, after a lost answer.
    #[arg(long, default_value_t = 0)]
    resend: u32,
    /// Size of a body in bytes.
    #[arg(long, default_value_t = 64)]
    body_bytes: usize,
    /// Requests that may be in flight at once.
    #[arg(long, default_value_t = 256)]
    threads: usize,
    /// How long accepted patient jobs may take after the last request.
    #[arg(long, default_value_t = 30_000)]
    settle_ms: u64,
    /// How often a patient job is asked for, in milliseconds.
    #[arg(long, default_value_t = 200)]
    poll_ms: u64,
    /// Seed of what is sent and when.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Part of all keys and bodies; by default the time of the start. The same
    /// label and seed send the same keys again.
    #[arg(long)]
    label: Option<String>,
    /// Print the report as JSON.
    #[arg(long)]
    json: bool,
}

/// What is printed at the end.
#[derive(Debug, Serialize)]
struct Report {
    account: Account,
    latency: Vec<Quantiles>,
    sent_late: u64,
    took_ms: u64,
    answers_per_s: u64,
}

/// Runs the experiment; true if the account is clean.
///
/// # Errors
/// An argument is wrong, a thread could not be started, or a stand-in did not
/// say what it ran.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let outcome = experiment(args)?.run()?;
    let report = report(args, &outcome)?;
    if args.json {
        // A report holds only strings and numbers, so it always serialises.
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print(&report);
    }
    Ok(if report.account.is_clean() {
        Exit::Done
    } else {
        Exit::Faults
    })
}

fn experiment(args: &Args) -> Result<Experiment, Error> {
    if args.rate.is_nan() || args.rate <= 0.0 {
        let reason = format!("--rate {}: give a number above 0", args.rate);
        return Err(Error::Argument(reason));
    }
    let mix = Mix {
        services: args.service.clone(),
        teams: args.team.clone(),
        not_idempotent_percent: args.not_idempotent,
        twin_percent: args.twins,
        cancel_percent: args.cancel,
        cancel_after_ms: args.cancel_after_ms,
        body_bytes: args.body_bytes,
    };
    let label = args
        .label
        .clone()
        .unwrap_or_else(|| format!("{:x}", unix_ms()));
    Ok(Experiment {
        plan: Plan::new(mix, args.rate, args.duration_ms, &label, args.seed),
        entries: args.entry.clone(),
        keys_are_new: args.label.is_none(),
        deadline_ms: args.deadline_ms,
        patient_deadline_ms: args.patient_deadline_ms,
        resends: args.resend,
        threads: args.threads,
        settle_ms: args.settle_ms,
        poll_ms: args.poll_ms,
    })
}

fn report(args: &Args, outcome: &Outcome) -> Result<Report, Error> {
    let runs = if args.upstream_control.is_empty() {
        None
    } else {
        Some(fetch_runs(&args.upstream_control)?)
    };
    let account = Account::draw(&outcome.ledger, runs.as_deref());
    let latency = outcome.latency.quantiles();
    let answers: u64 = latency.iter().map(|q| q.count).sum();
    Ok(Report {
        account,
        latency,
        sent_late: outcome.sent_late,
        took_ms: outcome.took_ms,
        answers_per_s: answers * 1_000 / outcome.took_ms.max(1),
    })
}

fn print(report: &Report) {
    print!("{}", report.account);
    println!(
        "took {} ms, {} answers a second",
        report.took_ms, report.answers_per_s
    );
    if report.sent_late > 0 {
        println!("{} sent late: use more --threads", report.sent_late);
    }
    println!("class    answer       count    p50 µs    p90 µs    p99 µs  p99.9 µs    max µs");
    for q in &report.latency {
        println!(
            "{:<8} {:<9}{:>9}{:>10}{:>10}{:>10}{:>10}{:>10}",
            q.class, q.answer, q.count, q.p50_us, q.p90_us, q.p99_us, q.p999_us, q.max_us
        );
    }
}
