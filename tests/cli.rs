//! The operators' commands as an operator runs them.
#![allow(missing_docs, clippy::unwrap_used)]

mod support;

use std::io::Read;
use std::process::Stdio;

use support::{System, command};

/// An operator looks at the first lines of a long answer. The rest has no reader,
/// which is no fault of the command: it must not panic.
#[test]
fn a_reader_that_has_seen_enough_is_no_fault() {
    let system = System::start(1);
    let mut child = command(&["status", "--at", &system.entries[0].operators.to_string()])
        .arg("--token-file")
        .arg(system.token_file())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let mut said = String::new();
    let mut stderr = child.stderr.take().unwrap();
    stderr.read_to_string(&mut said).unwrap();
    assert!(child.wait().unwrap().success(), "{said}");
    assert_eq!(said, "");
}
