//! Event streams. Each event is forwarded as it is received: completely, in order and once. A
//! stream that is aborted by its upstream is resumed at another one if that is allowed; otherwise
//! the response to the caller is aborted too.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::response;
use hyper::Response;
use origin::{Origin, OriginRecord};
use place::{Choice, Outcome};
use tokio::time::timeout_at;

use crate::attempt::{attempt, AttemptGuard, OpenResponse};
use crate::attempt_error::{AttemptError, AttemptHistory};
use crate::body::{BodySender, ResponseBody};
use crate::buffered::{self, ALWAYS_BUFFERED_BYTES};
use crate::dialect::ResponseInfo;
use crate::event::Event;
use crate::refusal::Refusal;
use crate::request_context::{RequestContext, StreamVersion};
use crate::response_end::must_have_body;
use crate::response_memory::ResponseMemory;
use crate::router::Router;
use crate::sse::{SseEvent, SseParser};

/// Maximum number of events that are queued for a slow caller.
const MAX_QUEUED_EVENTS: usize = 16;

/// Time after its deadline for which the origin of a stream is kept, in milliseconds: clocks of callers
/// and instances run at different rates.
const RETURN_MARGIN_MS: u64 = 1_000;

/// Maximum time that a request waits until the store has a version at which its stream may begin, in milliseconds: a
/// few calls to the store.
const MAX_RECORDING_WAIT_MS: u64 = 500;

/// The stream from one upstream.
struct UpstreamStream {
    guard: AttemptGuard,
    conn: dial::Conn,
    body: Incoming,
    info: ResponseInfo,
    parser: SseParser,
    /// Memory of an event that is large.
    memory: ResponseMemory,
}

/// What a stream yields next.
enum Next {
    Event(SseEvent),
    /// The stream is complete.
    End,
    /// The stream can't go on, and what that says about its upstream.
    Aborted(String, Outcome),
}

impl UpstreamStream {
    /// Creates a stream from a response; also returns the response's head.
    fn new(router: &Arc<Router>, open: OpenResponse) -> (UpstreamStream, response::Parts) {
        let stream = UpstreamStream {
            memory: ResponseMemory::new(router),
            guard: open.guard,
            conn: open.conn,
            body: open.body,
            info: open.info,
            parser: SseParser::default(),
        };
        (stream, open.head)
    }

    fn upstream(&self) -> &str {
        &self.guard.choice.spec.id
    }

    async fn next(&mut self) -> Next {
        let invalid = |why: &str| Next::Aborted(why.to_string(), Outcome::InvalidResponse);
        loop {
            if let Some(event) = self.parser.next_event() {
                self.guard.record_event();
                return Next::Event(self.hold(event));
            }
            match self.body.frame().await {
                None if self.parser.is_at_event_boundary() => return Next::End,
                None => {
                    self.guard.record_alive();
                    return invalid("the stream ended within an event");
                }
                Some(Err(e)) => {
                    if !dial::is_lost(&e) {
                        self.guard.record_alive();
                    }
                    return invalid(&e.to_string());
                }
                Some(Ok(frame)) => {
                    self.guard.record_received();
                    let fits = frame.data_ref().is_none_or(|d| self.parser.push(d));
                    if !fits {
                        return invalid("an event exceeds the maximum size");
                    }
                    let len = self.parser.buffered_len();
                    if len > ALWAYS_BUFFERED_BYTES && !self.memory.grow_to(len) {
                        let why = "there is no memory left for a large event";
                        return Next::Aborted(why.to_string(), Outcome::Abandoned);
                    }
                }
            }
        }
    }

    /// Lets a large event hold its memory until it is written to the caller.
    fn hold(&mut self, mut event: SseEvent) -> SseEvent {
        if !self.memory.is_empty() {
            let unused = ResponseMemory::new(&self.memory.router);
            let memory = std::mem::replace(&mut self.memory, unused);
            event.bytes = memory.hold(event.bytes);
        }
        event
    }

    /// Records the success of the attempt, and keeps the connection for later requests.
    fn finish(self, ctx: &RequestContext) {
        self.guard.end(Outcome::Success);
        ctx.router.dialer.put_idle(self.conn, self.info.keep_alive);
    }
}

