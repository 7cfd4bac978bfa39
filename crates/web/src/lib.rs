//! HTTP listeners: one request in, one answer out.
//!
//! The areas above deal with whole requests and with answers that are whole or streamed. Only this
//! crate knows the HTTP library.

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

/// A caller has this long to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// A caller has this long to send its headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Parts of a streamed answer that may wait for a slow caller.
const STREAM_DEPTH: usize = 32;

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Req {
    /// The method, in capitals.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query, without its mark.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Who sent it.
    pub remote_addr: SocketAddr,
}

impl Req {
    /// Returns a header that is a text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the parts of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it, and where.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|e| e.to_string())
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// It is whole.
    Full(Bytes),
    /// It comes in parts, until the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

/// An answer.
#[derive(Debug)]
pub struct Res {
    /// The status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Body,
}

impl Res {
    /// Makes an answer of JSON.
    ///
    /// # Panics
    ///
    /// Panics when the value can't be written as JSON, which is a fault of this program.
    pub fn json(status: u16, value: &impl Serialize) -> Res {
        let text = serde_json::to_vec(value).expect("a value that JSON can hold");
        Res::new(status, "application/json", text)
    }

    /// Makes an answer of some media type.
    pub fn new(status: u16, media: &str, body: impl Into<Bytes>) -> Res {
        Res {
            status,
            headers: vec![("content-type", media.to_string())],
            body: Body::Full(body.into()),
        }
    }

    /// Makes an answer of server-sent events, and the sender of its parts.
    pub fn event_stream() -> (mpsc::Sender<Bytes>, Res) {
        let (tx, rx) = mpsc::channel(STREAM_DEPTH);
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

/// Returns one server-sent event of JSON.
pub fn sse_event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}

/// What answers the requests of a listener.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn call(self: Arc<Self>, req: Req) -> impl Future<Output = Res> + Send;

    /// Answers a request whose body could not be read.
    fn unreadable_body(&self, too_large: bool) -> Res {
        let status = if too_large { 413 } else { 400 };
        Res::new(status, "text/plain", "the body can't be read")
    }
}

struct Goal<S> {
    service: Arc<S>,
    body_limit: usize,
}

#[async_trait]
impl<S: Service> Handler for Goal<S> {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let answer = match take(req, self.body_limit).await {
            Ok(req) => Arc::clone(&self.service).call(req).await,
            Err(too_large) => self.service.unreadable_body(too_large),
        };
        give(answer, res);
    }
}

/// Reads a request; tells whether it was too large if that fails.
async fn take(req: &mut Request, limit: usize) -> Result<Req, bool> {
    let remote = req.remote_addr().clone().into_std();
    let announced: usize = req.header("content-length").unwrap_or(0);
    if announced > limit {
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

/// The library wraps its limit's error without a kind of its own; its name is all there is.
fn is_too_large(error: &impl std::fmt::Debug) -> bool {
    format!("{error:?}").contains("LengthLimitError")
}

fn give(answer: Res, res: &mut Response) {
    res.status_code(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY));
    for (name, value) in answer.headers {
        if let Ok(value) = HeaderValue::from_str(&value) {
            res.headers_mut()
                .insert(HeaderName::from_static(name), value);
        }
    }
    match answer.body {
        Body::Full(bytes) => {
            res.body(bytes);
        }
        Body::Stream(rx) => {
            res.stream(ReceiverStream::new(rx).map(Ok::<Bytes, std::io::Error>));
        }
    }
}

/// A running listener.
#[derive(Clone)]
pub struct ServerHandle {
    addr: SocketAddr,
    server: salvo::server::ServerHandle,
}

impl ServerHandle {
    /// Returns the address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops taking connections and ends the open ones after a time.
    pub fn stop(&self, grace: Duration) {
        self.server.stop_graceful(Some(grace));
    }
}

/// Binds a listener and answers its requests.
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
    let goal = Goal {
        service,
        body_limit,
    };
    let router = Router::with_path("{**path}").goal(goal);
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

/// Returns the method for a name.
pub fn parse_method(name: &str) -> Method {
    Method::from_bytes(name.as_bytes()).unwrap_or(Method::GET)
}
