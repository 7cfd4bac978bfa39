//! Forwards requests of other instances to upstreams.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use dial::{ConnectError, SendError, Target};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::{Request, Response, StatusCode, Version};
use place::{max_connections, Entry, Spec};
use tokio::time::{timeout_at, Sleep};
use transit::Mode;

use super::header::{self, Error};
use super::{DirectRequest, Transit};
use crate::body::{ResponseAborted, ResponseBody};
use crate::dialect::{Disposition, ResponseInfo};
use crate::event::Event;
use crate::exchange::RequestBody;
use crate::request_body::{read_body, BodyError};
use crate::request_context::InFlightGuard;
use crate::request_info::RequestInfo;
use crate::response_end::must_have_body;
use crate::router::Router;

/// How long a request without a timeout is forwarded, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 60_000;
/// Time after its deadline at which a request is ended here, in milliseconds. The instance that has
/// sent it ends it before, unless it is gone.
const DEADLINE_MARGIN_MS: u64 = 500;
/// Headers of an upstream's response that concern only the connection to it.
const HOP_BY_HOP: [HeaderName; 3] = [
    CONNECTION,
    TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
];

/// Counts a forwarded request until dropped.
struct CapacityGuard(Transit);

impl Drop for CapacityGuard {
    fn drop(&mut self) {
        self.0.capacity().end();
    }
}

/// Holds a slot of a brittle upstream for a forwarded request until dropped.
struct SlotGuard {
    transit: Transit,
    incarnation: String,
}

impl SlotGuard {
    /// Takes a slot if the upstream is brittle.
    fn enter(transit: &Transit, now: u64, incarnation: &str) -> Result<Option<SlotGuard>, Error> {
        match transit.pool().try_enter_forwarded(now, incarnation) {
            Entry::Unlimited => Ok(None),
            Entry::Slot => Ok(Some(SlotGuard {
                transit: transit.clone(),
                incarnation: incarnation.to_string(),
            })),
            Entry::Denied => Err(Error::NoSlot),
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.transit.pool().leave_forwarded(&self.incarnation);
    }
}

/// A request that is forwarded. Dropping it logs its end.
struct Forwarding {
    router: Arc<Router>,
    info: RequestInfo,
    /// The incarnation of the instance that has sent it.
    from: String,
    spec: Spec,
    arrived_at: u64,
    /// When the response is no longer wanted, in milliseconds.
    deadline: u64,
    /// Status of the response; 0 before it.
    status: u16,
    /// Whether the response was forwarded to its end.
    complete: bool,
    direct: DirectRequest,
    _slot: Option<SlotGuard>,
    _capacity: CapacityGuard,
    _in_flight: InFlightGuard,
}

impl Drop for Forwarding {
    fn drop(&mut self) {
        let ms = self.router.clock.now() - self.arrived_at;
        let detail = format_args!(
            "from={} upstream={} status={} complete={} ms={ms}",
            self.from, self.spec.id, self.status, self.complete
        );
        let log = &self.router.log;
        log.request_event(Event::Forwarded, &self.info.id, detail);
    }
}

/// Forwards a request of another instance, and returns the upstream's response.
pub(crate) async fn handle(
    router: &Arc<Router>,
    req: Request<RequestBody>,
) -> Response<ResponseBody> {
    let (mut head, body) = req.into_parts();
    let result = match admit(router, &head, body).await {
        Ok((forwarding, body)) => {
            for name in [header::TO, header::FROM, header::UPSTREAM, header::TIMEOUT] {
                head.headers.remove(name);
            }
            forward(forwarding, head, body).await
        }
        Err(error) => Err(error),
    };
    result.unwrap_or_else(|error| {
        let mut res = Response::new(ResponseBody::Buffered(Bytes::new()));
        *res.status_mut() = StatusCode::BAD_GATEWAY;
        let value = HeaderValue::from_static(error.as_str());
        res.headers_mut().insert(header::ERROR, value);
        res
    })
}

fn header_text(headers: &HeaderMap, name: HeaderName) -> &str {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}

/// Decides whether a request is forwarded, and reads its body.
async fn admit(
    router: &Arc<Router>,
    head: &request::Parts,
    body: RequestBody,
) -> Result<(Forwarding, Bytes), Error> {
    let arrived_at = router.clock.now();
    let transit = &router.transit;
    let is_addressee = header_text(&head.headers, header::TO) == router.fleet.incarnation();
    if !is_addressee || router.is_stopping() {
        return Err(Error::Stopping);
    }
    let incarnation = header_text(&head.headers, header::UPSTREAM);
    let spec = transit.pool().forward_target(arrived_at, incarnation);
    let spec = spec.ok_or(Error::Gone)?;
    if transit.mode(&spec.service) == Mode::Transit {
        return Err(Error::NoPath);
    }
    let active = router.config.active().ok_or(Error::NoPath)?;
    let info = router.dialect.parse_request(head);
    let info = info.map_err(|_| Error::NoPath)?;
    if router.is_link_congested() || !transit.capacity().try_begin() {
        return Err(Error::Full);
    }
    let capacity = CapacityGuard(transit.clone());
    let slot = SlotGuard::enter(transit, arrived_at, incarnation)?;
    let timeout_ms = header_text(&head.headers, header::TIMEOUT).parse();
    let deadline = arrived_at + timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let mut in_flight = InFlightGuard::new(router);
    let body = read_body(body, active.routing.limits.max_body_bytes);
    let body = match timeout_at(router.clock.at(deadline), body).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::NoMemory)) => return Err(Error::Full),
        Ok(Err(BodyError::TooLarge | BodyError::Broken(_))) | Err(_) => return Err(Error::NotSent),
    };
    // The body may have taken long to arrive.
    if router.is_stopping() {
        return Err(Error::Stopping);
    }
    router.with_link(|l, now| l.record_request_received(now, body.len()));
    if !in_flight.reserve_memory(body.len()) {
        return Err(Error::Full);
    }
    let forwarding = Forwarding {
        router: Arc::clone(router),
        info,
        from: header_text(&head.headers, header::FROM).to_string(),
        direct: transit.begin_direct(&spec.service),
        spec,
        arrived_at,
        deadline,
        status: 0,
        complete: false,
        _slot: slot,
        _capacity: capacity,
        _in_flight: in_flight,
    };
    Ok((forwarding, body))
}

