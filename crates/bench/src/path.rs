//! Latency, throughput and memory of one instance against the stand-in engine alone.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use hdrhistogram::Histogram;
use serde_json::{json, Value};

use crate::fleet;
use crate::stage::{Size, Stage};

/// Rounds that only open connections and fetch the first grant.
const WARM: usize = 3;
const ROUNDS: usize = 40;
const ABREAST: usize = 16;
const THROUGHPUT: Duration = Duration::from_secs(6);
const STREAMS: [usize; 2] = [1_000, 5_000];
const SETTLE: Duration = Duration::from_secs(4);

/// One answer's times, in microseconds.
struct Times {
    first: u64,
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
    let stage = Stage::open(Size {
        engines: 1,
        instances: 3,
        step_ms: 1,
        slots: 64,
    })
    .await?;
    let stage = Arc::new(stage);
    println!("\n### Latency, {ABREAST} requests abreast on 64 slots, 40 tokens, step 1 ms\n");
    println!("| path | first token p50/p99, ms | last token p50/p99, ms | wait for the end marker p50/p99, ms |");
    println!("|---|---|---|---|");
    let direct = stage.engines[0].url.clone();
    // The home of the budget is one of the three; an instance that is not the home asks it.
    let mut paths = vec![("engine alone".to_string(), direct)];
    for (i, instance) in stage.instances.iter().enumerate() {
        paths.push((format!("through instance {i}"), instance.url.clone()));
    }
    let before = fleet::totals(&stage).await?;
    let began = Instant::now();
    for stream in [true, false] {
        // Interleaved, so that both see the same machine.
        let mut seen: Vec<[Histogram<u64>; 3]> = paths.iter().map(|_| histograms()).collect();
        for round in 0..WARM + ROUNDS {
            for (i, (_, url)) in paths.iter().enumerate() {
                for times in abreast(&stage, url, stream, i == 0).await {
                    if round < WARM {
                        continue;
                    }
                    seen[i][0].record(times.first)?;
                    seen[i][1].record(times.last_token)?;
                    seen[i][2].record(times.end - times.last_token)?;
                }
            }
        }
        for ((name, _), h) in paths.iter().zip(&seen) {
            let kind = if stream { "streamed" } else { "whole" };
            let cells: Vec<String> = h.iter().map(percentiles).collect();
            println!("| {name}, {kind} | {} |", cells.join(" | "));
        }
    }
    let secs = began.elapsed().as_secs_f64();
    let after = fleet::totals(&stage).await?;
    let count = (2 * (WARM + ROUNDS) * ABREAST * stage.instances.len()) as f64;
    let each = |a: f64, b: f64| (b - a) / secs / stage.instances.len() as f64;
    println!("\n### Control under that load, each figure per instance\n");
    println!("| requests/s | peer bytes/s | platform reads/s | platform writes/s |");
    println!("|---|---|---|---|");
    println!(
        "| {:.0} | {:.0} | {:.2} | {:.2} |",
        count / secs / stage.instances.len() as f64,
        each(before.0, after.0),
        each(before.1, after.1),
        each(before.2, after.2),
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

async fn abreast(stage: &Arc<Stage>, url: &str, stream: bool, direct: bool) -> Vec<Times> {
    let mut tasks = Vec::new();
    for _ in 0..ABREAST {
        let (stage, url) = (Arc::clone(stage), url.to_string());
        tasks.push(tokio::spawn(async move {
            one(&stage, &url, stream, direct).await
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

async fn one(stage: &Stage, url: &str, stream: bool, direct: bool) -> Result<Times> {
    let began = Instant::now();
    let mut req = stage
        .http
        .post(format!("{url}/v1/chat/completions"))
        .bearer_auth("k")
        // The engine alone always streams.
        .json(&body(40, stream || direct));
    if direct {
        req = req.header("x-request-id", format!("{:x}", rand::random::<u64>()));
    }
    let mut res = req.send().await?;
    let mut times = Times {
        first: 0,
        last_token: 0,
        end: 0,
    };
    while let Some(bytes) = res.chunk().await? {
        let now = began.elapsed().as_micros() as u64;
        if times.first == 0 {
            times.first = now;
        }
        if bytes.windows(9).any(|w| w == b"\"content\"") {
            times.last_token = now;
        }
    }
    times.end = began.elapsed().as_micros() as u64;
    Ok(times)
}

async fn throughput() -> Result<()> {
    let stage = Stage::open(Size {
        engines: 4,
        instances: 1,
        step_ms: 1,
        slots: 256,
    })
    .await?;
    let stage = Arc::new(stage);
    let url = stage.instances[0].url.clone();
    let writes = calls(&stage).await?;
    let cpu = stage.instances[0].cpu_secs();
    let began = Instant::now();
    let until = began + THROUGHPUT;
    let mut tasks = Vec::new();
    for _ in 0..256 {
        let (stage, url) = (Arc::clone(&stage), url.clone());
        tasks.push(tokio::spawn(async move {
            let mut done = 0u64;
            while Instant::now() < until {
                done += u64::from(one(&stage, &url, true, false).await.is_ok());
            }
            done
        }));
    }
    let mut done = 0;
    for task in tasks {
        done += task.await?;
    }
    let secs = began.elapsed().as_secs_f64();
    let cpu = stage.instances[0].cpu_secs() - cpu;
    let writes = calls(&stage).await? - writes;
    println!("\n### Throughput of one instance, 256 abreast, 40 tokens streamed\n");
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

/// Returns the platform's count of writes.
async fn calls(stage: &Stage) -> Result<f64> {
    let ledger = stage.get(&format!("{}/ledger", stage.platform.url)).await?;
    Ok(ledger["writes"].as_f64().unwrap_or(0.0))
}

/// Opens many streams that last, and looks at the instance's memory.
async fn memory() -> Result<()> {
    println!("\n### Memory of open streams, one instance\n");
    println!("| streams | bytes a stream, the two sockets' buffers in the kernel not counted |");
    println!("|---|---|");
    for count in STREAMS {
        let stage = Stage::open(Size {
            engines: 2,
            instances: 1,
            step_ms: 500,
            slots: 8_192,
        })
        .await?;
        let stage = Arc::new(stage);
        let url = stage.instances[0].url.clone();
        let before = stage.instances[0].memory();
        let mut tasks = Vec::new();
        for _ in 0..count {
            let (stage, url) = (Arc::clone(&stage), url.clone());
            let req = stage
                .http
                .post(format!("{url}/v1/chat/completions"))
                .bearer_auth("k")
                .json(&body(100_000, true));
            tasks.push(tokio::spawn(async move { req.send().await }));
            // All at once would measure the listener's backlog.
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut open = Vec::new();
        for task in tasks {
            open.extend(task.await?.ok().filter(|r| r.status().is_success()));
        }
        tokio::time::sleep(SETTLE).await;
        let after = stage.instances[0].memory();
        let each = after.saturating_sub(before) / open.len().max(1) as u64;
        println!("| {} | {each} |", open.len());
    }
    Ok(())
}
