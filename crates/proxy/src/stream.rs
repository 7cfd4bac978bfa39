//! Streams of events: each passed on as it comes, whole, in order, once; one that breaks off is taken up
//! again at another upstream where that is allowed, and is otherwise broken off to the caller too.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::response;
use hyper::Response;
use place::Outcome;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use crate::attempt::{attempt, AttemptError, AttemptGuard, AttemptHistory, OpenResponse};
use crate::body::{ResponseAborted, ResponseBody};
use crate::buffered;
use crate::dialect::ResponseInfo;
use crate::event::Event;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::sse::{SseEvent, SseParser};

/// Events that may wait for a slow caller.
const EVENTS_DEPTH: usize = 16;

/// A stream at one upstream.
struct Link {
    slot: AttemptGuard,
    conn: dial::Conn,
    body: Incoming,
    reading: ResponseInfo,
    events: SseParser,
}

/// What a stream brings next.
enum Next {
    Event(SseEvent),
    /// It is whole.
    End,
    Broken(String),
}

impl Link {
    /// Takes over an answer whose head was read; returns the head besides.
    fn over(open: OpenResponse) -> (Link, response::Parts) {
        let link = Link {
            slot: open.guard,
            conn: open.conn,
            body: open.body,
            reading: open.info,
            events: SseParser::default(),
        };
        (link, open.head)
    }

    fn upstream(&self) -> &str {
        &self.slot.choice.spec.id
    }

    async fn next(&mut self) -> Next {
        loop {
            if let Some(event) = self.events.next_event() {
                return Next::Event(event);
            }
            match self.body.frame().await {
                None if self.events.is_at_event_boundary() => return Next::End,
                None => return Next::Broken("it ends within an event".to_string()),
                Some(Err(e)) => return Next::Broken(e.to_string()),
                Some(Ok(frame)) => {
                    let fits = frame.data_ref().is_none_or(|d| self.events.push(d));
                    if !fits {
                        return Next::Broken("an event is too large".to_string());
                    }
                }
            }
        }
    }

    fn end(self, job: &RequestContext) {
        self.slot.end(Outcome::Success);
        job.router.dialer.keep(self.conn, self.reading.keep_alive);
    }
}

/// A stream whose first event has come, or that ended without any.
enum Begun {
    Stream {
        link: Link,
        head: response::Parts,
        first: Option<SseEvent>,
    },
    Whole(Response<ResponseBody>),
}

/// Answers a request whose answer is a stream.
///
/// # Errors
///
/// Returns why there is no answer.
pub(crate) async fn respond(mut job: RequestContext) -> Result<Response<ResponseBody>, Refusal> {
    let mut attempts = AttemptHistory::new();
    let (link, head, first) = loop {
        let failed = match begin(&mut job).await {
            Ok(Begun::Whole(res)) => return Ok(res),
            Ok(Begun::Stream { link, head, first }) => break (link, head, first),
            Err(failed) => failed,
        };
        if !attempts.try_retry(&job, &failed) {
            return Err(attempts.refusal(&job, failed));
        }
    };
    job.record_first_output();
    let (tx, rx) = mpsc::channel(EVENTS_DEPTH);
    let mut res = Response::new(ResponseBody::Streamed(rx));
    *res.status_mut() = head.status;
    *res.headers_mut() = job.router.dialect.response_headers(&head);
    let relay = Relay {
        last: job.info.last_event_id,
        count: 0,
        job,
        tx,
    };
    tokio::spawn(relay.run(link, first));
    Ok(res)
}

/// Sends the request and waits for the first event.
async fn begin(job: &mut RequestContext) -> Result<Begun, AttemptError> {
    let after_event = job.info.last_event_id;
    let open = attempt(job, after_event).await?;
    let media = open.head.headers.get(CONTENT_TYPE);
    let media = media.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let streams = open.head.status.is_success() && media.starts_with("text/event-stream");
    if !streams {
        let whole = buffered::read_response(job, open).await;
        return whole.map(Begun::Whole).map_err(AttemptError::Unknown);
    }
    let (mut link, head) = Link::over(open);
    let until = job.router.clock.at(job.deadline);
    let next = timeout_at(until, link.next()).await;
    let upstream = link.upstream().to_string();
    match next {
        Ok(Next::Event(event)) => {
            link.slot.record_latency();
            Ok(Begun::Stream {
                link,
                head,
                first: Some(event),
            })
        }
        Ok(Next::End) => Ok(Begun::Stream {
            link,
            head,
            first: None,
        }),
        Ok(Next::Broken(why)) => {
            link.slot.end(Outcome::InvalidResponse);
            Err(AttemptError::Unknown(format!("upstream={upstream} {why}")))
        }
        Err(_) => {
            link.slot.end(Outcome::Unresponsive);
            let why = format!("upstream={upstream} no event in time");
            Err(AttemptError::Unknown(why))
        }
    }
}