async fn forward(
    mut forwarding: Forwarding,
    mut head: request::Parts,
    body: Bytes,
) -> Result<Response<ResponseBody>, Error> {
    let mut conn = connect(&forwarding).await?;
    let router = Arc::clone(&forwarding.router);
    let remaining_ms = forwarding.deadline.saturating_sub(router.clock.now());
    if remaining_ms == 0 {
        return Err(Error::NotSent);
    }
    let dialect = &router.dialect;
    dialect.set_timeout(&mut head.headers, remaining_ms);
    router.metrics.transit_forwarded.inc();
    router.with_link(|l, now| l.record_request_sent(now, body.len()));
    let method = head.method.clone();
    let req = Request::from_parts(head, Full::new(body));
    let ends_at = router.clock.at(forwarding.deadline + DEADLINE_MARGIN_MS);
    let sent = timeout_at(ends_at, conn.send(req)).await;
    let res = match sent {
        Ok(Ok(res)) => res,
        Ok(Err(SendError::NotSent(_))) => return Err(Error::NotSent),
        Ok(Err(error)) => {
            let (transit, spec) = (&router.transit, &forwarding.spec);
            transit.record_incarnation_broken(&spec.service, &spec.incarnation());
            return Err(match error {
                SendError::Closed(_) => Error::Closed,
                SendError::NotSent(_) | SendError::Broken(_) | SendError::Lost(_) => Error::Broken,
            });
        }
        Err(_) => return Err(Error::Broken),
    };
    forwarding.direct.record_response();
    router.record_alive(&forwarding.spec);
    let (mut head, body) = res.into_parts();
    forwarding.status = head.status.as_u16();
    let response_info = dialect.parse_response(&forwarding.info, &head);
    // A stream that is continued may have no event left.
    let may_end = forwarding.info.last_event_id.is_some() || !must_have_body(&method, &head);
    let (spec, sent_at) = (&forwarding.spec, forwarding.arrived_at);
    router
        .upstream_list
        .apply_brittle(spec, sent_at, &response_info, head.status);
    for name in HOP_BY_HOP {
        head.headers.remove(name);
    }
    head.headers.remove(header::ERROR);
    // In the version of an older upstream, a body that breaks off would have no other end than a whole one.
    head.version = Version::HTTP_11;
    let body = ForwardedBody {
        body,
        conn: Some(conn),
        forwarding,
        response_info,
        may_end,
        ends_at: Box::pin(tokio::time::sleep_until(ends_at)),
    };
    Ok(Response::from_parts(head, ResponseBody::Forwarded(body)))
}

