//! Parsing of the settings that the platform writes.

use rosemarygauge::platform::Settings;
use serde_json::json;

use crate::deployment::settings;

#[test]
fn unknown_fields_are_ignored_and_durations_are_read() {
    let text = settings("10.0.0.1", 7_000).to_string();
    let settings = Settings::parse(&text).unwrap();
    assert_eq!(settings.me().as_str(), "10.0.0.1");
    assert_eq!(settings.link_port, 7_000);
    assert_eq!(settings.timing.upkeep_ms, 2_000);
    assert_eq!(settings.timing.remember_ms, 120_000);
    assert!(settings.first_start && settings.data_folder.is_none());
    let address = settings.control_address(&"10.0.0.9".into()).unwrap();
    assert_eq!(address.to_string(), "10.0.0.9:7001");
}

#[test]
fn each_missing_or_wrong_field_is_reported_on_its_own_line() {
    let mut value = settings("10.0.0.1", 7_000);
    value["ip"] = json!("nowhere");
    value["seeds"] = json!(["10.0.0.1"]);
    value["bounds"]["grace_s"] = json!(-1);
    value["bounds"]
        .as_object_mut()
        .unwrap()
        .remove("max_hold_ms");
    let faults = Settings::parse(&value.to_string()).unwrap_err();
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(lines.len(), 4, "{lines:?}");
    for field in ["ip", "seeds", "bounds.grace_s", "bounds.max_hold_ms"] {
        assert!(
            lines.iter().any(|line| line.contains(field)),
            "{field}: {lines:?}"
        );
    }
    assert!(Settings::parse("no json").is_err());
}
