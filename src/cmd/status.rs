//! `status`: how the system is.

use clap::Args as ClapArgs;
use serde_json::Value;

use super::Exit;
use super::client::Conn;

/// What `--help` says.
pub const HELP: &str = "\
Print how the system is, as one entry instance sees it: the leader and whether its
news are fresh, the peers and how far they follow, the pools' budgets, what waits
and what is in flight.

Example:

    rosemarygauge status --at 127.0.0.1:7301 --token-file token";

/// Arguments of `status`.
#[derive(ClapArgs, Debug)]
pub struct Args {
    #[command(flatten)]
    conn: Conn,
}

/// Prints the status.
///
/// # Errors
/// No entry instance answered.
pub fn run(args: &Args) -> eyre::Result<Exit> {
    let answer = args.conn.get("/status")?;
    if args.conn.json() {
        print!("{}", answer.text);
    } else {
        print_tree(&answer.value()?, 0);
    }
    Ok(Exit::Done)
}

/// Prints a value as indented lines, a name and a value each.
pub fn print_tree(value: &Value, depth: usize) {
    let indent = "  ".repeat(depth);
    let Value::Object(fields) = value else {
        println!("{indent}{}", plain(value));
        return;
    };
    for (name, value) in fields {
        match value {
            Value::Object(inner) if !inner.is_empty() => {
                println!("{indent}{name}:");
                print_tree(value, depth + 1);
            }
            Value::Array(list) if list.iter().any(Value::is_object) => {
                println!("{indent}{name}:");
                for item in list {
                    print_tree(item, depth + 1);
                    println!();
                }
            }
            _ => println!("{indent}{name}: {}", plain(value)),
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => "none".into(),
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(plain).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}
