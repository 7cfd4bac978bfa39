//! Sends requests through another instance.

use bytes::Bytes;
use dial::{ConnectError, SendError, Target};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use place::{Choice, Outcome};
use tokio::time::Instant;
use transit::Denial;

use super::header::{self, Error};
use super::{Asked, ForwardedRequest, Way};
use crate::fleet::Member;
use crate::router::Router;

/// Maximum number of instances that are asked to forward a request: each of them answers within a
/// round trip, unless it can't be connected.
pub(crate) const MAX_ASKED: usize = 4;

/// A connection to an instance that forwards a request.
pub(crate) struct Connection {
    pub(crate) conn: dial::Conn,
    pub(crate) request: ForwardedRequest,
    /// The incarnation of the other instance.
    pub(crate) incarnation: String,
}

/// What became of a request.
pub(crate) enum SendOutcome {
    /// The response of the upstream.
    Response(Response<Incoming>),
    /// Nothing was sent by the instance that was asked to forward it, for the given reason.
    Denied(&'static str),
    /// Nothing was sent, because of the upstream: that instance could not connect to it either, or
    /// knows that it accepts no requests.
    UpstreamFailed(Outcome, &'static str),
    /// There is no response of the upstream.
    Failed(SendError),
    /// There is no response of the instance that was asked to forward it.
    Lost(String),
}

/// Returns the key under which connections to an instance are kept: never that of an upstream.
fn pool_key(member: &Member) -> String {
    format!("transit/{}", member.id)
}

impl Router {
    /// Connects to an instance that is expected to forward a request; none if there is none. Adds the
    /// instances that were chosen to those that were `asked`.
    pub(crate) async fn connect_transit(
        &self,
        service: &str,
        regions: &[String],
        asked: &mut Asked,
        until: Instant,
    ) -> Option<Connection> {
        while asked.len() < MAX_ASKED && Instant::now() < until {
            let request = self.transit.begin_forwarded(service, regions, asked)?;
            asked.push(request.addr);
            if let Some(connection) = self.connect_instance(request, until).await {
                return Some(connection);
            }
        }
        None
    }

    /// Connects to an instance that owns slots of the chosen upstream, which is brittle; none if there
    /// is none left. Adds the instances that were chosen to those that were `asked`.
    pub(crate) async fn connect_slot_owner(
        &self,
        choice: &Choice,
        regions: &[String],
        asked: &mut Asked,
        until: Instant,
    ) -> Option<Connection> {
        while asked.len() < MAX_ASKED && Instant::now() < until {
            let request = self.transit.begin_at_owner(choice, regions, asked)?;
            asked.push(request.addr);
            if let Some(connection) = self.connect_instance(request, until).await {
                return Some(connection);
            }
        }
        None
    }

    async fn connect_instance(
        &self,
        request: ForwardedRequest,
        until: Instant,
    ) -> Option<Connection> {
        let member = self.transit.member(request.addr)?;
        let key = pool_key(&member);
        let conn = match self.dialer.take_idle(&key) {
            Some(conn) => Ok(conn),
            None => {
                let target = Target {
                    upstream: &key,
                    addr: member.transit_addr?,
                    max_connections: usize::MAX,
                    is_probe: false,
                };
                self.dialer.connect(target, until).await
            }
        };
        let conn = match conn {
            Ok(conn) => conn,
            Err(ConnectError::Full) => {
                request.record_denial(Denial::Full);
                return None;
            }
            Err(_) => {
                request.record_denial(Denial::Unreachable);
                return None;
            }
        };
        Some(Connection {
            conn,
            request,
            incarnation: member.id.clone(),
        })
    }
}

/// The headers that an instance needs to forward a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Header<'a> {
    /// The incarnation that forwards the request.
    pub(crate) to: &'a str,
    /// The incarnation of this instance.
    pub(crate) from: &'a str,
    /// The incarnation of the upstream.
    pub(crate) upstream: &'a str,
    /// Time until the response is no longer wanted, in milliseconds.
    pub(crate) remaining_ms: u64,
}

impl Header<'_> {
    /// Inserts the headers into a request.
    ///
    /// # Errors
    ///
    /// Returns why a name can't be sent in a header.
    pub(crate) fn insert(&self, req: &mut Request<Full<Bytes>>) -> Result<(), String> {
        let value = |text: &str| HeaderValue::from_str(text).map_err(|e| e.to_string());
        let headers = req.headers_mut();
        headers.insert(header::TO, value(self.to)?);
        headers.insert(header::FROM, value(self.from)?);
        headers.insert(header::UPSTREAM, value(self.upstream)?);
        headers.insert(header::TIMEOUT, self.remaining_ms.into());
        Ok(())
    }
}

impl Way {
    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &self,
        conn: &mut dial::Conn,
        req: Request<Full<Bytes>>,
    ) -> SendOutcome {
        let sent = conn.send(req).await;
        match self {
            Way::Direct(request) => match sent {
                Ok(res) => {
                    request.record_response();
                    SendOutcome::Response(res)
                }
                Err(error) => SendOutcome::Failed(error),
            },
            Way::Forwarded(request) => match sent {
                Ok(res) => request.outcome(res),
                Err(error) => request.failure(error),
            },
        }
    }
}

impl ForwardedRequest {
    /// Returns what a response of the other instance means.
    fn outcome(&self, res: Response<Incoming>) -> SendOutcome {
        self.record_received();
        let Some(error) = res.headers().get(header::ERROR) else {
            return SendOutcome::Response(res);
        };
        let error = Error::parse(error.as_bytes());
        let why = format!("reported by the forwarding instance: {error:?}");
        let denial = match error {
            Error::Stopping => Denial::Stopping,
            Error::Full => Denial::Full,
            Error::NoPath => Denial::NoPath,
            Error::Unreachable => {
                return SendOutcome::UpstreamFailed(Outcome::Unresponsive, error.as_str())
            }
            Error::Gone => return SendOutcome::UpstreamFailed(Outcome::Abandoned, error.as_str()),
            Error::NoSlot => return SendOutcome::Denied(error.as_str()),
            Error::NotSent => return SendOutcome::Failed(SendError::NotSent(why)),
            Error::Closed => return SendOutcome::Failed(SendError::Closed(why)),
            Error::Broken => return SendOutcome::Failed(SendError::Broken(why)),
        };
        self.record_denial(denial);
        SendOutcome::Denied(error.as_str())
    }

    /// Returns what a failed connection to the other instance means.
    fn failure(&self, error: SendError) -> SendOutcome {
        self.record_denial(Denial::Unreachable);
        match error {
            SendError::NotSent(_) => SendOutcome::Denied("connection closed"),
            // The upstream may have responded although this instance has received nothing.
            SendError::Closed(why) | SendError::Broken(why) | SendError::Lost(why) => {
                SendOutcome::Lost(format!("connection to the forwarding instance: {why}"))
            }
        }
    }
}
