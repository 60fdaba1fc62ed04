use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{SettingError, SettingFault};

/// The fields of one JSON object while they are taken out one by one.
///
/// Deriving the reader would stop at the first wrong field; seasonal staff
/// would then mend a file in as many rounds as it has faults.
pub(super) struct Fields<'a> {
    path: String,
    map: Map<String, Value>,
    errors: &'a mut Vec<SettingError>,
}

impl<'a> Fields<'a> {
    /// The fields of an object; `path` is empty or ends in a dot.
    pub fn new(path: &str, value: Value, errors: &'a mut Vec<SettingError>) -> Self {
        let map = match value {
            Value::Object(map) => map,
            _ => {
                let field = if path.is_empty() { "(file)" } else { path };
                let fault = SettingFault::BadValue("expected an object".into());
                errors.push(SettingError::new(field.trim_end_matches('.'), fault));
                Map::new()
            }
        };
        Self {
            path: path.to_owned(),
            map,
            errors,
        }
    }

    /// Notes what is wrong with a field.
    pub fn wrong(&mut self, name: &str, fault: SettingFault) {
        let field = format!("{}{name}", self.path);
        self.errors.push(SettingError::new(field, fault));
    }

    /// A field's value as it stands.
    pub fn value(&mut self, name: &str) -> Option<Value> {
        self.map.remove(name)
    }

    /// A field that may be absent.
    pub fn optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = self.map.remove(name)?;
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(err) => {
                self.wrong(name, SettingFault::BadValue(err.to_string()));
                None
            }
        }
    }

    /// A field that must be there.
    pub fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        if !self.map.contains_key(name) {
            self.wrong(name, SettingFault::Missing);
        }
        self.optional(name)
    }

    /// A name: letters, digits and `. _ -`.
    pub fn name<T: for<'s> From<&'s str>>(&mut self, name: &str) -> Option<T> {
        let text: String = self.required(name)?;
        if is_name(&text) {
            return Some(T::from(&text));
        }
        self.wrong(name, SettingFault::BadName(text));
        None
    }

    /// An `IP:port`.
    pub fn address(&mut self, name: &str) -> Option<SocketAddr> {
        let text: String = self.required(name)?;
        let address = text.parse().ok();
        if address.is_none() {
            self.wrong(name, SettingFault::BadAddress(text));
        }
        address
    }

    /// A number within a range, or its default.
    pub fn number(&mut self, name: &str, default: u64, least: u64, most: u64) -> u64 {
        let value = self.optional(name).unwrap_or(default);
        if value < least || value > most {
            let fault = SettingFault::OutOfRange { value, least, most };
            self.wrong(name, fault);
        }
        value
    }

    /// Reports every field that nobody asked for.
    pub fn finish(mut self) {
        for name in std::mem::take(&mut self.map).keys() {
            self.wrong(name, SettingFault::UnknownField);
        }
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 64
        && text
            .chars()
            .all(|c| c.is_alphanumeric() || matches!(c, '.' | '_' | '-'))
}
