use serde_json::Value;

use super::SettingsFault;

/// Reads fields out of the settings and notes what is missing or wrong; fields that
/// nobody asks for are ignored, as the platform may add some.
#[derive(Debug)]
pub(super) struct Reader<'a> {
    root: &'a Value,
    pub(super) faults: Vec<SettingsFault>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(root: &'a Value) -> Self {
        Self {
            root,
            faults: Vec::new(),
        }
    }

    /// The value at a dotted path, null counting as absent.
    pub(super) fn value(&self, field: &str) -> Option<&'a Value> {
        let mut value = self.root;
        for name in field.split('.') {
            value = value.get(name)?;
        }
        (!value.is_null()).then_some(value)
    }

    /// A field that must be there.
    pub(super) fn need<T>(
        &mut self,
        field: &str,
        wanted: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let found = self.maybe(field, wanted, read);
        if self.value(field).is_none() {
            self.faults.push(SettingsFault::Missing {
                field: field.to_owned(),
                wanted,
            });
        }
        found
    }

    /// A field that may be there.
    pub(super) fn maybe<T>(
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

    /// Milliseconds that must be there.
    pub(super) fn ms(&mut self, field: &str) -> Option<u64> {
        self.need(field, "a whole number of milliseconds", Value::as_u64)
    }

    /// Seconds that must be there, in milliseconds.
    pub(super) fn s_as_ms(&mut self, field: &str) -> Option<u64> {
        self.need(field, "a number of seconds, 0 or more", seconds)
    }
}

fn seconds(value: &Value) -> Option<u64> {
    let seconds = value.as_f64().filter(|s| (0.0..1e9).contains(s))?;
    Some((seconds * 1_000.0).round() as u64)
}
