//! JSON-RPC clients of the other instances.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use jsonrpsee_core::client::ClientT;
use jsonrpsee_core::params::ArrayParams;
use jsonrpsee_http_client::HttpClient;
use peer::Member;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::value::{to_raw_value, RawValue};

use crate::metrics::Metrics;

/// Timeout of a call: longer than a home waits for tokens before it replies to a reservation.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum size of a message or reply, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: u32 = 8 << 20;

/// Where a call is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerRef {
    /// Address of the instance.
    pub addr: String,
    /// Incarnation that the call is for; none if only the address is known, from the settings.
    pub id: Option<String>,
}

impl From<&Member> for PeerRef {
    fn from(member: &Member) -> PeerRef {
        PeerRef {
            addr: member.peer_addr.clone(),
            id: Some(member.id.clone()),
        }
    }
}

/// The clients of the other instances.
#[derive(Default)]
pub struct PeerClients {
    /// The latest client for each address, with the incarnation that its calls are for.
    clients: Mutex<BTreeMap<String, (Option<String>, HttpClient)>>,
    /// Addresses to which calls fail, for tests.
    blocked: Mutex<Vec<String>>,
}

impl PeerClients {
    fn client(&self, to: &PeerRef) -> Result<HttpClient, String> {
        let mut clients = self.clients.lock().expect("lock not poisoned");
        if let Some((id, client)) = clients.get(&to.addr) {
            if *id == to.id {
                return Ok(client.clone());
            }
        }
        let built = rpc::client_builder(to.id.as_deref())?
            .request_timeout(CALL_TIMEOUT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{}", to.addr));
        let client = built.map_err(|e| e.to_string())?;
        clients.insert(to.addr.clone(), (to.id.clone(), client.clone()));
        Ok(client)
    }

    /// Makes calls to these addresses fail, for tests; replaces the previous list.
    pub fn set_blocked(&self, addrs: Vec<String>) {
        *self.blocked.lock().expect("lock not poisoned") = addrs;
    }

    fn is_blocked(&self, addr: &str) -> bool {
        let blocked = self.blocked.lock().expect("lock not poisoned");
        blocked.iter().any(|a| a == addr)
    }

    /// Calls a method of another instance.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply; the call may have been executed.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        metrics: &Metrics,
        to: &PeerRef,
        method: &str,
        msg: &P,
    ) -> Result<R, String> {
        if self.is_blocked(&to.addr) {
            return Err("calls to this address are blocked".to_string());
        }
        let client = self.client(to)?;
        // Raw values, so that their bytes can be counted without serializing twice.
        let value = to_raw_value(msg).map_err(|e| e.to_string())?;
        let sent = value.get().len();
        let mut params = ArrayParams::new();
        params.insert(value).map_err(|e| e.to_string())?;
        let called = client.request(method, params).await;
        let reply: Box<RawValue> = called.map_err(|e| e.to_string())?;
        let received = reply.get().len();
        metrics.count_peer_message(method, (sent + received) as u64);
        serde_json::from_str(reply.get()).map_err(|e| e.to_string())
    }
}