/// How a relay over one link ended.
enum End {
    Whole,
    CallerLeft,
    Late,
    Broken(String),
}

/// The caller's side of a stream.
struct Relay {
    job: RequestContext,
    tx: mpsc::Sender<Result<Bytes, ResponseAborted>>,
    /// The last event that the caller has.
    last: Option<u64>,
    /// Events passed on.
    count: u64,
}

impl Relay {
    async fn run(mut self, mut link: Link, mut first: Option<SseEvent>) {
        loop {
            let end = self.relay(&mut link, first.take()).await;
            let upstream = link.upstream().to_string();
            let why = match end {
                End::Whole => {
                    link.end(&self.job);
                    self.job.record_end("ok", &upstream);
                    return;
                }
                End::CallerLeft => {
                    let detail = format_args!("upstream={upstream} events={}", self.count);
                    let log = &self.job.router.log;
                    log.request_event(Event::CallerDisconnected, &self.job.info.id, detail);
                    return;
                }
                End::Late => return self.cut("deadline").await,
                End::Broken(why) => why,
            };
            link.slot.end(Outcome::InvalidResponse);
            // The connection is closed here, before another upstream goes on.
            drop(link.conn);
            link = match self.resume(&why).await {
                Ok(link) => link,
                Err(why) => return self.cut(&why).await,
            };
        }
    }

    async fn relay(&mut self, link: &mut Link, first: Option<SseEvent>) -> End {
        if let Some(event) = first {
            if let Some(end) = self.pass(event).await {
                return end;
            }
        }
        let until = self.job.router.clock.at(self.job.deadline);
        loop {
            let next = tokio::select! {
                next = timeout_at(until, link.next()) => next,
                () = self.tx.closed() => return End::CallerLeft,
            };
            let event = match next {
                Ok(Next::Event(event)) => event,
                Ok(Next::End) => return End::Whole,
                Ok(Next::Broken(why)) => return End::Broken(why),
                Err(_) => return End::Late,
            };
            if let Some(end) = self.pass(event).await {
                return end;
            }
        }
    }

    /// Passes an event on, unless the caller has it.
    async fn pass(&mut self, event: SseEvent) -> Option<End> {
        if let (Some(id), Some(last)) = (event.id, self.last) {
            if id <= last {
                return None;
            }
            if id > last + 1 && self.count > 0 {
                return Some(End::Broken(format!("event {id} came after {last}")));
            }
        }
        self.last = event.id.or(self.last);
        self.count += 1;
        let tokens = self.job.service_settings.tokens_per_event;
        self.job.record_delivered_tokens(tokens);
        let bytes = event.bytes.len();
        self.job
            .router
            .with_link(|l, now| l.record_response(now, bytes));
        let sent = self.tx.send(Ok(event.bytes)).await;
        sent.is_err().then_some(End::CallerLeft)
    }

    /// Goes on at another upstream after the last event that the caller has.
    async fn resume(&mut self, why: &str) -> Result<Link, String> {
        let resumable = self.job.is_retryable() && self.last.is_some();
        if !resumable || !self.job.try_acquire_retry() {
            return Err(why.to_string());
        }
        let open = attempt(&mut self.job, self.last).await;
        let open = open.map_err(|failed| format!("{why}; then {failed:?}"))?;
        let streams = open.head.status.is_success();
        if !streams {
            let status = open.head.status;
            open.guard.end(Outcome::ErrorResponse);
            return Err(format!("{why}; then status {status}"));
        }
        let detail = format_args!(
            "after={:?} upstream={} request={} why={why}",
            self.last, open.guard.choice.spec.id, self.job.digest
        );
        let log = &self.job.router.log;
        log.request_event(Event::StreamResumed, &self.job.info.id, detail);
        let (link, _) = Link::over(open);
        Ok(link)
    }

    /// Breaks the answer off, so that it can't look whole.
    async fn cut(self, why: &str) {
        let log = &self.job.router.log;
        let detail = format!(
            "events={} request={} why={why}",
            self.count, self.job.digest
        );
        log.request_event(Event::ResponseAborted, &self.job.info.id, detail);
        self.job
            .router
            .metrics
            .count_request(&self.job.route.name, "cut");
        // A caller that left needs no end.
        let _ = self.tx.send(Err(ResponseAborted)).await;
    }
}
