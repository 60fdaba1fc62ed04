use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};

use super::until;

/// A real process of the binary; killed when dropped.
pub struct Process {
    child: Child,
    /// The JSON line it printed when it was ready.
    pub ready: serde_json::Value,
}

impl Process {
    /// Starts it and waits for its line.
    pub fn start(args: &[&str]) -> Self {
        let mut child = command(args).stdout(Stdio::piped()).spawn().unwrap();
        let mut line = String::new();
        let mut rdr = BufReader::new(child.stdout.take().unwrap());
        rdr.read_line(&mut line).unwrap();
        let ready = serde_json::from_str(&line)
            .unwrap_or_else(|e| panic!("{args:?} printed {line:?} when it should be ready: {e}"));
        // Reads on, since a full pipe would stop the process.
        std::thread::spawn(move || std::io::copy(&mut rdr, &mut std::io::sink()));
        Self { child, ready }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Planned stop.
    pub fn term(&self) {
        self.signal("-TERM");
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Freezes it: its sockets stay open and silent.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for its end.
    pub fn exit(&mut self, deadline_ms: u64) -> ExitStatus {
        let mut status = None;
        until(deadline_ms, "the process ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    fn signal(&self, signal: &str) {
        let pid = self.pid().to_string();
        let done = Command::new("kill").args([signal, &pid]).status().unwrap();
        assert!(done.success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The binary with its arguments.
pub fn command(args: &[&str]) -> Command {
    let program = match args.first() {
        Some(&"serve") => super::other_build::program(),
        _ => env!("CARGO_BIN_EXE_rosemarygauge").into(),
    };
    let mut command = Command::new(program);
    command.args(args).stdin(Stdio::null());
    command
}