/// The response to a request for a stream.
enum Begun {
    /// A stream with its first event; none if the stream ended without any.
    Stream {
        stream: UpstreamStream,
        head: response::Parts,
        first: Option<SseEvent>,
    },
    /// The upstream responded with something other than a stream.
    NotStream(Response<ResponseBody>),
}

/// Responds to a request whose response is a stream.
///
/// # Errors
///
/// Returns why there is no response.
pub(crate) async fn respond(mut ctx: RequestContext) -> Result<Response<ResponseBody>, Refusal> {
    if ctx.begins_resumable_stream() {
        wait_until_recorded(&ctx).await;
    }
    let mut history = AttemptHistory::new();
    let (stream, head, first) = loop {
        let error = match begin(&mut ctx).await {
            Ok(Begun::NotStream(res)) => return Ok(res),
            Ok(Begun::Stream {
                stream,
                head,
                first,
            }) => break (stream, head, first),
            Err(error) => error,
        };
        if !history.try_retry(&mut ctx, &error) {
            return Err(history.refusal(&ctx, error));
        }
    };
    ctx.record_first_output();
    if first.is_some() {
        log_beginning(&ctx, &stream);
        bind(&mut ctx, &stream);
    }
    let (tx, body) = BodySender::new(MAX_QUEUED_EVENTS);
    let mut res = Response::new(body);
    *res.status_mut() = head.status;
    *res.headers_mut() = ctx.router.dialect.response_headers(&head);
    let forwarder = Forwarder {
        last_event_id: ctx.info.last_event_id,
        event_count: 0,
        ctx,
        tx,
    };
    tokio::spawn(forwarder.run(stream, first));
    Ok(res)
}

/// Waits until the store has the version of a listed upstream: streams begin only there. If it is unavailable, nothing
/// shows when it will have it.
async fn wait_until_recorded(ctx: &RequestContext) {
    let (router, service) = (&ctx.router, &ctx.service);
    let mut recordings = router.origins.recordings();
    let until = ctx.deadline.min(ctx.arrived_at + MAX_RECORDING_WAIT_MS);
    let until = router.clock.at(until);
    while !router.has_recorded_version(service) && !router.store_health.is_unavailable() {
        if timeout_at(until, recordings.changed()).await.is_err() {
            return;
        }
    }
}

/// Binds a stream to the software version that has begun it, from its first event on, and sends the record
/// of that to other instances.
fn bind(ctx: &mut RequestContext, stream: &UpstreamStream) {
    if !ctx.is_retryable() {
        return;
    }
    if ctx.stream_version == StreamVersion::Any {
        let version = software_version(ctx, &stream.guard.choice);
        ctx.stream_version = version.map_or(StreamVersion::Unknown, StreamVersion::Only);
    }
    let StreamVersion::Only(version) = &ctx.stream_version else {
        return;
    };
    let record = OriginRecord {
        request: ctx.stream_id().to_string(),
        origin: Origin {
            service: ctx.service.clone(),
            version: version.clone(),
        },
        ttl_ms: ctx.caller_remaining_ms() + RETURN_MARGIN_MS,
    };
    let router = &ctx.router;
    router.origins.publish(&router.network, &ctx.route, record);
}

/// Returns the software version of a chosen upstream, by its present list entry or because its service has
/// had no other; none if it is not known for sure.
fn software_version(ctx: &RequestContext, choice: &Choice) -> Option<String> {
    let pool = ctx.router.pool.lock().expect("lock not poisoned");
    let version = pool.software_version(choice).map(str::to_string);
    drop(pool);
    version.or_else(|| ctx.router.origins.sole_version(&ctx.service))
}

/// Returns whether a chosen upstream may serve a stream: one that has started again since the choice may
/// have another software version than the one that began the stream.
fn has_stream_version(ctx: &RequestContext, choice: &Choice) -> bool {
    match &ctx.stream_version {
        StreamVersion::Any => true,
        StreamVersion::Only(version) => {
            software_version(ctx, choice).as_deref() == Some(version.as_str())
        }
        StreamVersion::Unknown => false,
    }
}

