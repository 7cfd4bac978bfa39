//! The names of the fields in an instance's dump: operators' tools read them, so they must not
//! change.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use conf::Settings;
use entry::Instance;
use kv::Client;
use serde_json::{json, Value};
use stub::platform::StubPlatform;

/// Time limit of the test; long, since the machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the dump is read.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Collects the paths of all field names in a value; `*` stands for any index of an array.
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
async fn dump_keeps_its_field_names() {
    let any_port = "127.0.0.1:0".parse().expect("a valid address");
    let platform = StubPlatform::bind(any_port).await.expect("a free port");
    let platform = format!("http://{}", platform.addr());
    let spec =
        r#"{"id":"e1","kind":"engine","url":"http://127.0.0.1:9","zone":"z","serves":["m"]}"#;
    let store = Client::open(&platform);
    let written = store.compare_and_swap("/instances/engine/e1", 0, spec.as_bytes(), 0);
    written.await.expect("the stub responds");
    let settings =
        json!({"name": "r1", "region": "r", "zone": "z", "platform": platform, "shards": 1});
    let settings = Settings::parse(&settings.to_string()).expect("valid settings");
    let instance = Instance::spawn(settings).await.expect("free ports");
    let admin = format!("http://{}", instance.admin_addr());
    let http = reqwest::Client::builder().no_proxy().build();
    let http = http.expect("an HTTP client");
    let config = json!({
        "config": {
            "templates": {"base": {"models": ["m"]}},
            "customers": {"alpha": {"template": "base", "key_hashes": []}},
        },
        "change_id": "c-1", "who": "ann", "what": "a line",
    });
    let put = http.put(format!("{admin}/admin/v1/config")).json(&config);
    let put = put
        .header("if-match", "0")
        .send()
        .await
        .expect("a response");
    assert_eq!(put.status(), 200);
    let topup = http.post(format!("{admin}/admin/v1/budgets/alpha/topups"));
    let topup = topup.json(&json!({"id": "t-1", "tokens": 1000}));
    assert_eq!(topup.send().await.expect("a response").status(), 200);
    let deadline = Instant::now() + TIMEOUT;
    let dump = loop {
        let res = http.get(format!("{admin}/dump")).send().await;
        let dump: Value = res.expect("a response").json().await.expect("JSON");
        let accounts = &dump["budgets"]["0"]["accounts"]["alpha"];
        let listed = !dump["upstreams"][0].is_null();
        if listed && accounts.is_object() && dump["config"].is_object() {
            break dump;
        }
        assert!(Instant::now() < deadline, "incomplete dump: {dump}");
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    let mut names = BTreeSet::new();
    collect(&dump, "", &mut names);
    let sample = include_str!("data/outer/dump.txt");
    let sample: BTreeSet<String> = sample.lines().map(str::to_string).collect();
    assert_eq!(names, sample);
}
