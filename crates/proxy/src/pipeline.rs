//! The filters that a request passes: read, route, customer, tokens, upstream, answer.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use conf::Route;
use err::Kind;
use escrow::ReserveError;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::{Request, Response};
use smallvec::SmallVec;
use suspect::Digest;
use tokio::time::timeout_at;

use crate::body::ResponseBody;
use crate::budgets::Reservation;
use crate::config::ActiveConfig;
use crate::event::Event;
use crate::refusal::Refusal;
use crate::request_context::{AttemptTiming, InFlightGuard, RequestContext};
use crate::request_info::RequestInfo;
use crate::router::Router;
use crate::{buffered, stream};

/// When to come back to an instance that knows no configuration yet, in milliseconds: it is read
/// within a few calls of the store.
const RETRY_UNKNOWN_MS: u64 = 500;
/// When to come back after an instance that stops, or whose link is full, in milliseconds: another one
/// answers.
const RETRY_ELSEWHERE_MS: u64 = 50;
/// When to come back for tokens that are out of reach, in milliseconds, while the budget has free ones:
/// they are taken within a second.
const RETRY_FREE_MS: u64 = 700;
/// The same while it has none, or the store is out of reach: outages last several seconds, and so does
/// what others hand back. Coming back sooner is refused again.
const RETRY_TOKENS_MS: u64 = 4_000;
/// Longest wait of a caller that names none, in milliseconds.
const WAIT_DEFAULT_MS: u64 = 60_000;

impl Router {
    /// Answers a request.
    pub(crate) async fn handle(self: &Arc<Self>, req: Request<Incoming>) -> Response<ResponseBody> {
        // A body in chunks ends where its sender says. Were a length named besides, the two could
        // differ, and what follows be taken for another request: nothing follows.
        let chunked = req.headers().contains_key(TRANSFER_ENCODING);
        let (head, body) = req.into_parts();
        let mut ask = None;
        let mut res = match self.run(head, body, &mut ask).await {
            Ok(res) => res,
            Err(refusal) => {
                self.log_refusal(ask.as_ref(), &refusal);
                self.dialect
                    .refusal_response(ask.as_ref(), &refusal)
                    .map(ResponseBody::Buffered)
            }
        };
        if chunked || self.is_stopping() || self.is_link_congested() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
        res
    }

    fn log_refusal(&self, ask: Option<&RequestInfo>, refusal: &Refusal) {
        let code = refusal.error.kind.answer().code;
        self.metrics.count_request("", code);
        let detail = format_args!(
            "code={code} ran={:?} retry_ms={:?} why={}",
            refusal.error.ran, refusal.retry_ms, refusal.error.message
        );
        let id = ask.map_or("", |a| a.id.as_str());
        self.log.request_event(Event::Refused, id, detail);
    }

    async fn run(
        self: &Arc<Self>,
        head: request::Parts,
        body: Incoming,
        known: &mut Option<RequestInfo>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let arrived = self.clock.now();
        let mut busy = InFlightGuard::new(self);
        let ask = self.dialect.parse_request(&head)?;
        *known = Some(ask.clone());
        let wait_ms = ask.timeout_ms.unwrap_or(WAIT_DEFAULT_MS);
        if self.refusing.load(Ordering::Relaxed) {
            let refusal = Refusal::new(Kind::Draining, "this instance is about to end");
            return Err(refusal.retry_within(RETRY_ELSEWHERE_MS, wait_ms));
        }
        let Some(active) = self.config.active() else {
            let refusal = Refusal::new(Kind::NotConfigured, "no configuration yet");
            return Err(refusal.retry_within(RETRY_UNKNOWN_MS, wait_ms));
        };
        let route = self.route(&active, &ask, &head)?.clone();
        let customer = self.customer(&active, &ask, &route)?;
        let deadline = arrived + wait_ms.min(route.timeout_ms);
        let body = self.body(&active, &head, body, deadline).await?;
        self.room_for(&mut busy, body.len())
            .map_err(|full| full.retry_within(RETRY_ELSEWHERE_MS, wait_ms))?;
        let service = route.service(rand::random());
        let service = service.map(str::to_string).ok_or_else(|| {
            let message = format!("route {} has no service", route.name);
            Refusal::new(Kind::NoUpstream, message)
        })?;
        let traits = active.routing.services.get(&service).cloned();
        {
            let mut retries = self.retry_budget.lock().expect("no panic inside");
            retries.record_request(arrived, &service);
        }
        let regions = active.routing.regions(&route, ask.api_key.as_deref());
        let regions = regions.ok_or_else(|| {
            let message = format!("route {} and its customer share no region", route.name);
            Refusal::new(Kind::NoUpstream, message)
        })?;
        let mut job = RequestContext {
            router: Arc::clone(self),
            regions,
            digest: digest(&ask, customer.as_deref(), &head, &body),
            info: ask,
            head,
            body,
            route,
            service,
            service_settings: traits.unwrap_or_default(),
            customer,
            arrived_at: arrived,
            deadline,
            tried: SmallVec::new(),
            attempts: 0,
            charge: None,
            may_have_response: false,
            timing: AttemptTiming::default(),
            _in_flight: busy,
        };
        self.suspects.admit(&self.others, job.digest).await?;
        job.charge = self.charge(&active, &job).await?;
        if job.route.streamed {
            stream::respond(job).await
        } else {
            buffered::respond(job).await
        }
    }

