//! The command `dev`: runs stubs and instances in one process, with a sample configuration unless
//! another one is given.

use std::time::Duration;

use anyhow::{anyhow, bail, Context, Result};
use conf::{Config, Settings};
use entry::Instance;
use serde_json::{json, Value};
use stub::engine::{self, StubEngine};
use stub::platform::StubPlatform;
use stub::service::{self, StubService};

use crate::admin::AdminClient;
use crate::flags::Dev;
use crate::serve::{self, ShutdownSignals};
use crate::stubs::loopback_addr;
use crate::{logging, Outcome};

const ZONES: [&str; 3] = ["hall-keflavik", "hall-grindavik", "hall-sandgerdi"];
const INSTANCES: usize = 3;
const SAMPLE_CONFIG: &str = include_str!("../../../examples/config.json");
const SAMPLE_KEY: &str = "sample-key";
const SAMPLE_TOKENS: u64 = 1_000_000;
const STEP_MS: u64 = 4;
const SLOTS: usize = 32;
const MAX_READY_CHECKS: u32 = 200;
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the command.
///
/// # Errors
///
/// Returns why a file can't be read, or why a stub or an instance can't start.
pub async fn run(flags: Dev) -> Result<Outcome> {
    logging::init_stderr(flags.log.as_deref());
    let config = match &flags.config {
        None => SAMPLE_CONFIG.to_string(),
        Some(file) => std::fs::read_to_string(file)
            .with_context(|| anyhow!("failed to read {}", file.display()))?,
    };
    let parsed = match Config::parse(&config) {
        Ok(parsed) => parsed,
        Err(faults) => {
            let file = flags.config.unwrap_or_else(|| "sample".into());
            return Ok(Outcome::Failure(crate::check::format_faults(
                &file, &faults,
            )));
        }
    };
    let base = match &flags.settings {
        None => Settings::default(),
        Some(file) => match serve::read_settings(file)? {
            Ok(settings) => settings,
            Err(faults) => return Ok(Outcome::Failure(faults)),
        },
    };
    let mut signals = ShutdownSignals::new()?;
    let platform = StubPlatform::bind(loopback_addr(None)).await;
    let platform = platform.map_err(|e| anyhow!(e))?;
    let url = format!("http://{}", platform.addr());
    start_stubs(&url, &parsed).await?;
    let count = flags.instances.unwrap_or(INSTANCES).max(1);
    let instances = spawn_instances(base, &url, count, flags.port).await?;
    let admin = format!("http://{}", instances[0].admin_addr());
    apply_config(&admin, &parsed).await?;
    wait_ready(&instances).await?;
    println!("ready http://{} admin {admin}", instances[0].addr());
    let body = sample_request(&parsed);
    println!(
        "curl -s http://{}/v1/chat/completions -H 'Authorization: Bearer {SAMPLE_KEY}' -d '{body}'",
        instances[0].addr()
    );
    println!("answer {}", send_request(&instances[0], &body).await?);
    signals.recv().await;
    for instance in instances {
        instance.stop(signals.recv()).await;
    }
    Ok(Outcome::Success(String::new()))
}

async fn start_stubs(platform: &str, config: &Config) -> Result<()> {
    let mut models: Vec<String> = Vec::new();
    let mut services: Vec<String> = Vec::new();
    for name in config.customers.keys() {
        let policy = config
            .policy(name)
            .expect("each customer of a valid configuration has a policy");
        models.extend(policy.models);
        services.extend(policy.services);
    }
    services.sort();
    services.dedup();
    models.sort();
    models.dedup();
    for (i, zone) in ZONES.iter().take(2).enumerate() {
        let options = engine::Options {
            addr: loopback_addr(None),
            name: format!("engine-{}", i + 1),
            zone: (*zone).to_string(),
            models: models.clone(),
            step_ms: STEP_MS,
            slots: SLOTS,
            platform: Some(platform.to_string()),
            enforce_fencing: true,
        };
        StubEngine::bind(options).await.map_err(|e| anyhow!(e))?;
    }
    for name in services {
        let options = service::Options {
            addr: loopback_addr(None),
            name: format!("{name}-1"),
            zone: ZONES[0].to_string(),
            service: name,
            platform: Some(platform.to_string()),
        };
        StubService::bind(options).await.map_err(|e| anyhow!(e))?;
    }
    Ok(())
}

async fn spawn_instances(
    base: Settings,
    platform: &str,
    count: usize,
    port: Option<u16>,
) -> Result<Vec<Instance>> {
    let mut instances = Vec::new();
    for i in 0..count {
        let mut settings = base.clone();
        settings.name = format!("hitch-{}", i + 1);
        settings.region = "reykjanes".to_string();
        settings.zone = ZONES[i % ZONES.len()].to_string();
        settings.platform = platform.to_string();
        settings.listen = Some(loopback_addr(port.filter(|_| i == 0)));
        settings.admin_listen = Some(loopback_addr(None));
        settings.peer_listen = Some(loopback_addr(None));
        instances.push(Instance::spawn(settings).await?);
    }
    Ok(instances)
}

/// Applies the configuration, and adds prepaid tokens to each customer's budget.
async fn apply_config(admin: &str, config: &Config) -> Result<()> {
    let client = AdminClient::new(admin, None);
    let body = json!({
        "config": config, "change_id": "dev", "who": "dev", "what": "sample configuration",
    });
    client
        .send("PUT", "/admin/v1/config", Some(&body), Some(0))
        .await?;
    for name in config.customers.keys() {
        let path = format!("/admin/v1/budgets/{name}/topups");
        let body = json!({"id": "dev", "tokens": SAMPLE_TOKENS});
        client.send("POST", &path, Some(&body), None).await?;
    }
    Ok(())
}

async fn wait_ready(instances: &[Instance]) -> Result<()> {
    for _ in 0..MAX_READY_CHECKS {
        if instances.iter().all(Instance::is_ready) {
            return Ok(());
        }
        tokio::time::sleep(READY_CHECK_INTERVAL).await;
    }
    bail!("the instances did not become ready in time");
}

/// Returns a request that the first customer may send. The stub engine reads the length of its
/// response from `len`.
fn sample_request(config: &Config) -> Value {
    let first = config.customers.keys().next();
    let policy = first.and_then(|n| config.policy(n));
    let model = policy.and_then(|p| p.models.first().cloned());
    json!({
        "model": model,
        "messages": [{"role": "user", "content": "How far apart do birches stand? len=12"}],
        "max_tokens": 64,
    })
}

/// Sends a request as a caller would, and returns the response body.
async fn send_request(instance: &Instance, body: &Value) -> Result<String> {
    let url = format!("http://{}/v1/chat/completions", instance.addr());
    let req = reqwest::Client::new()
        .post(url)
        .bearer_auth(SAMPLE_KEY)
        .json(body);
    Ok(req.send().await?.text().await?)
}
