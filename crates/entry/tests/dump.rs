//! What operators' tools read of an instance: the names in its dump stay.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use conf::Settings;
use entry::Instance;
use kv::Client;
use serde_json::{json, Value};
use stub::platform::Platform;

/// Longest wait for anything: generous, since the machine may be busy.
const PATIENCE: Duration = Duration::from_secs(20);
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Collects the paths of all names in a value; `*` stands for any place in a list.
fn collect(value: &Value, path: &str, names: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let path = format!("{path}/{name}");
                collect(field, &path, names);
                names.insert(path);
            }
        }
        Value::Array(items) => {
            for item in items {
                collect(item, &format!("{path}/*"), names);
            }
        }
        _ => {}
    }
}

#[tokio::test]
async fn names_of_the_dump_stay() {
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let platform = Platform::bind(any_port).await.expect("a free port");
    let platform = format!("http://{}", platform.addr());
    let spec =
        r#"{"id":"e1","kind":"engine","url":"http://127.0.0.1:9","zone":"z","serves":["m"]}"#;
    let store = Client::open(&platform);
    let written = store.compare_and_swap("/instances/engine/e1", 0, spec.as_bytes(), 0);
    written.await.expect("a stand-in that answers");
    let settings =
        json!({"name": "r1", "region": "r", "zone": "z", "platform": platform, "shards": 1});
    let settings = Settings::parse(&settings.to_string()).expect("settings without a fault");
    let instance = Instance::spawn(settings).await.expect("free ports");
    let at = format!("http://{}", instance.admin_addr());
    let http = reqwest::Client::builder().no_proxy().build();
    let http = http.expect("a plain client");
    let config = json!({
        "config": {
            "templates": {"base": {"models": ["m"]}},
            "customers": {"alpha": {"template": "base", "key_hashes": []}},
        },
        "change_id": "c-1", "who": "ann", "what": "a line",
    });
    let put = http.put(format!("{at}/admin/v1/config")).json(&config);
    let put = put.header("if-match", "0").send().await.expect("an answer");
    assert_eq!(put.status(), 200);
    let topup = http.post(format!("{at}/admin/v1/budgets/alpha/topups"));
    let topup = topup.json(&json!({"id": "t-1", "tokens": 1000}));
    assert_eq!(topup.send().await.expect("an answer").status(), 200);
    let until = Instant::now() + PATIENCE;
    let dump = loop {
        let res = http.get(format!("{at}/dump")).send().await;
        let dump: Value = res.expect("an answer").json().await.expect("JSON");
        let accounts = &dump["budgets"]["0"]["accounts"]["alpha"];
        let listed = !dump["upstreams"][0].is_null();
        if listed && accounts.is_object() && dump["config"].is_object() {
            break dump;
        }
        assert!(Instant::now() < until, "not in time: {dump}");
        tokio::time::sleep(LOOK_EVERY).await;
    };
    let mut names = BTreeSet::new();
    collect(&dump, "", &mut names);
    let sample = include_str!("data/outer/dump.txt");
    let sample: BTreeSet<String> = sample.lines().map(str::to_string).collect();
    assert_eq!(names, sample);
}
