//! Latency of requests through instances and directly to a stub engine, and throughput and memory
//! of one instance.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use hdrhistogram::Histogram;
use serde_json::{json, Value};

use crate::cluster::{Cluster, ClusterSize};
use crate::fleet;

/// Rounds that are not measured: they open connections and fetch the first grant.
const WARMUP_ROUNDS: usize = 3;
const ROUNDS: usize = 40;
/// Number of requests in flight at the same time.
const CONCURRENCY: usize = 16;
/// Duration of the throughput measurement.
const THROUGHPUT_DURATION: Duration = Duration::from_secs(6);
/// Numbers of open streams whose memory is measured.
const STREAM_COUNTS: [usize; 2] = [1_000, 5_000];
/// Time for which the streams stay open before the memory is read.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Times of a response since the request was sent, in microseconds.
struct ResponseTimes {
    first_chunk: u64,
    last_token: u64,
    end: u64,
}

pub(crate) async fn run() -> Result<()> {
    latency().await?;
    throughput().await?;
    memory().await
}

fn body(len: u64, stream: bool) -> Value {
    json!({
        "model": "m", "stream": stream, "max_tokens": len,
        "messages": [{"role": "user", "content": "How far apart do birches stand?"}],
    })
}

async fn latency() -> Result<()> {
    let cluster = Cluster::start(ClusterSize {
        engines: 1,
        instances: 3,
        step_ms: 1,
        slots: 64,
    })
    .await?;
    let cluster = Arc::new(cluster);
    println!(
        "\n### Latency, {CONCURRENCY} concurrent requests on 64 slots, 40 tokens, step 1 ms\n"
    );
    println!("| path | first token p50/p99, ms | last token p50/p99, ms | end of response after last token p50/p99, ms |");
    println!("|---|---|---|---|");
    let direct = cluster.engines[0].url.clone();
    // One of the three instances is the home of the budget; the others send it their reservations.
    let mut paths = vec![("directly to the engine".to_string(), direct)];
    for (i, instance) in cluster.instances.iter().enumerate() {
        paths.push((format!("through instance {i}"), instance.url.clone()));
    }
    let before = fleet::totals(&cluster).await?;
    let start = Instant::now();
    for stream in [true, false] {
        // The paths take turns, so that the load of the machine affects all of them alike.
        let mut results: Vec<[Histogram<u64>; 3]> = paths.iter().map(|_| histograms()).collect();
        for round in 0..WARMUP_ROUNDS + ROUNDS {
            for (i, (_, url)) in paths.iter().enumerate() {
                for times in send_concurrently(&cluster, url, stream, i == 0).await {
                    if round < WARMUP_ROUNDS {
                        continue;
                    }
                    results[i][0].record(times.first_chunk)?;
                    results[i][1].record(times.last_token)?;
                    results[i][2].record(times.end - times.last_token)?;
                }
            }
        }
        for ((name, _), h) in paths.iter().zip(&results) {
            let kind = if stream { "streamed" } else { "buffered" };
            let cells: Vec<String> = h.iter().map(percentiles).collect();
            println!("| {name}, {kind} | {} |", cells.join(" | "));
        }
    }
    let secs = start.elapsed().as_secs_f64();
    let after = fleet::totals(&cluster).await?;
    let count = (2 * (WARMUP_ROUNDS + ROUNDS) * CONCURRENCY * cluster.instances.len()) as f64;
    let per_instance =
        |before: f64, after: f64| (after - before) / secs / cluster.instances.len() as f64;
    println!("\n### Control traffic under that load, figures per instance\n");
    println!("| requests/s | peer bytes/s | platform reads/s | platform writes/s |");
    println!("|---|---|---|---|");
    println!(
        "| {:.0} | {:.0} | {:.2} | {:.2} |",
        count / secs / cluster.instances.len() as f64,
        per_instance(before.0, after.0),
        per_instance(before.1, after.1),
        per_instance(before.2, after.2),
    );
    Ok(())
}

fn histograms() -> [Histogram<u64>; 3] {
    std::array::from_fn(|_| Histogram::new(3).expect("three digits are allowed"))
}

fn percentiles(h: &Histogram<u64>) -> String {
    let ms = |q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    format!("{:.2}/{:.2}", ms(0.5), ms(0.99))
}

/// Sends requests concurrently; returns the times of those that got a response.
async fn send_concurrently(
    cluster: &Arc<Cluster>,
    url: &str,
    stream: bool,
    direct: bool,
) -> Vec<ResponseTimes> {
    let mut tasks = Vec::new();
    for _ in 0..CONCURRENCY {
        let (cluster, url) = (Arc::clone(cluster), url.to_string());
        tasks.push(tokio::spawn(async move {
            send_request(&cluster, &url, stream, direct).await
        }));
    }
    let mut all = Vec::new();
    for task in tasks {
        if let Ok(Ok(times)) = task.await {
            all.push(times);
        }
    }
    all
}