    /// Takes what a request needs here; the error says that another instance has more of it.
    fn room_for(&self, busy: &mut InFlightGuard, body: usize) -> Result<(), Refusal> {
        let full = self.with_link(|l, now| {
            l.record_request_received(now, body);
            l.is_saturated_for(now, body)
        });
        let why = if full {
            "this instance's link is full"
        } else if !busy.reserve_memory(body) {
            "this instance's memory is full"
        } else {
            return Ok(());
        };
        Err(Refusal::new(Kind::Overloaded, why))
    }

    fn route<'a>(
        &self,
        active: &'a ActiveConfig,
        ask: &RequestInfo,
        head: &request::Parts,
    ) -> Result<&'a Route, Refusal> {
        let path = head.uri.path();
        active.routing.route(&ask.host, path).ok_or_else(|| {
            let version = active.routing.version;
            let message = format!("no route for {}{path} in version {version}", ask.host);
            Refusal::new(Kind::NotFound, message)
        })
    }

    /// Returns the customer that holds the request's key; none where no key is wanted.
    fn customer(
        &self,
        active: &ActiveConfig,
        ask: &RequestInfo,
        route: &Route,
    ) -> Result<Option<String>, Refusal> {
        if route.public || active.routing.accounts.is_empty() {
            return Ok(None);
        }
        let key = ask.api_key.as_deref().unwrap_or_default();
        let unknown = |version: u64| {
            let message = format!("the key belongs to no customer in version {version}");
            Refusal::new(Kind::UnknownKey, message)
        };
        if let Some(version) = self.config.revoking_version(key) {
            return Err(unknown(version));
        }
        let account = active.routing.account(key);
        account
            .map(|a| Some(a.name.clone()))
            .ok_or_else(|| unknown(active.routing.version))
    }

    /// Reads the whole body: it may have to be sent twice.
    async fn body(
        &self,
        active: &ActiveConfig,
        head: &request::Parts,
        body: Incoming,
        deadline: u64,
    ) -> Result<Bytes, Refusal> {
        let most = active.routing.limits.body_bytes;
        let too_large = || {
            let message = format!("a body has at most {most} bytes");
            Refusal::new(Kind::TooLarge, message)
        };
        let named = head.headers.get(CONTENT_LENGTH);
        let named = named.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
        if named.is_some_and(|n| n > most) {
            return Err(too_large());
        }
        let limited = Limited::new(body, most);
        match timeout_at(self.clock.at(deadline), limited.collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(e)) if e.is::<LengthLimitError>() => Err(too_large()),
            Ok(Err(e)) => {
                let message = format!("the body broke off: {e}");
                Err(Refusal::new(Kind::BadRequest, message))
            }
            Err(_) => {
                let message = "the body did not come in time";
                Err(Refusal::new(Kind::BadRequest, message))
            }
        }
    }

    /// Reserves the most that a request can cost.
    async fn charge(
        &self,
        active: &ActiveConfig,
        job: &RequestContext,
    ) -> Result<Option<Reservation>, Refusal> {
        let tokens = job.info.max_tokens();
        let Some(customer) = &job.customer else {
            return Ok(None);
        };
        if tokens == 0 || active.routing.prepaid(customer).is_none() {
            return Ok(None);
        }
        let began = self.clock.now();
        let until = self.clock.at(job.deadline);
        let reserved = self.bank.reserve(customer, tokens, until).await;
        let waited = self.clock.now() - began;
        self.metrics
            .token_wait_seconds
            .observe(waited as f64 / 1000.0);
        let short = match reserved {
            Ok(charge) => return Ok(Some(charge)),
            Err(short) => short,
        };
        let (kind, why, back_ms) = match short {
            ReserveError::Exhausted => (Kind::BudgetExhausted, "the budget does not cover", None),
            ReserveError::OutOfReach { free } => {
                let back_ms = if free { RETRY_FREE_MS } else { RETRY_TOKENS_MS };
                (
                    Kind::BudgetOutOfReach,
                    "no tokens in reach for",
                    Some(back_ms),
                )
            }
        };
        let message = format!("{why} {tokens} tokens of {customer}, waited_ms={waited}");
        let refusal = Refusal::new(kind, message);
        Err(match back_ms {
            Some(back_ms) => refusal.retry_within(back_ms, job.remaining_ms()),
            None => refusal,
        })
    }
}

/// Returns what a request is, by what its caller sent.
fn digest(
    ask: &RequestInfo,
    customer: Option<&str>,
    head: &request::Parts,
    body: &Bytes,
) -> Digest {
    let target = head.uri.path_and_query().map_or("", |t| t.as_str());
    Digest::of([
        customer.unwrap_or_default().as_bytes(),
        head.method.as_str().as_bytes(),
        ask.host.as_bytes(),
        target.as_bytes(),
        body,
    ])
}
