//! Control traffic, CPU time and memory of idle instances, for several fleet sizes.

use std::time::{Duration, Instant};

use anyhow::Result;

use crate::cluster::{Cluster, ClusterSize};

/// Time before the measurement.
const WARMUP: Duration = Duration::from_secs(8);
/// Duration of the measurement.
const MEASUREMENT: Duration = Duration::from_secs(20);

pub(crate) async fn run(sizes: &str) -> Result<()> {
    println!("\n### Idle instances, figures per instance\n");
    println!("| instances | peer bytes/s | platform reads/s | platform writes/s | CPU, % of a core | memory, MB | config propagation, ms |");
    println!("|---|---|---|---|---|---|---|");
    for size in sizes.split(',') {
        measure(size.trim().parse()?).await?;
    }
    Ok(())
}

async fn measure(instances: usize) -> Result<()> {
    let cluster = Cluster::start(ClusterSize {
        engines: 2,
        instances,
        step_ms: 5,
        slots: 8,
    })
    .await?;
    tokio::time::sleep(WARMUP).await;
    let (bytes, reads, writes, cpu) = totals(&cluster).await?;
    let start = Instant::now();
    tokio::time::sleep(MEASUREMENT).await;
    let secs = start.elapsed().as_secs_f64();
    let after = totals(&cluster).await?;
    let per_instance = |before: f64, after: f64| (after - before) / secs / instances as f64;
    let memory: u64 = cluster.instances.iter().map(|p| p.resident_bytes()).sum();
    let propagation_ms = measure_propagation(&cluster).await?;
    println!(
        "| {instances} | {:.0} | {:.2} | {:.2} | {:.2} | {:.1} | {propagation_ms} |",
        per_instance(bytes, after.0),
        per_instance(reads, after.1),
        per_instance(writes, after.2),
        per_instance(cpu, after.3) * 100.0,
        memory as f64 / instances as f64 / 1e6,
    );
    Ok(())
}

/// Returns the peer bytes, platform reads, platform writes and CPU seconds of all instances so far.
/// The reads and writes include those of the stub engines.
pub(crate) async fn totals(cluster: &Cluster) -> Result<(f64, f64, f64, f64)> {
    let mut bytes = 0.0;
    let mut cpu = 0.0;
    for instance in &cluster.instances {
        bytes += cluster
            .metric(instance, "oriolehitch_peer_bytes_total")
            .await?;
        cpu += instance.cpu_secs();
    }
    let ledger = cluster
        .get_json(&format!("{}/ledger", cluster.platform.url))
        .await?;
    let number = |field: &str| ledger[field].as_f64().unwrap_or(0.0);
    Ok((bytes, number("reads"), number("writes"), cpu))
}

/// Changes the configuration; returns the milliseconds until all instances have it in force.
async fn measure_propagation(cluster: &Cluster) -> Result<u128> {
    let first = &cluster.instances[0];
    let current = cluster
        .get_json(&format!("{}/admin/v1/config", first.admin))
        .await?;
    let mut config = current["config"].clone();
    config["templates"]["t"]["priority"] = 7.into();
    let body = serde_json::json!({
        "config": config, "change_id": "2", "who": "bench", "what": "priority",
    });
    let start = Instant::now();
    let url = format!("{}/admin/v1/config", first.admin);
    cluster
        .http
        .put(url)
        .header("if-match", "1")
        .json(&body)
        .send()
        .await?;
    for instance in &cluster.instances {
        loop {
            let dump = cluster
                .get_json(&format!("{}/admin/v1/config", instance.admin))
                .await?;
            if dump["revision"] == 2 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(start.elapsed().as_millis())
}