/// Returns a connection to the upstream.
async fn connect(forwarding: &Forwarding) -> Result<dial::Conn, Error> {
    let (router, spec) = (&forwarding.router, &forwarding.spec);
    let incarnation = spec.incarnation();
    if let Some(conn) = router.dialer.take_idle(&incarnation) {
        return Ok(conn);
    }
    let transit = &router.transit;
    if transit.mode(&spec.service) != Mode::Direct {
        return Err(Error::NoPath);
    }
    let active = router.config.active().ok_or(Error::NoPath)?;
    let service = active.routing.services.get(&spec.service);
    let total = service.map_or(0, |s| s.max_connections as usize);
    let max = max_connections(total, router.fleet.instance_count());
    let target = Target {
        upstream: &incarnation,
        addr: spec.addr,
        max_connections: max.unwrap_or(usize::MAX),
        is_probe: false,
    };
    router.metrics.connection_attempts.inc();
    let until = router.clock.at(forwarding.deadline);
    match router.dialer.connect(target, until).await {
        Ok(conn) => {
            transit.record_connected(&spec.service);
            let now = router.clock.now();
            // The upstream may be leaving by now.
            let target = transit.pool().forward_target(now, &incarnation);
            target.map(|_| conn).ok_or(Error::Gone)
        }
        Err(ConnectError::Full) => Err(Error::NotSent),
        Err(error) => {
            transit.record_incarnation_unconnected(&spec.service, &incarnation, &error);
            match transit.mode(&spec.service) {
                Mode::Direct => Err(Error::Unreachable),
                Mode::OpenConnections | Mode::Transit => Err(Error::NoPath),
            }
        }
    }
}

/// The body of an upstream's response, on its way to another instance.
pub(crate) struct ForwardedBody {
    body: Incoming,
    conn: Option<dial::Conn>,
    forwarding: Forwarding,
    response_info: ResponseInfo,
    /// Whether what was received may be the whole body if the upstream says that it ends.
    may_end: bool,
    ends_at: Pin<Box<Sleep>>,
}

impl fmt::Debug for ForwardedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = &self.forwarding.info.id;
        f.debug_struct("ForwardedBody").field("id", id).finish()
    }
}

impl ForwardedBody {
    /// Records that the response is complete, and keeps the connection if it is clean.
    fn finish(&mut self) {
        self.forwarding.complete = true;
        let is_clean = matches!(
            self.response_info.disposition,
            Disposition::Executed | Disposition::NotExecuted
        );
        if let Some(conn) = self.conn.take().filter(|_| is_clean) {
            let dialer = &self.forwarding.router.dialer;
            dialer.put_idle(conn, self.response_info.keep_alive);
        }
    }
}

impl Drop for ForwardedBody {
    fn drop(&mut self) {
        // The body is not polled again after the last byte of a known length.
        if self.body.is_end_stream() && !self.forwarding.complete {
            self.finish();
        }
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        let this = self.get_mut();
        match Pin::new(&mut this.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                this.forwarding.direct.record_received();
                if let Some(data) = frame.data_ref() {
                    this.may_end = true;
                    let router = &this.forwarding.router;
                    router.with_link(|l, now| l.record_response(now, data.len()));
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                this.conn = None;
                Poll::Ready(Some(Err(ResponseAborted)))
            }
            Poll::Ready(None) if !this.may_end => {
                this.conn = None;
                Poll::Ready(Some(Err(ResponseAborted)))
            }
            Poll::Ready(None) => {
                this.finish();
                Poll::Ready(None)
            }
            Poll::Pending => this.ends_at.as_mut().poll(cx).map(|()| {
                this.conn = None;
                Some(Err(ResponseAborted))
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