/// Logs which upstream, and which version of its software, began or took up a stream.
fn log_beginning(ctx: &RequestContext, stream: &UpstreamStream) {
    let spec = &stream.guard.choice.spec;
    let (log, id) = (&ctx.router.log, &ctx.info.id);
    let Some(after) = ctx.info.last_event_id else {
        let detail = format_args!("upstream={} version={}", spec.incarnation(), spec.version);
        return log.request_event(Event::StreamBegan, id, detail);
    };
    let detail = format_args!(
        "after={after} resumes={} upstream={} version={}",
        ctx.info.resumes.as_deref().unwrap_or("-"),
        spec.incarnation(),
        spec.version
    );
    log.request_event(Event::StreamTakenUp, id, detail);
}

/// Sends the request and waits for the first event.
async fn begin(ctx: &mut RequestContext) -> Result<Begun, AttemptError> {
    let last_event_id = ctx.info.last_event_id;
    let open = attempt(ctx, last_event_id).await?;
    let content_type = open.head.headers.get(CONTENT_TYPE);
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    let is_stream = open.head.status.is_success() && content_type.starts_with("text/event-stream");
    if !is_stream {
        let res = buffered::read_response(ctx, open).await;
        return res.map(Begun::NotStream).map_err(AttemptError::Unknown);
    }
    let (mut stream, head) = UpstreamStream::new(&ctx.router, open);
    let until = ctx.router.clock.at(ctx.deadline);
    let mut path = stream.guard.path_watch();
    let next = path.run(timeout_at(until, stream.next())).await;
    let upstream = stream.upstream().to_string();
    let Ok(next) = next else {
        let why = format!("upstream={upstream} path lost before the first event");
        return Err(AttemptError::Unknown(why));
    };
    let next = match next {
        // A stream that is continued may have no event left.
        Ok(Next::End) if last_event_id.is_none() && must_have_body(&ctx.head.method, &head) => {
            let why = "connection closed before the first event";
            Ok(Next::Aborted(why.to_string(), Outcome::InvalidResponse))
        }
        next => next,
    };
    // An upstream may send the head of a stream before it runs the request.
    if matches!(next, Ok(Next::Event(_) | Next::End)) {
        ctx.record_answered();
    }
    match next {
        Ok(Next::Event(_)) if !has_stream_version(ctx, &stream.guard.choice) => {
            let why = format!("upstream={upstream} its software version has changed");
            Err(AttemptError::Unknown(why))
        }
        Ok(Next::Event(event)) => {
            stream.guard.record_latency();
            Ok(Begun::Stream {
                stream,
                head,
                first: Some(event),
            })
        }
        Ok(Next::End) => Ok(Begun::Stream {
            stream,
            head,
            first: None,
        }),
        Ok(Next::Aborted(why, outcome)) => {
            stream.guard.end(outcome);
            Err(AttemptError::Unknown(format!("upstream={upstream} {why}")))
        }
        Err(_) => {
            stream.guard.end(path.timeout_outcome());
            let why = format!("upstream={upstream} no event before the deadline");
            Err(AttemptError::Unknown(why))
        }
    }
}

/// How forwarding a stream from one upstream ended.
enum End {
    Complete,
    CallerDisconnected,
    DeadlinePassed,
    PathLost,
    /// Why, and what it says about the upstream.
    Aborted(String, Outcome),
}

/// Forwards a stream to its caller.
struct Forwarder {
    ctx: RequestContext,
    tx: BodySender,
    /// Id of the last event that was forwarded, or that the caller already had.
    last_event_id: Option<u64>,
    /// Number of events forwarded.
    event_count: u64,
}

impl Forwarder {
    /// Forwards the stream to its end, resuming it at other upstreams if necessary and allowed.
    async fn run(mut self, mut stream: UpstreamStream, mut first: Option<SseEvent>) {
        loop {
            let end = self.forward_events(&mut stream, first.take()).await;
            let upstream = stream.upstream().to_string();
            let version = stream.guard.choice.spec.version.clone();
            let why = match end {
                End::Complete => {
                    stream.finish(&self.ctx);
                    self.ctx.router.origins.complete(self.ctx.stream_id());
                    self.ctx.record_end("ok", &upstream);
                    return self.tx.complete();
                }
                End::CallerDisconnected => return self.log_disconnected(&upstream),
                End::DeadlinePassed => return self.abort("deadline"),
                End::PathLost => {
                    stream.guard.end(Outcome::Abandoned);
                    "path lost".to_string()
                }
                End::Aborted(why, outcome) => {
                    stream.guard.end(outcome);
                    why
                }
            };
            // The connection is closed before the stream is resumed at another upstream.
            drop(stream.conn);
            stream = match self.resume(&why, &version).await {
                Ok(stream) => stream,
                Err(_) if self.tx.is_closed() => return self.log_disconnected(&upstream),
                Err(why) => return self.abort(&why),
            };
        }
    }

