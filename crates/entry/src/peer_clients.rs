//! Calls other instances, over jsonrpsee.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use jsonrpsee_core::client::ClientT;
use jsonrpsee_core::params::ArrayParams;
use jsonrpsee_http_client::{HttpClient, HttpClientBuilder};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::{to_raw_value, RawValue};

use crate::metrics::Metrics;

/// Longer than a home lets an entry wait for tokens.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Largest message either way, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: u32 = 8 << 20;

/// Clients of other instances, by address.
#[derive(Default)]
pub struct PeerClients {
    clients: Mutex<BTreeMap<String, HttpClient>>,
    cut: Mutex<Vec<String>>,
}

impl PeerClients {
    fn client(&self, addr: &str) -> Result<HttpClient, String> {
        let mut clients = self.clients.lock().expect("no panic inside");
        if let Some(client) = clients.get(addr) {
            return Ok(client.clone());
        }
        let built = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{addr}"));
        let client = built.map_err(|e| e.to_string())?;
        clients.insert(addr.to_string(), client.clone());
        Ok(client)
    }

    /// Cuts the links to some addresses, for tests; replaces an earlier cut.
    pub fn set_blocked(&self, addrs: Vec<String>) {
        *self.cut.lock().expect("no panic inside") = addrs;
    }

    fn is_cut(&self, addr: &str) -> bool {
        let cut = self.cut.lock().expect("no panic inside");
        cut.iter().any(|a| a == addr)
    }

    /// Calls a method of another instance.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; the call may have been carried out.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        metrics: &Metrics,
        addr: &str,
        name: &str,
        msg: &P,
    ) -> Result<R, String> {
        if self.is_cut(addr) {
            return Err("the link is cut".to_string());
        }
        let client = self.client(addr)?;
        // As raw texts, so that their bytes are counted without writing them a second time.
        let text = to_raw_value(msg).map_err(|e| e.to_string())?;
        let sent = text.get().len();
        let mut params = ArrayParams::new();
        params.insert(text).map_err(|e| e.to_string())?;
        let called = client.request(name, params).await;
        let reply: Box<RawValue> = called.map_err(|e| e.to_string())?;
        let got = reply.get().len();
        metrics.count_peer_message(name, (sent + got) as u64);
        serde_json::from_str(reply.get()).map_err(|e| e.to_string())
    }
}
