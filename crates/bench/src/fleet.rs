//! Control traffic, processor time and memory of idle instances, at several sizes.

use std::time::{Duration, Instant};

use anyhow::Result;

use crate::stage::{Size, Stage};

const WARM: Duration = Duration::from_secs(8);
const LOOK: Duration = Duration::from_secs(20);

pub(crate) async fn run(sizes: &str) -> Result<()> {
    println!("\n### Idle instances, each figure per instance\n");
    println!("| instances | peer bytes/s | platform reads/s | platform writes/s | share of a core, % | memory, MB | config everywhere, ms |");
    println!("|---|---|---|---|---|---|---|");
    for size in sizes.split(',') {
        one(size.trim().parse()?).await?;
    }
    Ok(())
}

async fn one(instances: usize) -> Result<()> {
    let stage = Stage::open(Size {
        engines: 2,
        instances,
        step_ms: 5,
        slots: 8,
    })
    .await?;
    tokio::time::sleep(WARM).await;
    let (bytes, reads, writes, cpu) = totals(&stage).await?;
    let began = Instant::now();
    tokio::time::sleep(LOOK).await;
    let secs = began.elapsed().as_secs_f64();
    let after = totals(&stage).await?;
    let each = |before: f64, after: f64| (after - before) / secs / instances as f64;
    let memory: u64 = stage.instances.iter().map(|p| p.memory()).sum();
    let spread = spread(&stage).await?;
    println!(
        "| {instances} | {:.0} | {:.2} | {:.2} | {:.2} | {:.1} | {spread} |",
        each(bytes, after.0),
        each(reads, after.1),
        each(writes, after.2),
        each(cpu, after.3) * 100.0,
        memory as f64 / instances as f64 / 1e6,
    );
    Ok(())
}

/// Returns peer bytes, platform reads, platform writes and processor seconds of all instances so far.
pub(crate) async fn totals(stage: &Stage) -> Result<(f64, f64, f64, f64)> {
    let mut bytes = 0.0;
    let mut cpu = 0.0;
    for instance in &stage.instances {
        bytes += stage
            .metric(instance, "oriolehitch_peer_bytes_total")
            .await?;
        cpu += instance.cpu_secs();
    }
    let ledger = stage.get(&format!("{}/ledger", stage.platform.url)).await?;
    let number = |f: &str| ledger[f].as_f64().unwrap_or(0.0);
    Ok((bytes, number("reads"), number("writes"), cpu))
}

/// Changes the configuration and returns the milliseconds until all have it.
async fn spread(stage: &Stage) -> Result<u128> {
    let first = &stage.instances[0];
    let current = stage
        .get(&format!("{}/admin/v1/config", first.admin))
        .await?;
    let mut config = current["config"].clone();
    config["templates"]["t"]["priority"] = 7.into();
    let body = serde_json::json!({
        "config": config, "change_id": "2", "who": "bench", "what": "priority",
    });
    let began = Instant::now();
    let url = format!("{}/admin/v1/config", first.admin);
    stage
        .http
        .put(url)
        .header("if-match", "1")
        .json(&body)
        .send()
        .await?;
    for instance in &stage.instances {
        loop {
            let dump = stage
                .get(&format!("{}/admin/v1/config", instance.admin))
                .await?;
            if dump["revision"] == 2 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(began.elapsed().as_millis())
}
