//! API keys, from the caller's header to the leader, with separate processes.

use serde_json::{Value, json};

use crate::deployment::{Deployment, agent, configuration, get, job, post, until};

const FIRST_KEY: &str = "pqk8bdk9eevyxq2yyaza";
const SECOND_KEY: &str = "x6pwawxdmdejk7f92bqu";

fn keyed_configuration(version: u64, keys: &[&str]) -> Value {
    let mut keyed = configuration();
    keyed["version"] = json!(version);
    keyed["routes"][0]["anonymous"] = json!(false);
    keyed["tenants"] = json!([{"name": "north", "api_keys": keys, "priority": 0, "weight": 20,
        "max_count": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]);
    keyed
}

impl Deployment {
    fn configure(&self, configuration: &Value) -> (u16, String) {
        let url = format!("{}/Config.Replace", self.control_url);
        until("a clear answer to a configuration", || {
            post(&url, configuration).filter(|(status, _)| *status < 500)
        })
    }

    /// Submits a job with these authorization headers; returns the status and the challenge.
    fn submit(&self, id: &str, headers: &[&str]) -> (u16, Option<String>) {
        let url = format!("{}/a/{id}", self.entry_url);
        let mut request = agent().post(&url).header("host", "h.example");
        for header in headers {
            request = request.header("authorization", *header);
        }
        let answer = request.send(job().to_string()).unwrap();
        let challenge = answer.headers().get("www-authenticate");
        (
            answer.status().as_u16(),
            challenge.map(|value| value.to_str().unwrap().to_owned()),
        )
    }
}

/// Guards against calls that are let in without a valid key, against a key that goes on after it
/// was taken away, and against keys in logs, metrics and error texts.
#[test]
fn keys_open_queues_until_they_are_taken_away_and_are_never_shown() {
    let mut deployment = Deployment::start();
    let keyed = keyed_configuration(2, &[FIRST_KEY, SECOND_KEY]);
    assert_eq!(deployment.configure(&keyed).0, 200);
    let challenge = Some("Bearer".to_owned());
    let bearer = |key: &str| format!("Bearer {key}");
    let two = [bearer(FIRST_KEY), bearer(SECOND_KEY)];
    let refused: [&[&str]; 6] = [
        &[],
        &["Bearer unknown-key"],
        &["Bearer"],
        &["Basic cHFrOGJkazllZXZ5eHEyeXlhemE="],
        &[&two[0], &two[1]],
        &["Bearer pqk8bdk9eevyxq2yyaza extra"],
    ];
    for headers in refused {
        let answer = deployment.submit("00000000000000d1", headers);
        assert_eq!(answer, (401, challenge.clone()), "{headers:?}");
    }
    let accepted = [bearer(FIRST_KEY), format!("bEARER  {SECOND_KEY}")];
    for header in &accepted {
        let answer = deployment.submit("00000000000000d2", &[header]);
        assert_eq!(answer, (200, None), "{header}");
    }

    let shared = json!({"name": "south", "api_keys": [SECOND_KEY], "weight": 1});
    let mut ambiguous = keyed_configuration(3, &[SECOND_KEY]);
    ambiguous["tenants"].as_array_mut().unwrap().push(shared);
    let (status, why) = deployment.configure(&ambiguous);
    assert_eq!(status, 400);
    assert!(
        why.contains("share a key") && why.contains("south"),
        "{why}"
    );

    let revoked = keyed_configuration(4, &[SECOND_KEY]);
    assert_eq!(deployment.configure(&revoked).0, 200);
    let answer = deployment.submit("00000000000000d3", &[&accepted[0]]);
    assert_eq!(answer, (401, challenge));
    let answer = deployment.submit("00000000000000d3", &[&accepted[1]]);
    assert_eq!(answer, (200, None));

    let mut malformed = keyed_configuration(5, &[SECOND_KEY]);
    malformed["tenants"][0]["api_keys"] = json!(SECOND_KEY);
    let (status, malformed_why) = deployment.configure(&malformed);
    assert_eq!(status, 400);

    until("the log line of the refused call", || {
        let lines = deployment
            .control
            .logged("call: the caller is not identified");
        lines
            .into_iter()
            .find(|line| line["fault"] == "key-unknown")
    });
    let metrics_of = |url: &str| {
        let host = url.strip_prefix("http://").unwrap();
        let (ip, _) = host.split_once(':').unwrap();
        get(&format!(
            "http://{ip}:{}/metrics",
            crate::deployment::METRICS_PORT
        ))
        .unwrap()
        .1
    };
    let metrics = [
        metrics_of(&deployment.control_url),
        metrics_of(&deployment.entry_url),
    ];
    assert!(
        metrics[0].contains("call-unauthorized-key-unknown"),
        "{}",
        metrics[0]
    );
    let texts = [
        deployment.control.output(),
        deployment.entry.output(),
        why,
        malformed_why,
    ];
    for text in texts.iter().chain(&metrics) {
        for key in [
            FIRST_KEY,
            SECOND_KEY,
            "unknown-key",
            "cHFrOGJkazllZXZ5eHEyeXlhemE",
        ] {
            assert!(!text.contains(key), "{key} is shown");
        }
    }
    assert!(deployment.entry.terminate().success());
    assert!(deployment.control.terminate().success());
}
