//! Stub of a plain service: it records every execution of every call.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;
use web::{Req, Res};

use crate::registration;

const MAX_BODY_BYTES: usize = 16 << 20;

/// Options of a stub of a plain service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Name in the instance list.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Service that it is a member of.
    pub service: String,
    /// URL of the platform's key-value store, which has the instance list. Without it, the stub is
    /// not registered.
    pub platform: Option<String>,
}

/// Faults that the stub injects. The field names are those of the JSON object that is posted to
/// `/fault`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay between the execution of a call and its response, in milliseconds.
    pub slow_ms: u64,
    /// Number of calls that are executed and get no response.
    pub lose_answers: u64,
    /// Calls are rejected as not run.
    pub refuse: bool,
    /// Status of the responses to executed calls; 200 by default.
    pub status: Option<u16>,
}

/// A call that the stub executed.
#[derive(Clone, Debug, Serialize)]
struct RecordedRequest {
    request: String,
    method: String,
    path: String,
    body: String,
}

/// A running stub of a plain service.
pub struct StubService {
    options: Options,
    executed: Mutex<Vec<RecordedRequest>>,
    faults: Mutex<Faults>,
}

impl StubService {
    /// Binds the stub to its address and registers it in the instance list.
    ///
    /// # Errors
    ///
    /// Returns why the address can't be bound.
    pub async fn bind(options: Options) -> Result<web::ServerHandle, String> {
        let service = Arc::new(StubService {
            executed: Mutex::default(),
            faults: Mutex::default(),
            options,
        });
        let options = &service.options;
        let handle = web::bind(
            options.addr,
            web::Limits::trusted(MAX_BODY_BYTES),
            Arc::clone(&service),
        )
        .await?;
        let value = json!({
            "id": registration::unique_id(&options.name),
            "kind": "service",
            "url": format!("http://{}", handle.addr()),
            "zone": options.zone,
            "serves": [options.service],
        });
        if let Some(platform) = options.platform.clone() {
            let key = format!("/instances/service/{}", options.name);
            let (tx, rx) = watch::channel(value);
            registration::spawn(&platform, key, rx);
            // The entry never changes. Leaks its sender, so that the channel stays open.
            std::mem::forget(tx);
        }
        Ok(handle)
    }

    async fn execute(&self, req: Req) -> Res {
        let faults = *self.faults.lock().expect("lock not poisoned");
        if faults.refuse {
            return Res::json(503, &json!({"error": "draining"})).with_header("x-not-run", "1");
        }
        let request = RecordedRequest {
            request: req.header("x-request-id").unwrap_or_default().to_string(),
            method: req.method.clone(),
            path: req.path.clone(),
            body: String::from_utf8_lossy(&req.body).into_owned(),
        };
        let body = json!({"ran": request.request, "path": request.path});
        self.executed
            .lock()
            .expect("lock not poisoned")
            .push(request);
        if self.take_lost_response() {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        Res::json(faults.status.unwrap_or(200), &body)
    }

    /// Returns whether the response to a call is to be lost, and counts the fault down.
    fn take_lost_response(&self) -> bool {
        let mut faults = self.faults.lock().expect("lock not poisoned");
        let lost = faults.lose_answers > 0;
        faults.lose_answers -= u64::from(lost);
        lost
    }

    fn set_faults(&self, req: &Req) -> Res {
        match req.json::<Faults>() {
            Ok(faults) => {
                *self.faults.lock().expect("lock not poisoned") = faults;
                Res::json(200, &faults)
            }
            Err(e) => Res::json(400, &json!({"error": e})),
        }
    }

    fn ledger(&self) -> Res {
        let executed = self.executed.lock().expect("lock not poisoned");
        Res::json(200, &json!({"name": self.options.name, "runs": *executed}))
    }
}

impl web::Service for StubService {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        match req.segments().as_slice() {
            ["fault"] => self.set_faults(&req),
            ["ledger"] => self.ledger(),
            ["load"] => Res::json(200, &json!({"slots": 64, "running": 0, "waiting": 0})),
            _ => self.execute(req).await,
        }
    }
}
