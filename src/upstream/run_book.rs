use super::{RunEnd, RunRecord};

/// Every run of a stand-in process, kept until it exits.
#[derive(Debug, Default)]
pub struct RunBook {
    runs: Vec<RunRecord>,
}

impl RunBook {
    /// Records a start; sets and returns the run's number.
    pub fn start(&mut self, mut record: RunRecord) -> u64 {
        let run = self.runs.len() as u64;
        record.run = run;
        self.runs.push(record);
        run
    }

    /// Records an end. The first end counts.
    pub fn end(&mut self, now_ms: u64, run: u64, end: RunEnd) {
        let record = usize::try_from(run).ok().and_then(|i| self.runs.get_mut(i));
        if let Some(record) = record.filter(|record| record.end == RunEnd::Running) {
            record.end = end;
            record.ended_ms = Some(now_ms);
        }
    }

    /// The runs in the order of their starts.
    pub fn runs(&self) -> &[RunRecord] {
        &self.runs
    }

    /// The runs of one instance, or of all, as JSON lines.
    pub fn to_json_lines(&self, instance: Option<&str>) -> String {
        let mut out = String::new();
        for record in &self.runs {
            if instance.is_none_or(|name| name == record.instance) {
                // A record holds only strings and numbers, so it always serialises.
                out.push_str(&serde_json::to_string(record).unwrap_or_default());
                out.push('\n');
            }
        }
        out
    }
}
