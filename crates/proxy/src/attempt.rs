//! One attempt at an upstream: chosen, connected, sent, and the head of its answer read.

use std::sync::Arc;
use std::time::SystemTime;

use clock::wall_ms;
use dial::{ConnectError, SendError, Target};
use err::{Kind, Ran};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, StatusCode, Uri};
use place::{max_connections, Choice, ChooseError, Criteria, Outcome, RateLimit};
use suspect::Digest;
use tokio::time::timeout_at;

use crate::dialect::{AdvertisedLimit, Disposition, Pause, ResponseInfo};
use crate::event::Event;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::request_info::AttemptContext;
use crate::router::Router;

/// A request that may be repeated is given up at an upstream that is silent for so many times its
/// objective, and for so many times what was expected: slower ones answer still.
const SILENT_OBJECTIVES: f64 = 3.0;
const SILENT_EXPECTED: f64 = 6.0;
/// When to come back when no upstream is left, in milliseconds: crashed ones are left alone for
/// so long at first.
const RETRY_NO_UPSTREAM_MS: u64 = 400;
/// When to come back when all zones that a request may reach are out of use, in milliseconds: operators change that, not
/// the traffic.
const RETRY_EVACUATED_MS: u64 = 4_000;

/// A request's place at its upstream; dropping it ends it.
pub(crate) struct AttemptGuard {
    router: Arc<Router>,
    digest: Digest,
    pub(crate) choice: Choice,
    sent_at: u64,
    outcome: Outcome,
}

impl AttemptGuard {
    fn new(job: &RequestContext, choice: Choice) -> AttemptGuard {
        AttemptGuard {
            router: Arc::clone(&job.router),
            digest: job.digest,
            choice,
            sent_at: job.router.clock.now(),
            outcome: Outcome::Abandoned,
        }
    }

    /// Notes the first event, or the answer.
    pub(crate) fn record_latency(&self) {
        let mut pool = self.router.pool.lock().expect("no panic inside");
        pool.record_latency(self.router.clock.now(), &self.choice, self.sent_at);
    }

    /// Returns whether the request may still be sent to its upstream.
    fn may_send(&self) -> bool {
        let pool = self.router.pool.lock().expect("no panic inside");
        pool.may_send(self.router.clock.now(), &self.choice)
    }

    /// Ends it.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let mut pool = self.router.pool.lock().expect("no panic inside");
        let (key, ticket) = (self.choice.key, self.choice.attempt);
        // An upstream that leaves closes what is left at its end: that is no crash.
        let stays = pool.is_active(key);
        pool.end(self.router.clock.now(), key, ticket, self.outcome);
        drop(pool);
        match self.outcome {
            Outcome::InvalidResponse if stays => self
                .router
                .suspects
                .connection_broke(&self.choice.spec, self.digest),
            // An error may be one that the upstream answers with before it runs anything.
            Outcome::Success => self.router.suspects.request_answered(self.digest),
            _ => {}
        }
    }
}

/// An answer whose head was read.
pub(crate) struct OpenResponse {
    pub(crate) guard: AttemptGuard,
    pub(crate) conn: dial::Conn,
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) info: ResponseInfo,
}

/// Why an attempt has no answer.
#[derive(Clone, Debug)]
pub(crate) enum AttemptError {
    /// There is no upstream to try.
    Denied(ChooseError),
    /// It did not run, and will not.
    NotRun(String),
    /// It may have run; the upstream closed the connection before anything of its answer came, so that nobody
    /// can have got any of it.
    Unanswered(String),
    /// It may have run.
    Unknown(String),
    /// The deadline passed before it was sent.
    Late,
}

