//! HTTP listeners, which pass requests with their complete bodies to a service and send its full or
//! streamed responses. What the clients of a listener can make the process keep is limited.

mod connection;
mod limits;
mod listener;
mod memory;
mod response;
mod stream;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::mpsc;

pub use limits::Limits;
pub use listener::{bind_socket, Listener, ServerHandle};
pub use memory::Memory;

/// Maximum number of chunks of a streamed response that are buffered for a slow caller.
const STREAM_BUFFER: usize = 32;

/// Maximum size of a response for which no memory is kept, in bytes.
const MAX_UNHELD_BYTES: usize = 16 << 10;

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

    /// Returns whether the headers announce a body.
    pub fn announces_body(&self) -> bool {
        let length = self.header("content-length").unwrap_or("0");
        length != "0" || self.headers.contains_key("transfer-encoding")
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

    /// Keeps memory for a long body until its client has read it. A response that does not fit becomes a refusal, so
    /// this is for requests that change nothing.
    pub fn held_in(self, memory: &Memory) -> Res {
        match self.body {
            Body::Full(bytes) if bytes.len() > MAX_UNHELD_BYTES => {
                match memory.hold(bytes.into()) {
                    Some(bytes) => Res {
                        body: Body::Full(bytes),
                        ..self
                    },
                    None => Res::new(503, "text/plain", "no memory left for the response"),
                }
            }
            Body::Full(_) | Body::Stream(_) => self,
        }
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

/// Why the body of a request was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// There is no memory left for it.
    NoMemory,
    /// It was not received completely in time.
    Incomplete,
}

/// Handles the requests of a listener.
pub trait Service: Send + Sync + 'static {
    /// Handles a request.
    fn call(self: Arc<Self>, req: Req) -> impl Future<Output = Res> + Send;

    /// Decides whether to read the body of a request, which is still empty.
    ///
    /// # Errors
    ///
    /// Returns the response if the request is refused.
    fn admit(&self, _req: &Req) -> Result<(), Res> {
        Ok(())
    }

    /// Returns the response to a request whose body could not be read.
    fn unreadable_body(&self, error: BodyError) -> Res {
        let status = match error {
            BodyError::TooLarge => 413,
            BodyError::NoMemory => 503,
            BodyError::Incomplete => 400,
        };
        Res::new(status, "text/plain", "the body can't be read")
    }
}

/// Binds a listener and starts to serve its requests.
///
/// # Errors
///
/// Returns why the address can't be bound.
pub async fn bind<S: Service>(
    addr: SocketAddr,
    limits: Limits,
    service: Arc<S>,
) -> Result<ServerHandle, String> {
    Ok(Listener::bind(addr, limits)?.serve(service))
}

/// Returns the HTTP method with a name; GET if the name is invalid.
pub fn parse_method(name: &str) -> Method {
    Method::from_bytes(name.as_bytes()).unwrap_or(Method::GET)
}
