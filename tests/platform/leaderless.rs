//! What an operator sees of a cluster that cannot be founded.

use serde_json::json;

use crate::crowd::start;
use crate::own_loopback::OwnLoopback;
use crate::path::{CONTROL_PORT, METRICS_PORT, get, until};

/// Guards against: nothing is accepted, and neither log nor metrics tell why.
#[test]
fn a_founder_names_the_voters_that_it_waits_for() {
    let folder = tempfile::tempdir().unwrap();
    let at = OwnLoopback::take();
    let _founder = start(&at, folder.path(), 1, 4_096);
    let second = start(&at, folder.path(), 2, 4_096);
    let missing = json!(format!("[\"{}\"]", at.address(3, CONTROL_PORT).ip()));
    until("the line", || {
        let lines = second.logged("control: nobody leads");
        lines.into_iter().find(|line| {
            line["missing"] == missing
                && line["founded"] == json!(false)
                && line["lasted_ms"].as_u64() >= Some(2_000)
        })
    });
    until("the link's line", || {
        let third = at.address(3, crate::path::LINK_PORT).to_string();
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