impl AttemptError {
    fn refusal(self, job: &RequestContext) -> Refusal {
        let left = job.remaining_ms();
        match self {
            AttemptError::Denied(ChooseError::Busy { retry_ms }) => {
                let message = format!("the upstreams of {} are busy", job.service);
                Refusal::new(Kind::Overloaded, message).retry_within(retry_ms, left)
            }
            AttemptError::Denied(ChooseError::Resting { retry_ms }) => {
                let message = format!("the upstreams of {} want nothing for now", job.service);
                Refusal::new(Kind::NoUpstream, message).retry_after(retry_ms)
            }
            AttemptError::Denied(ChooseError::Limited { retry_ms }) => {
                let message = format!("the request rate limits of {} are reached", job.service);
                Refusal::new(Kind::Overloaded, message).retry_within(retry_ms, left)
            }
            AttemptError::Denied(ChooseError::Cold { retry_ms }) => {
                let message = format!("the upstreams of {} have just started", job.service);
                Refusal::new(Kind::Overloaded, message).retry_within(retry_ms, left)
            }
            AttemptError::Denied(ChooseError::Evacuated) => {
                let message = format!("all zones of {} are evacuated", job.service);
                Refusal::new(Kind::NoUpstream, message).retry_within(RETRY_EVACUATED_MS, left)
            }
            AttemptError::Denied(ChooseError::Outside) => {
                let message = format!("no upstream of {} is in an allowed region", job.service);
                Refusal::new(Kind::NoUpstream, message).retry_within(RETRY_EVACUATED_MS, left)
            }
            AttemptError::Denied(ChooseError::Unknown | ChooseError::NoneLeft) => {
                let message = format!("no upstream of {} is left", job.service);
                Refusal::new(Kind::NoUpstream, message).retry_within(RETRY_NO_UPSTREAM_MS, left)
            }
            AttemptError::NotRun(why) => {
                Refusal::new(Kind::NoUpstream, why).retry_within(RETRY_NO_UPSTREAM_MS, left)
            }
            AttemptError::Late => {
                Refusal::new(Kind::DeadlinePassed, "not sent in time").ran(Ran::No)
            }
            AttemptError::Unanswered(why) | AttemptError::Unknown(why) => {
                let late = left == 0;
                let kind = if late {
                    Kind::DeadlinePassed
                } else {
                    Kind::UpstreamError
                };
                Refusal::new(kind, why)
            }
        }
    }
}

/// What is known of a request's run after some attempts.
#[derive(Debug)]
pub(crate) struct AttemptHistory {
    ran: Ran,
}

impl AttemptHistory {
    pub(crate) fn new() -> AttemptHistory {
        AttemptHistory { ran: Ran::No }
    }

    /// Returns whether a request may be sent once more after it failed.
    pub(crate) fn try_retry(&mut self, job: &RequestContext, failed: &AttemptError) -> bool {
        match failed {
            AttemptError::Denied(_) | AttemptError::Late => false,
            AttemptError::NotRun(_) => job.try_acquire_retry(),
            AttemptError::Unanswered(_) | AttemptError::Unknown(_) => {
                self.ran = Ran::Unknown;
                job.is_retryable() && job.try_acquire_retry()
            }
        }
    }

    /// Returns what the caller is told when it is not.
    pub(crate) fn refusal(&self, job: &RequestContext, failed: AttemptError) -> Refusal {
        let refusal = failed.refusal(job);
        match self.ran {
            Ran::No => refusal,
            ran => refusal.ran(ran),
        }
    }
}

/// Sends a request to an upstream and reads the head of its answer.
pub(crate) async fn attempt(
    job: &mut RequestContext,
    after_event: Option<u64>,
) -> Result<OpenResponse, AttemptError> {
    let (slot, conn) = connect(job).await?;
    job.timing.sent_ms = job.router.clock.now() - job.arrived_at;
    job.attempts += 1;
    job.router.metrics.attempts.inc();
    if job.attempts > 1 {
        job.router.metrics.retries.inc();
    }
    let prompt = u64::from(job.info.prompt_tokens);
    if let Some(charge) = &mut job.charge {
        charge.record_prompt_sent(prompt);
    }
    let sent = send(job, slot, conn, after_event).await;
    let nothing_came = matches!(
        sent,
        Err(AttemptError::NotRun(_) | AttemptError::Unanswered(_))
    );
    job.may_have_response |= !nothing_came;
    if let Err(failed) = &sent {
        let detail = format_args!(
            "attempt={} request={} why={failed:?}",
            job.attempts, job.digest
        );
        let log = &job.router.log;
        log.request_event(Event::AttemptFailed, &job.info.id, detail);
        if let Some(charge) = job.charge.as_mut().filter(|_| !job.may_have_response) {
            charge.clear_prompt();
        }
    }
    sent
}

