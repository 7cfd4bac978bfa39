//! The stand-in for a plain service: it counts every run of every call.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use web::{Req, Res};

use crate::registration;

const BODY_LIMIT: usize = 16 << 20;

/// How a stand-in is set up.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its address.
    pub addr: SocketAddr,
    /// Its name in the instance list.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The service that it is part of.
    pub service: String,
    /// The platform whose instance list it is in.
    pub platform: Option<String>,
}

/// The switches for faults.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// A call runs, then waits this long for its answer.
    pub slow_ms: u64,
    /// This many calls run and are never answered.
    pub lose_answers: u64,
    /// Calls are refused before they run.
    pub refuse: bool,
    /// Calls end with this status after they ran.
    pub status: Option<u16>,
}

#[derive(Clone, Debug, Serialize)]
struct Run {
    request: String,
    method: String,
    path: String,
    body: String,
}

/// A running stand-in.
pub struct StubService {
    setup: Options,
    runs: Mutex<Vec<Run>>,
    faults: Mutex<Faults>,
}

impl StubService {
    /// Binds the stand-in.
    ///
    /// # Errors
    ///
    /// Returns why the address can't be bound.
    pub async fn bind(setup: Options) -> Result<web::Handle, String> {
        let service = Arc::new(StubService {
            runs: Mutex::default(),
            faults: Mutex::default(),
            setup,
        });
        let setup = &service.setup;
        let handle = web::bind(setup.addr, BODY_LIMIT, Arc::clone(&service)).await?;
        let value = json!({
            "id": registration::unique_id(&setup.name),
            "kind": "service",
            "url": format!("http://{}", handle.addr()),
            "zone": setup.zone,
            "serves": [setup.service],
        });
        if let Some(platform) = setup.platform.clone() {
            let key = format!("/instances/service/{}", setup.name);
            let (tx, rx) = watch::channel(value);
            registration::spawn(&platform, key, rx);
            // The list entry does not change, but its channel must stay open.
            std::mem::forget(tx);
        }
        Ok(handle)
    }

    async fn run(&self, req: Req) -> Res {
        let faults = *self.faults.lock().expect("no panic inside");
        if faults.refuse {
            return Res::json(503, &json!({"error": "draining"})).with("x-not-run", "1");
        }
        let run = Run {
            request: req.header("x-request-id").unwrap_or_default().to_string(),
            method: req.method.clone(),
            path: req.path.clone(),
            body: String::from_utf8_lossy(&req.body).into_owned(),
        };
        let answer = json!({"ran": run.request, "path": run.path});
        self.runs.lock().expect("no panic inside").push(run);
        if self.loses_answer() {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        Res::json(faults.status.unwrap_or(200), &answer)
    }

    fn loses_answer(&self) -> bool {
        let mut faults = self.faults.lock().expect("no panic inside");
        let loses = faults.lose_answers > 0;
        faults.lose_answers -= u64::from(loses);
        loses
    }

    fn set_faults(&self, req: &Req) -> Res {
        match req.json::<Faults>() {
            Ok(faults) => {
                *self.faults.lock().expect("no panic inside") = faults;
                Res::json(200, &faults)
            }
            Err(e) => Res::json(400, &json!({"error": e})),
        }
    }

    fn ledger(&self) -> Res {
        let runs = self.runs.lock().expect("no panic inside");
        Res::json(200, &json!({"name": self.setup.name, "runs": *runs}))
    }
}

impl web::Service for StubService {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        match req.segments().as_slice() {
            ["fault"] => self.set_faults(&req),
            ["ledger"] => self.ledger(),
            ["load"] => Res::json(200, &json!({"slots": 64, "running": 0, "waiting": 0})),
            _ => self.run(req).await,
        }
    }
}