    fn log_disconnected(&self, upstream: &str) {
        let detail = format_args!("upstream={upstream} events={}", self.event_count);
        let log = &self.ctx.router.log;
        log.request_event(Event::CallerDisconnected, &self.ctx.info.id, detail);
    }

    async fn forward_events(
        &mut self,
        stream: &mut UpstreamStream,
        first: Option<SseEvent>,
    ) -> End {
        if let Some(event) = first {
            if let Some(end) = self.forward_event(event).await {
                return end;
            }
        }
        let until = self.ctx.router.clock.at(self.ctx.deadline);
        let mut path = stream.guard.path_watch();
        loop {
            let next = tokio::select! {
                next = path.run(timeout_at(until, stream.next())) => next,
                () = self.tx.closed() => return End::CallerDisconnected,
            };
            let Ok(next) = next else {
                return End::PathLost;
            };
            let event = match next {
                Ok(Next::Event(event)) => event,
                Ok(Next::End) => return End::Complete,
                Ok(Next::Aborted(why, outcome)) => return End::Aborted(why, outcome),
                Err(_) => return End::DeadlinePassed,
            };
            if let Some(end) = self.forward_event(event).await {
                return end;
            }
        }
    }

    /// Forwards an event, unless the caller has it already.
    async fn forward_event(&mut self, event: SseEvent) -> Option<End> {
        if let (Some(id), Some(last)) = (event.id, self.last_event_id) {
            if id <= last {
                return None;
            }
            if id > last + 1 && self.event_count > 0 {
                let why = format!("event {id} received after {last}");
                return Some(End::Aborted(why, Outcome::InvalidResponse));
            }
        }
        self.last_event_id = event.id.or(self.last_event_id);
        self.event_count += 1;
        let tokens = self.ctx.service_settings.tokens_per_event;
        self.ctx.record_delivered_tokens(tokens);
        let bytes = event.bytes.len();
        self.ctx
            .router
            .with_link(|l, now| l.record_response(now, bytes));
        let sent = self.tx.send(event.bytes).await;
        sent.is_err().then_some(End::CallerDisconnected)
    }

    /// Resumes the stream at another upstream, after the last event that was forwarded.
    async fn resume(&mut self, why: &str, version: &str) -> Result<UpstreamStream, String> {
        let version_known = self.ctx.stream_version != StreamVersion::Unknown;
        let resumable = self.ctx.is_retryable() && self.last_event_id.is_some() && version_known;
        if !resumable || !self.ctx.try_acquire_retry() {
            return Err(why.to_string());
        }
        let open = tokio::select! {
            open = attempt(&mut self.ctx, self.last_event_id) => open,
            () = self.tx.closed() => return Err(format!("{why}; then the caller left")),
        };
        let open = open.map_err(|error| format!("{why}; then {error:?}"))?;
        let is_success = open.head.status.is_success();
        if !is_success {
            let status = open.head.status;
            open.guard.end(Outcome::ErrorResponse);
            return Err(format!("{why}; then status {status}"));
        }
        if !has_stream_version(&self.ctx, &open.guard.choice) {
            return Err(format!("{why}; then another software version"));
        }
        let detail = format_args!(
            "after={:?} upstream={} version={} before={version} request={} why={why}",
            self.last_event_id,
            open.guard.choice.spec.id,
            open.guard.choice.spec.version,
            self.ctx.digest
        );
        let log = &self.ctx.router.log;
        log.request_event(Event::StreamResumed, &self.ctx.info.id, detail);
        let (stream, _) = UpstreamStream::new(&self.ctx.router, open);
        Ok(stream)
    }

    /// Aborts the response, so that the caller can't take it for a complete one.
    fn abort(self, why: &str) {
        let log = &self.ctx.router.log;
        let detail = format!(
            "events={} request={} why={why}",
            self.event_count, self.ctx.digest
        );
        log.request_event(Event::ResponseAborted, &self.ctx.info.id, detail);
        self.ctx
            .router
            .metrics
            .count_request(&self.ctx.route.name, "cut");
    }
}