/// Chooses upstreams until one can be connected to.
async fn connect(job: &mut RequestContext) -> Result<(AttemptGuard, dial::Conn), AttemptError> {
    loop {
        if job.remaining_ms() == 0 {
            return Err(AttemptError::Late);
        }
        let choice = choose(job).map_err(AttemptError::Denied)?;
        job.tried.push(choice.key);
        job.timing.uncached_tokens = choice.uncached_tokens;
        job.timing.expected_ms = choice.expected_ms;
        let slot = AttemptGuard::new(job, choice);
        let spec = &slot.choice.spec;
        let incarnation = spec.incarnation();
        if let Some(conn) = job.router.dialer.kept(&incarnation) {
            return Ok((slot, conn));
        }
        let sharers = job.router.fleet.instance_count();
        let most = max_connections(job.service_settings.connections as usize, sharers);
        let target = Target {
            upstream: &incarnation,
            addr: spec.addr,
            most: most.unwrap_or(usize::MAX),
        };
        let until = job.router.clock.at(job.deadline);
        job.router.metrics.connections_opened.inc();
        match job.router.dialer.open(target, until).await {
            Ok(conn) if slot.may_send() => return Ok((slot, conn)),
            // It leaves, rests, is evacuated or cold by now: nothing of this request was sent.
            Ok(_) => {}
            Err(e) => {
                let detail = format_args!("upstream={} connect={e:?}", spec.id);
                let log = &job.router.log;
                log.request_event(Event::AttemptFailed, &job.info.id, detail);
                let outcome = match e {
                    ConnectError::Full => Outcome::Refused,
                    ConnectError::Refused(_) | ConnectError::Unreachable(_) => {
                        Outcome::Unresponsive
                    }
                    ConnectError::TimedOut => silence(job),
                };
                slot.end(outcome);
            }
        }
    }
}

fn choose(job: &RequestContext) -> Result<Choice, ChooseError> {
    let now = job.router.clock.now();
    let want = Criteria {
        service: &job.service,
        zone: &job.router.zone,
        segments: &job.info.prompt_segments,
        prompt_tokens: job.info.prompt_tokens,
        regions: &job.regions,
        tried: &job.tried,
        deadline: job.deadline,
        retryable: job.is_retryable(),
        random: rand::random(),
    };
    let mut pool = job.router.pool.lock().expect("no panic inside");
    let choice = pool.choose(now, &want)?;
    let metrics = &job.router.metrics;
    metrics
        .uncached_prompt_tokens
        .inc_by(u64::from(choice.uncached_tokens));
    metrics
        .prompt_tokens
        .inc_by(u64::from(job.info.prompt_tokens));
    Ok(choice)
}

async fn send(
    job: &mut RequestContext,
    slot: AttemptGuard,
    mut conn: dial::Conn,
    after_event: Option<u64>,
) -> Result<OpenResponse, AttemptError> {
    let req = request(job, &slot, after_event);
    job.router
        .with_link(|l, now| l.record_request_sent(now, job.body.len()));
    let until = job.router.clock.at(silent_at(job, &slot));
    let Ok(sent) = timeout_at(until, conn.send(req)).await else {
        let waited = job.router.clock.now() - slot.sent_at;
        let upstream = slot.choice.spec.id.clone();
        slot.end(silence(job));
        let why = format!("upstream={upstream} silent for {waited} ms");
        return Err(AttemptError::Unknown(why));
    };
    let upstream = slot.choice.spec.id.clone();
    let res = match sent {
        Ok(res) => res,
        Err(SendError::NotSent(why)) => {
            slot.end(Outcome::Refused);
            return Err(AttemptError::NotRun(format!("upstream={upstream} {why}")));
        }
        Err(SendError::Closed(why)) => {
            slot.end(Outcome::InvalidResponse);
            return Err(AttemptError::Unanswered(format!(
                "upstream={upstream} {why}"
            )));
        }
        Err(SendError::Broken(why)) => {
            slot.end(Outcome::InvalidResponse);
            return Err(AttemptError::Unknown(format!("upstream={upstream} {why}")));
        }
    };
    let (head, body) = res.into_parts();
    let reading = job.router.dialect.parse_response(&job.info, &head);
    if let Some(load) = reading.load {
        let now = job.router.clock.now();
        let mut pool = job.router.pool.lock().expect("no panic inside");
        pool.set_reported_load(now, slot.choice.key, load);
    }
    let status = head.status.as_u16();
    heed(job, &slot, &reading, head.status);
    match reading.disposition {
        Disposition::Executed => Ok(OpenResponse {
            guard: slot,
            conn,
            head,
            body,
            info: reading,
        }),
        Disposition::NotExecuted => {
            slot.end(Outcome::Refused);
            Err(AttemptError::NotRun(format!(
                "upstream={upstream} status={status}"
            )))
        }
        Disposition::Misdirected => {
            slot.end(Outcome::Unresponsive);
            let why = format!("upstream={upstream} is not at its address");
            Err(AttemptError::NotRun(why))
        }
        Disposition::Invalid(why) => {
            slot.end(Outcome::InvalidResponse);
            let why = format!("upstream={upstream} status={status} {why}");
            Err(AttemptError::Unknown(why))
        }
    }
}

