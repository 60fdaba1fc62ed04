//! One of the real programs as a process of its own, ended by its id.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// A planned stop ends within the grace of 6 s, and some for a busy machine.
const STOP_LIMIT: Duration = Duration::from_secs(20);

pub struct Process {
    role: &'static str,
    pub name: String,
    settings: Value,
    folder: PathBuf,
    child: Option<Child>,
    paused: bool,
    starts: usize,
}

impl Process {
    /// It is not started yet; settings and logs go to the folder.
    pub fn new(role: &'static str, name: &str, folder: &Path, settings: Value) -> Self {
        Self {
            role,
            name: name.to_owned(),
            settings,
            folder: folder.to_owned(),
            child: None,
            paused: false,
            starts: 0,
        }
    }

    pub fn is_up(&self) -> bool {
        self.child.is_some()
    }

    pub fn start(&mut self) {
        if self.child.is_some() {
            return;
        }
        let log = File::create(self.log_file(self.starts)).unwrap();
        self.write_settings();
        let child = Command::new(crate::other_build::program())
            .args(["platform", self.role])
            .env("ROSEMARYGAUGE_CONFIG", self.settings_file())
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn();
        self.child = Some(child.unwrap());
        self.starts += 1;
        // Whatever starts again does not start for the first time.
        self.settings["bootstrap"] = json!(false);
    }

    /// SIGKILL; `true` if it ran until then.
    pub fn kill(&mut self) -> bool {
        self.resume();
        let Some(mut child) = self.child.take() else {
            return false;
        };
        let ran = matches!(child.try_wait(), Ok(None));
        child.kill().unwrap();
        child.wait().unwrap();
        ran
    }

    /// SIGTERM, and how the process ended; none if it did not in time.
    pub fn terminate(&mut self) -> Option<ExitStatus> {
        self.resume();
        self.signal("TERM");
        let mut child = self.child.take()?;
        let end = Instant::now() + STOP_LIMIT;
        while Instant::now() < end {
            if let Ok(Some(status)) = child.try_wait() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        child.kill().unwrap();
        child.wait().unwrap();
        None
    }

    pub fn pause(&mut self) {
        if self.child.is_some() {
            self.signal("STOP");
            self.paused = true;
        }
    }

    pub fn resume(&mut self) {
        if std::mem::take(&mut self.paused) {
            self.signal("CONT");
        }
    }

    /// Its data folder is lost; it must not run.
    pub fn wipe(&mut self) {
        assert!(self.child.is_none(), "a running process keeps its folder");
        if let Some(data) = self.settings["data_dir"].as_str() {
            std::fs::remove_dir_all(data).unwrap();
            std::fs::create_dir(data).unwrap();
        }
    }

    /// The time of day jumps while it runs.
    pub fn step_clock(&mut self, offset_ms: i64) {
        self.settings["clock_offset_ms"] = json!(offset_ms);
        self.write_settings();
        // Before its first line the program may not run yet, and nobody can catch the
        // signal; it then starts with either time of day.
        if self.has_begun() {
            self.signal("HUP");
        }
    }

    fn has_begun(&self) -> bool {
        let log = self.log_file(self.starts.saturating_sub(1));
        std::fs::metadata(log).is_ok_and(|log| log.len() > 0)
    }

    fn log_file(&self, start: usize) -> PathBuf {
        self.folder.join(format!("{}-{start}.log", self.name))
    }

    /// Processor time so far, in milliseconds; none if it does not run.
    pub fn processor_ms(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // After the name in brackets: user and system time are the 12th and 13th fields,
        // in hundredths of a second.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |at: usize| fields.get(at)?.parse::<u64>().ok();
        Some((ticks(11)? + ticks(12)?) * 10)
    }

    /// A process that ended by itself is started again.
    pub fn watch(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        self.start();
        Some(status)
    }

    fn settings_file(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    /// A process that starts again reads the file while it is written anew for a step of
    /// the clock: it found it empty and ended with "settings: not JSON (EOF ...)", which
    /// counts as a crash. A rename leaves either the old text or the new one.
    fn write_settings(&self) {
        let beside = self.folder.join(format!("{}.json.new", self.name));
        std::fs::write(&beside, self.settings.to_string()).unwrap();
        std::fs::rename(beside, self.settings_file()).unwrap();
    }

    fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let sent = Command::new("kill")
                .args([&format!("-{name}"), &pid])
                .status();
            sent.unwrap();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