async fn send_request(
    cluster: &Cluster,
    url: &str,
    stream: bool,
    direct: bool,
) -> Result<ResponseTimes> {
    let start = Instant::now();
    let mut req = cluster
        .http
        .post(format!("{url}/v1/chat/completions"))
        .bearer_auth("k")
        // The engine itself streams in any case.
        .json(&body(40, stream || direct));
    if direct {
        req = req.header("x-request-id", format!("{:x}", rand::random::<u64>()));
    }
    let mut res = req.send().await?;
    let mut times = ResponseTimes {
        first_chunk: 0,
        last_token: 0,
        end: 0,
    };
    while let Some(bytes) = res.chunk().await? {
        let now = start.elapsed().as_micros() as u64;
        if times.first_chunk == 0 {
            times.first_chunk = now;
        }
        if bytes.windows(9).any(|w| w == b"\"content\"") {
            times.last_token = now;
        }
    }
    times.end = start.elapsed().as_micros() as u64;
    Ok(times)
}

async fn throughput() -> Result<()> {
    let cluster = Cluster::start(ClusterSize {
        engines: 4,
        instances: 1,
        step_ms: 1,
        slots: 256,
    })
    .await?;
    let cluster = Arc::new(cluster);
    let url = cluster.instances[0].url.clone();
    let writes = platform_writes(&cluster).await?;
    let cpu = cluster.instances[0].cpu_secs();
    let start = Instant::now();
    let until = start + THROUGHPUT_DURATION;
    let mut tasks = Vec::new();
    for _ in 0..256 {
        let (cluster, url) = (Arc::clone(&cluster), url.clone());
        tasks.push(tokio::spawn(async move {
            let mut count = 0u64;
            while Instant::now() < until {
                count += u64::from(send_request(&cluster, &url, true, false).await.is_ok());
            }
            count
        }));
    }
    let mut done = 0;
    for task in tasks {
        done += task.await?;
    }
    let secs = start.elapsed().as_secs_f64();
    let cpu = cluster.instances[0].cpu_secs() - cpu;
    let writes = platform_writes(&cluster).await? - writes;
    println!("\n### Throughput of one instance, 256 concurrent requests, 40 tokens streamed\n");
    println!(
        "| requests/s | cores used | requests/s per core | tokens/s per core | platform writes/s |"
    );
    println!("|---|---|---|---|---|");
    let (rate, cores) = (done as f64 / secs, cpu / secs);
    println!(
        "| {rate:.0} | {cores:.2} | {:.0} | {:.0} | {:.1} |",
        rate / cores,
        rate * 40.0 / cores,
        writes / secs
    );
    Ok(())
}

/// Returns the number of writes that the platform has executed.
async fn platform_writes(cluster: &Cluster) -> Result<f64> {
    let ledger = cluster
        .get_json(&format!("{}/ledger", cluster.platform.url))
        .await?;
    Ok(ledger["writes"].as_f64().unwrap_or(0.0))
}

/// Measures the memory of an instance with many open streams.
async fn memory() -> Result<()> {
    println!("\n### Memory of open streams, one instance\n");
    println!("| streams | bytes per stream, without the kernel buffers of its two sockets |");
    println!("|---|---|");
    for count in STREAM_COUNTS {
        let cluster = Cluster::start(ClusterSize {
            engines: 2,
            instances: 1,
            step_ms: 500,
            slots: 8_192,
        })
        .await?;
        let cluster = Arc::new(cluster);
        let url = cluster.instances[0].url.clone();
        let before = cluster.instances[0].resident_bytes();
        let mut tasks = Vec::new();
        for _ in 0..count {
            let (cluster, url) = (Arc::clone(&cluster), url.clone());
            let req = cluster
                .http
                .post(format!("{url}/v1/chat/completions"))
                .bearer_auth("k")
                .json(&body(100_000, true));
            tasks.push(tokio::spawn(async move { req.send().await }));
            // Opening all streams at once would measure the listener's backlog.
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut open = Vec::new();
        for task in tasks {
            open.extend(task.await?.ok().filter(|r| r.status().is_success()));
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let after = cluster.instances[0].resident_bytes();
        let per_stream = after.saturating_sub(before) / open.len().max(1) as u64;
        println!("| {} | {per_stream} |", open.len());
    }
    Ok(())
}
