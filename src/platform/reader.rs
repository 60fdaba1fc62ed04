use serde_json::Value;

use super::SettingsFault;

/// Reads fields of the settings and collects the faults. Unknown fields are ignored because the
/// platform may add some.
#[derive(Debug)]
pub(super) struct SettingsReader<'a> {
    root: &'a Value,
    pub(super) faults: Vec<SettingsFault>,
}

impl<'a> SettingsReader<'a> {
    pub(super) fn new(root: &'a Value) -> Self {
        Self {
            root,
            faults: Vec::new(),
        }
    }

    /// Returns the value at a dotted path. A null counts as absent.
    pub(super) fn value(&self, field: &str) -> Option<&'a Value> {
        let mut value = self.root;
        for name in field.split('.') {
            value = value.get(name)?;
        }
        (!value.is_null()).then_some(value)
    }

    /// Reads a field and records a fault if it is missing or wrong.
    pub(super) fn required<T>(
        &mut self,
        field: &str,
        wanted: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let found = self.optional(field, wanted, read);
        if self.value(field).is_none() {
            self.faults.push(SettingsFault::Missing {
                field: field.to_owned(),
                wanted,
            });
        }
        found
    }

    /// Reads a field that may be absent and records a fault if it is wrong.
    pub(super) fn optional<T>(
        &mut self,
        field: &str,
        wanted: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let value = self.value(field)?;
        let found = read(value);
        if found.is_none() {
            self.faults.push(SettingsFault::Wrong {
                field: field.to_owned(),
                found: value.to_string(),
                wanted,
            });
        }
        found
    }

    /// Reads a required field in milliseconds.
    pub(super) fn required_ms(&mut self, field: &str) -> Option<u64> {
        self.required(field, "a whole number of milliseconds", Value::as_u64)
    }

    /// Reads a required field in seconds and returns it in milliseconds.
    pub(super) fn required_s_as_ms(&mut self, field: &str) -> Option<u64> {
        self.required(field, "a number of seconds, 0 or more", seconds_as_ms)
    }
}

fn seconds_as_ms(value: &Value) -> Option<u64> {
    let seconds = value.as_f64().filter(|s| (0.0..1e9).contains(s))?;
    Some((seconds * 1_000.0).round() as u64)
}
