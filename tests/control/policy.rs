//! Parsing and validation of operators' policy files.

use rosemarygauge::control::{Policy, PolicyFault};

#[test]
fn defaults_are_valid_and_an_empty_file_means_them() {
    assert!(Policy::default().faults().is_empty());
    assert_eq!(Policy::parse("{}").unwrap(), Policy::default());
    let written = serde_json::to_string(&Policy::default()).unwrap();
    assert_eq!(Policy::parse(&written).unwrap(), Policy::default());
}

#[test]
fn named_fields_override_the_defaults() {
    let policy = Policy::parse("{\"moves\": {\"stay_ms\": 700}}").unwrap();
    assert_eq!(policy.moves.stay_ms, 700);
    assert_eq!(policy.needs, Policy::default().needs);
}

/// An operator makes mistakes in the file. All values out of range must be reported at once,
/// each with its range, and an unknown field must be refused instead of ignored.
#[test]
fn invalid_values_are_refused_with_field_and_remedy() {
    let invalid = "{\"needs\": {\"window_ms\": 0}, \"order\": {\"large_part\": 60}}";
    let faults = Policy::parse(invalid).unwrap_err();
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "policy: needs.window_ms is 0; give 100 to 10000",
            "policy: order.large_part is 60; give 0 to 1",
        ]
    );
    for unknown in ["{\"moves\": {\"stay\": 700}}", "{\"move\": {}}", "no json"] {
        let faults = Policy::parse(unknown).unwrap_err();
        assert!(
            matches!(faults[..], [PolicyFault::Unreadable { .. }]),
            "{faults:?}"
        );
    }
}
