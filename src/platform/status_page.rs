//! The status of the voters, as JSON beside the metrics.

use bytes::Bytes;
use http::StatusCode;
use serde_json::json;

use crate::control::{CallBridge, QuorumStatus};
use crate::http::{Reply, text, with_type};

/// Returns where the voters are and which losses they survive, as this instance knows it.
pub(super) fn status_page(bridge: &CallBridge) -> Reply {
    match bridge.quorum_status() {
        Some(status) => {
            let page = page(&status).to_string();
            with_type(StatusCode::OK, "application/json", Bytes::from(page))
        }
        None => text(
            StatusCode::NOT_FOUND,
            "an entry instance has no status of the voters\n",
        ),
    }
}

fn page(status: &QuorumStatus) -> serde_json::Value {
    let voters = status.voters.iter().map(|voter| {
        let location = voter.location.as_ref();
        json!({
            "name": voter.name.as_str(),
            "zone": location.map(|l| l.zone.as_str()),
            "region": location.and_then(|l| l.region.as_ref()).map(|region| region.as_str()),
            "present": voter.present,
        })
    });
    let (tolerance, borne) = (status.tolerance, status.borne);
    json!({
        "leader": status.leader.as_ref().map(|leader| leader.as_str()),
        "term": status.term,
        "voters": voters.collect::<Vec<_>>(),
        "losses": {
            "instances": {"to_bear": tolerance.instances, "borne": borne.instances},
            "zones": {"to_bear": tolerance.zones, "borne": borne.zones},
            "regions": {"to_bear": tolerance.regions, "borne": borne.regions},
        },
    })
}