/// Takes an upstream's word that it leaves, or wants nothing for a while: its answer is the nearest source there is.
fn heed(job: &RequestContext, slot: &AttemptGuard, reading: &ResponseInfo, status: StatusCode) {
    // That would be the word of another upstream, which has the address now.
    if reading.disposition == Disposition::Misdirected {
        return;
    }
    let incarnation = {
        let pool = job.router.pool.lock().expect("no panic inside");
        pool.incarnation(slot.choice.key)
    };
    if reading.leaving {
        job.router.listing.mark_leaving(&incarnation, "answer");
    }
    update_limit(job, slot, reading, status, &incarnation);
    let Some(rest) = reading.pause else {
        return;
    };
    let ms = match rest {
        Pause::For(time) => time.as_millis(),
        Pause::Until(date) => {
            let since = date.duration_since(SystemTime::UNIX_EPOCH);
            let date_ms = since.unwrap_or_default().as_millis();
            date_ms.saturating_sub(u128::from(wall_ms()))
        }
    };
    let ms = u64::try_from(ms).unwrap_or(u64::MAX);
    let now = job.router.clock.now();
    let mut pool = job.router.pool.lock().expect("no panic inside");
    let longer = pool.pause(now, slot.choice.key, ms);
    drop(pool);
    if longer {
        let detail = format_args!("upstream={incarnation} rests_ms={ms}");
        let log = &job.router.log;
        log.request_event(Event::UpstreamPaused, &job.info.id, detail);
    }
}

/// Updates the request rate limit from an upstream's answer and logs a change. Only a successful answer without a limit removes
/// it: refusals and errors may lack the header. An invalid value, or an answer not to this request, leaves the limit unchanged.
fn update_limit(
    job: &RequestContext,
    slot: &AttemptGuard,
    reading: &ResponseInfo,
    status: StatusCode,
    incarnation: &str,
) {
    let success = reading.disposition == Disposition::Executed && status.is_success();
    let limit = match (reading.limit, &reading.disposition) {
        (AdvertisedLimit::Valid(limit), Disposition::Executed | Disposition::NotExecuted) => {
            Some(limit)
        }
        (AdvertisedLimit::Absent, _) if success => None,
        _ => return,
    };
    let listing = &job.router.listing;
    let changed = listing.set_limit(slot.choice.key, slot.sent_at, limit);
    if changed.is_some() {
        let per_sec = limit.map(RateLimit::as_per_sec);
        let detail = format_args!("upstream={incarnation} per_sec={per_sec:?} source=answer");
        let log = &job.router.log;
        log.request_event(Event::UpstreamLimitChanged, &job.info.id, detail);
    }
}

/// Returns what silence says of an upstream: nothing while the own link is full.
fn silence(job: &RequestContext) -> Outcome {
    if job.router.is_link_congested() {
        Outcome::Abandoned
    } else {
        Outcome::Unresponsive
    }
}

/// Returns when an upstream that says nothing is given up, in milliseconds.
fn silent_at(job: &RequestContext, slot: &AttemptGuard) -> u64 {
    let last = !job.is_retryable() || job.attempts >= job.route.attempts;
    if last {
        return job.deadline;
    }
    let objective = job.route.objective_ms as f64 * SILENT_OBJECTIVES;
    let expected = slot.choice.expected_ms * SILENT_EXPECTED;
    let wait = objective.max(expected) as u64;
    job.deadline.min(slot.sent_at + wait)
}

fn request(
    job: &RequestContext,
    slot: &AttemptGuard,
    after_event: Option<u64>,
) -> Request<Full<bytes::Bytes>> {
    let sending = AttemptContext {
        upstream: &slot.choice.spec.id,
        customer: job.customer.as_deref(),
        remaining_ms: job.remaining_ms().max(1),
        last_event_id: after_event,
    };
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.head.method.clone();
    let path = job.head.uri.path_and_query();
    *req.uri_mut() = path.map_or_else(Uri::default, |p| Uri::from(p.clone()));
    *req.headers_mut() = job.router.dialect.request_headers(&job.head, &sending);
    req
}
