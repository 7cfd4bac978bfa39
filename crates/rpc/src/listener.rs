//! A listener for calls of other instances, whose clients are limited like those of other listeners.

use std::net::SocketAddr;
use std::sync::Arc;

use http_body_util::{BodyExt, Full};
use jsonrpsee_server::{stop_channel, Methods, Server, ServerConfig, ServerHandle, TowerService};
use tower::layer::util::Identity;
use tower::Service as _;
use web::{Limits, Memory, Req, Res};

use crate::{Addressee, ADDRESSEE_HEADER};

/// The requests in progress are limited by the connections of the listener.
const MAX_CALLS: u32 = u32::MAX;

/// A bound listener that does not serve yet.
#[derive(Debug)]
pub struct Listener {
    listener: web::Listener,
    max_response_bytes: u32,
}

impl Listener {
    /// Binds a listener whose responses have at most `max_response_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns why the address can't be bound.
    pub fn bind(
        addr: SocketAddr,
        limits: Limits,
        max_response_bytes: u32,
    ) -> Result<Listener, String> {
        Ok(Listener {
            listener: web::Listener::bind(addr, limits)?,
            max_response_bytes,
        })
    }

    /// Returns the address that the listener is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Starts to answer calls.
    pub fn serve(self, methods: impl Into<Methods>) -> web::ServerHandle {
        let (stop_handle, server_handle) = stop_channel();
        let config = ServerConfig::builder()
            .http_only()
            .max_connections(MAX_CALLS)
            .max_request_body_size(u32::MAX)
            .max_response_body_size(self.max_response_bytes)
            .build();
        let builder = Server::builder().set_config(config).to_service_builder();
        let memory = self.listener.limits().memory.clone();
        self.listener.serve(Arc::new(Calls {
            memory,
            service: builder.build(methods, stop_handle),
            _running: server_handle,
        }))
    }
}

/// Answers calls.
struct Calls {
    /// Memory for responses that their clients have not read yet.
    memory: Memory,
    service: TowerService<Identity, Identity>,
    /// Stops the service when dropped.
    _running: ServerHandle,
}

impl web::Service for Calls {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        let called = self.service.clone().call(request(req)).await;
        match called {
            Ok(res) => self.response(res).await,
            Err(e) => Res::new(500, "text/plain", e.to_string()),
        }
    }
}

impl Calls {
    /// Converts a response. Only lists are long: what changes something has a short response, which is not refused.
    async fn response(&self, res: jsonrpsee_server::HttpResponse) -> Res {
        let status = res.status().as_u16();
        // The body is complete already.
        match res.into_body().collect().await {
            Ok(body) => {
                let res = Res::new(status, "application/json; charset=utf-8", body.to_bytes());
                res.held_in(&self.memory)
            }
            Err(e) => Res::new(500, "text/plain", e.to_string()),
        }
    }
}

/// Converts a request, and keeps its addressee for the handler of the call.
fn request(req: Req) -> jsonrpsee_server::HttpRequest<Full<bytes::Bytes>> {
    let mut request = jsonrpsee_server::HttpRequest::new(Full::new(req.body));
    *request.method_mut() = web::parse_method(&req.method);
    if let Some(to) = req.headers.get(ADDRESSEE_HEADER).cloned() {
        request.extensions_mut().insert(Addressee(to));
    }
    *request.headers_mut() = req.headers;
    request
}
