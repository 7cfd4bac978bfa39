//! HTTP listeners, which pass requests with their complete bodies to a service and send its full or
//! streamed responses.
//!
//! Only this crate depends on salvo, the HTTP server library.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use hyper_util::rt::TokioTimer;
use salvo::conn::{Acceptor, Listener, TcpListener};
use salvo::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use salvo::{async_trait, Depot, FlowCtrl, Handler, Request, Response, Router, Server};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of chunks of a streamed response that are buffered for a slow caller.
const STREAM_BUFFER: usize = 32;

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Req {
    /// The method, such as `GET`.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query without the question mark.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Address of the caller.
    pub remote_addr: SocketAddr,
}

impl Req {
    /// Returns the value of a header; `None` if it is missing or not visible ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns what is wrong and where.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|e| e.to_string())
    }
}

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// The complete body.
    Full(Bytes),
    /// Chunks of the body; it ends when the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

/// A response.
#[derive(Debug)]
pub struct Res {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Body,
}

impl Res {
    /// Creates a response in JSON.
    ///
    /// # Panics
    ///
    /// Panics if the value can't be serialized, which is a bug.
    pub fn json(status: u16, value: &impl Serialize) -> Res {
        let text = serde_json::to_vec(value).expect("serializable value");
        Res::new(status, "application/json", text)
    }

    /// Creates a response of a media type.
    pub fn new(status: u16, media: &str, body: impl Into<Bytes>) -> Res {
        Res {
            status,
            headers: vec![("content-type", media.to_string())],
            body: Body::Full(body.into()),
        }
    }

    /// Creates a response of server-sent events, and the sender of its chunks.
    pub fn event_stream() -> (mpsc::Sender<Bytes>, Res) {
        let (tx, rx) = mpsc::channel(STREAM_BUFFER);
        let res = Res {
            status: 200,
            headers: vec![
                ("content-type", "text/event-stream".to_string()),
                ("cache-control", "no-cache".to_string()),
            ],
            body: Body::Stream(rx),
        };
        (tx, res)
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Res {
        self.headers.push((name, value.into()));
        self
    }
}

/// Returns a server-sent event with JSON data.
pub fn sse_event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

/// Handles the requests of a listener.
pub trait Service: Send + Sync + 'static {
    /// Handles a request.
    fn call(self: Arc<Self>, req: Req) -> impl Future<Output = Res> + Send;

    /// Returns the response to a request whose body could not be read.
    fn unreadable_body(&self, too_large: bool) -> Res {
        let status = if too_large { 413 } else { 400 };
        Res::new(status, "text/plain", "the body can't be read")
    }
}

struct ServiceHandler<S> {
    service: Arc<S>,
    body_limit: usize,
}

#[async_trait]
impl<S: Service> Handler for ServiceHandler<S> {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let response = match read_request(req, self.body_limit).await {
            Ok(req) => Arc::clone(&self.service).call(req).await,
            Err(too_large) => self.service.unreadable_body(too_large),
        };
        write_response(response, res);
    }
}

/// Reads a request. If that fails, returns whether the request is too large.
async fn read_request(req: &mut Request, limit: usize) -> Result<Req, bool> {
    let remote = req.remote_addr().clone().into_std();
    let content_length: usize = req.header("content-length").unwrap_or(0);
    if content_length > limit {
        return Err(true);
    }
    let read = req.payload_with_max_size(limit);
    let body = match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => body.clone(),
        Ok(Err(e)) => return Err(is_too_large(&e)),
        Err(_) => return Err(false),
    };
    Ok(Req {
        method: req.method().as_str().to_string(),
        path: req.uri().path().to_string(),
        query: req.uri().query().unwrap_or_default().to_string(),
        headers: req.headers().clone(),
        body,
        remote_addr: remote.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0))),
    })
}

/// Returns whether the error is about the size limit. The library wraps that error without a variant of
/// its own, so it can only be recognized by its name.
fn is_too_large(error: &impl std::fmt::Debug) -> bool {
    format!("{error:?}").contains("LengthLimitError")
}

fn write_response(response: Res, res: &mut Response) {
    res.status_code(StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY));
    for (name, value) in response.headers {
        if let Ok(value) = HeaderValue::from_str(&value) {
            res.headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
    }
    match response.body {
        Body::Full(bytes) => {
            res.body(bytes);
        }
        Body::Stream(rx) => {
            res.stream(ReceiverStream::new(rx).map(Ok::<Bytes, std::io::Error>));
        }
    }
}

/// Handle to a running listener.
#[derive(Clone)]
pub struct ServerHandle {
    addr: SocketAddr,
    server: salvo::server::ServerHandle,
}

impl ServerHandle {
    /// Returns the address that the listener is bound to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections, and closes the open ones after a grace period at the latest.
    pub fn stop(&self, grace: Duration) {
        self.server.stop_graceful(Some(grace));
    }
}

/// Binds a listener and starts to serve its requests.
///
/// # Errors
///
/// Returns why the address can't be bound.
pub async fn bind<S: Service>(
    addr: SocketAddr,
    body_limit: usize,
    service: Arc<S>,
) -> Result<ServerHandle, String> {
    let listener = TcpListener::new(addr).try_bind().await;
    let acceptor = listener.map_err(|e| format!("{addr}: {e}"))?;
    let holding = acceptor.holdings().first().map(|h| h.local_addr.clone());
    let addr = holding.and_then(|a| a.into_std()).unwrap_or(addr);
    let handler = ServiceHandler {
        service,
        body_limit,
    };
    let router = Router::with_path("{**path}").goal(handler);
    let mut server = Server::new(acceptor);
    let http1 = server.http1_mut();
    http1.timer(TokioTimer::new());
    http1.header_read_timeout(HEADER_TIMEOUT);
    let handle = server.handle();
    tokio::spawn(server.serve(router));
    Ok(ServerHandle {
        addr,
        server: handle,
    })
}

/// Returns the HTTP method with a name; GET if the name is invalid.
pub fn parse_method(name: &str) -> Method {
    Method::from_bytes(name.as_bytes()).unwrap_or(Method::GET)
}
