//! Logs and metrics of a cluster that cannot be bootstrapped.

use serde_json::json;

use crate::crowd::start;
use crate::deployment::{CONTROL_PORT, METRICS_PORT, get, until};
use crate::own_loopback::OwnLoopback;

/// Guards against a cluster that accepts nothing while neither its log nor its metrics show the
/// reason. Here the third of three initial voters never starts.
#[test]
fn the_log_names_missing_initial_voters() {
    let folder = tempfile::tempdir().unwrap();
    let at = OwnLoopback::take();
    let _first = start(&at, folder.path(), 1, 4_096);
    let second = start(&at, folder.path(), 2, 4_096);
    let missing = json!(format!("[\"{}\"]", at.address(3, CONTROL_PORT).ip()));
    until("the log line with the missing voter", || {
        let lines = second.logged("control: nobody leads");
        lines.into_iter().find(|line| {
            line["missing"] == missing
                && line["founded"] == json!(false)
                && line["lasted_ms"].as_u64() >= Some(2_000)
        })
    });
    until("the log line of the link", || {
        let third = at.address(3, crate::deployment::LINK_PORT).to_string();
        let lines = second.logged("link: down");
        lines
            .into_iter()
            .find(|line| line["address"] == json!(third))
    });
    let metrics = format!("http://{}/metrics", at.address(2, METRICS_PORT));
    until("the time without a leader", || {
        let (_, text) = get(&metrics)?;
        let line = text
            .lines()
            .find(|l| l.starts_with("rosemarygauge_leaderless_seconds"))?;
        let seconds: f64 = line.split(' ').nth(1)?.parse().ok()?;
        (seconds > 1.0).then_some(())
    });
}
