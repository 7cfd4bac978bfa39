//! The stages of request processing: read, route, customer, tokens, upstream, response.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use bytes::Bytes;
use conf::{Route, Service};
use err::Kind;
use escrow::{Claim, ReserveError};
use hyper::header::{HeaderValue, CONNECTION, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::{Request, Response};
use origin::Origin;
use smallvec::SmallVec;
use suspect::Digest;
use tokio::time::timeout_at;

use crate::body::ResponseBody;
use crate::budgets::Reservation;
use crate::config::ActiveConfig;
use crate::connect;
use crate::event::Event;
use crate::exchange::{CustomerHash, RequestBody};
use crate::origins::Found;
use crate::refusal::Refusal;
use crate::request_body::{read_body, BodyError};
use crate::request_context::{
    AttemptTiming, CallerGuard, InFlightGuard, RequestContext, StreamVersion, DEFAULT_TIMEOUT_MS,
};
use crate::request_info::RequestInfo;
use crate::router::Router;
use crate::{buffered, stream};

/// Retry time while the instance has no configuration yet, in milliseconds: reading it takes a few
/// store calls.
const RETRY_NOT_CONFIGURED_MS: u64 = 500;
/// Retry time if the instance is stopping, or its link or memory is full, in milliseconds: another
/// instance can answer the retry.
const RETRY_OTHER_INSTANCE_MS: u64 = 50;
/// Why a request is refused for which there is no memory.
const NO_MEMORY: &str = "this instance has no memory left for more requests";
/// Minimum retry time if the customer is over its share of this overloaded instance, in milliseconds; up to
/// as much is added at random: its callers must not come back together.
const RETRY_OVER_SHARE_MS: u64 = 500;
/// Retry time if instances that may know which version began a stream did not answer, in milliseconds: a
/// suspended one may answer then.
const RETRY_ORIGIN_MS: u64 = 500;

impl Router {
    /// Processes a request, and returns the response to its caller.
    pub(crate) async fn handle(
        self: &Arc<Self>,
        req: Request<RequestBody>,
    ) -> Response<ResponseBody> {
        // A chunked body ends where its sender says. If the request has a Content-Length as well,
        // the two may differ, and bytes after the body could be taken for another request. The
        // connection is therefore closed after the response.
        let chunked = req.headers().contains_key(TRANSFER_ENCODING);
        let (head, body) = req.into_parts();
        let mut caller = CallerGuard::new(self);
        let arrived_at = self.clock.now();
        let mut res = match self.process(head, body, &mut caller).await {
            Ok(res) => res,
            Err(refusal) => {
                let info = caller.info.as_ref();
                self.log_refusal(info, &refusal, arrived_at);
                let res = self.dialect.refusal_response(info, &refusal);
                res.map(ResponseBody::Buffered)
            }
        };
        caller.ended = true;
        res.extensions_mut().insert(caller.customer);
        if chunked || self.is_stopping() || self.is_link_congested() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
        res
    }

    fn log_refusal(&self, info: Option<&RequestInfo>, refusal: &Refusal, arrived_at: u64) {
        let code = refusal.error.kind.response().code;
        self.metrics.count_request("", code);
        let detail = format_args!(
            "code={code} ran={:?} retry_ms={:?} ms={} why={}",
            refusal.error.ran,
            refusal.retry_ms,
            self.clock.now() - arrived_at,
            refusal.error.message
        );
        let id = info.map_or("", |i| i.id.as_str());
        self.log.request_event(Event::Refused, id, detail);
    }

    /// Processes a request; sets the caller's request once its head is parsed, so that a refusal can
    /// refer to it.
    async fn process(
        self: &Arc<Self>,
        head: request::Parts,
        body: RequestBody,
        caller: &mut CallerGuard,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let arrived_at = self.clock.now();
        let mut in_flight = InFlightGuard::new(self);
        let info = self.dialect.parse_request(&head)?;
        caller.info = Some(info.clone());
        let timeout_ms = info.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
        self.check_accepting(timeout_ms)?;
        let Some(active) = self.config.active() else {
            let refusal = Refusal::new(
                Kind::NotConfigured,
                "this instance has no configuration yet",
            );
            return Err(refusal.retry_within(RETRY_NOT_CONFIGURED_MS, timeout_ms));
        };
        if !self.suspects.wait_until_serving().await {
            let why = "this instance does not know yet which requests crash upstreams";
            let refusal = Refusal::new(Kind::NotConfigured, why);
            return Err(refusal.retry_within(RETRY_NOT_CONFIGURED_MS, timeout_ms));
        }
        let route = self.route(&active, &info, &head)?.clone();
        let customer = self.customer(&active, &info, &route)?;
        caller.customer = customer
            .as_deref()
            .map(CustomerHash::of)
            .unwrap_or_default();
        let deadline = arrived_at + timeout_ms.min(route.timeout_ms);
        let body = self.read_body(&active, body, deadline).await;
        let body = body.map_err(|refusal| match refusal.error.kind {
            Kind::Overloaded => refusal.retry_within(RETRY_OTHER_INSTANCE_MS, timeout_ms),
            _ => refusal,
        })?;
        // It may have taken long to arrive, and the end of the process would cut off its response.
        self.check_accepting(timeout_ms)?;
        if !self.is_within_share(customer.as_deref(), body.len()) {
            let message = "this instance is overloaded and the customer sends far more than usual";
            let retry_ms = RETRY_OVER_SHARE_MS + rand::random_range(0..RETRY_OVER_SHARE_MS);
            let refusal = Refusal::new(Kind::Overloaded, message);
            return Err(refusal.retry_within(retry_ms, timeout_ms));
        }
        self.reserve_capacity(&mut in_flight, body.len())
            .map_err(|refusal| refusal.retry_within(RETRY_OTHER_INSTANCE_MS, timeout_ms))?;
        let origin = self.find_origin(&info, &route, timeout_ms).await?;
        let (service, stream_version) = match origin {
            Some(origin) => (
                origin.service.clone(),
                StreamVersion::Only(origin.version.clone()),
            ),
            None => (pick_service(&route)?, StreamVersion::Any),
        };
        let service_settings = active.routing.services.get(&service).cloned();
        let priority = active.routing.priority(&route, info.api_key.as_deref());
        self.record_running();
        {
            let mut retries = self.retry_budget.lock().expect("lock not poisoned");
            retries.record_request(arrived_at, &service, priority);
        }
        let name = customer.as_deref().unwrap_or_default();
        let waiting_as = self.wait_queues.record_request(&service, priority, name);
        let regions = allowed_regions(&active, &route, &info)?;
        let service_settings = service_settings.unwrap_or_default();
        let expected_output_tokens = self.expected_output(&route.name, &service_settings, &info);
        let ctx = RequestContext {
            router: Arc::clone(self),
            regions,
            priority,
            digest: digest(&info, customer.as_deref(), &head, &body),
            segments: info.shared_segments(&service),
            is_trial: false,
            info,
            head,
            body,
            route,
            service,
            service_settings,
            customer,
            stream_version,
            waiting_as,
            may_wait: active.routing.has_several_priorities(),
            arrived_at,
            deadline,
            tried: SmallVec::new(),
            attempts: 0,
            retry: None,
            via: None,
            asked: SmallVec::new(),
            progress: Arc::clone(&caller.progress),
            reservation: None,
            expected_output_tokens,
            delivered_tokens: 0,
            timing: AttemptTiming::default(),
            questions: None,
            consultation: None,
            _in_flight: in_flight,
        };
        let served = self.serve(&active, ctx).await;
        served.map_err(|refusal| refusal.spread(priority, rand::random()))
    }

    /// Checks whether requests are accepted.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that came too late in a planned stop.
    fn check_accepting(&self, timeout_ms: u64) -> Result<(), Refusal> {
        if !self.refusing.load(Ordering::Relaxed) {
            return Ok(());
        }
        let refusal = Refusal::new(Kind::Draining, "this instance is shutting down");
        Err(refusal.retry_within(RETRY_OTHER_INSTANCE_MS, timeout_ms))
    }

    /// Returns the expected number of tokens in the response to a prompt; 0 if the capacity of its engines
    /// is unknown.
    fn expected_output(&self, route: &str, service: &Service, info: &RequestInfo) -> u32 {
        let capacity = service.engine.map_or(0, |e| e.kv_capacity_tokens);
        if capacity == 0 || info.prompt_tokens == 0 {
            return 0;
        }
        let stated = info.response_tokens_hint;
        let hint = engine::possible_hint(stated, info.prompt_tokens, capacity);
        if hint != stated {
            self.accounts.log_impossible_hint(self, stated);
        }
        let outputs = self.output_estimates.lock().expect("lock not poisoned");
        outputs.expected(route, hint, info.max_response_tokens)
    }

    /// Reserves what a request needs, and sends it to an upstream.
    async fn serve(
        self: &Arc<Self>,
        active: &ActiveConfig,
        mut ctx: RequestContext,
    ) -> Result<Response<ResponseBody>, Refusal> {
        // The answers arrive while the tokens are reserved.
        ctx.questions = connect::ask(&ctx);
        let admission = self
            .suspects
            .admit(&self.network, ctx.digest, &ctx.segments);
        ctx.is_trial = admission.await?;
        ctx.reservation = self.reserve_tokens(active, &ctx).await?;
        if ctx.route.streamed {
            stream::respond(ctx).await
        } else {
            buffered::respond(ctx).await
        }
    }

    /// Checks by the configuration in force whether a request that has waited may still be sent, and to which
    /// regions.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request whose key, route or service has been removed.
    pub(crate) fn readmit(&self, ctx: &mut RequestContext) -> Result<(), Refusal> {
        let Some(active) = self.config.active() else {
            return Ok(());
        };
        let route = self.route(&active, &ctx.info, &ctx.head)?;
        let customer = self.customer(&active, &ctx.info, route)?;
        if customer != ctx.customer || !route.leads_to(&ctx.service) {
            let message = format!(
                "configuration version {} has another customer or service for the request",
                active.routing.version
            );
            return Err(Refusal::new(Kind::NoUpstream, message));
        }
        ctx.regions = allowed_regions(&active, route, &ctx.info)?;
        Ok(())
    }

    /// Finds out which service and software version began the stream that a request continues; `None`
    /// if it continues none.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a stream that must not go on: events of two versions don't fit together.
    async fn find_origin(
        &self,
        info: &RequestInfo,
        route: &Route,
        timeout_ms: u64,
    ) -> Result<Option<Arc<Origin>>, Refusal> {
        if !route.streamed || (info.last_event_id.is_none() && info.resumes.is_none()) {
            return Ok(None);
        }
        let service = pick_service(route)?;
        let (request, service) = match &info.resumes {
            Some(request) => (request, (!route.is_split()).then_some(service.as_str())),
            // No instance has a record under this request's own id.
            None => (&info.id, Some(service.as_str())),
        };
        let found = self.origins.find(&self.network, request, service).await;
        let Found::Known { origin, source } = found else {
            return Err(origin_refusal(info, &found, timeout_ms));
        };
        if !route.leads_to(&origin.service) {
            let message = format!(
                "service {} began the stream and no longer serves route {}",
                origin.service, route.name
            );
            return Err(Refusal::new(Kind::VersionUnavailable, message));
        }
        let detail = format_args!(
            "resumes={} service={} version={} source={source}",
            info.resumes.as_deref().unwrap_or("-"),
            origin.service,
            origin.version
        );
        self.log
            .request_event(Event::StreamOriginFound, &info.id, detail);
        Ok(Some(origin))
    }

    /// Checks whether the link has capacity for a request, and reserves memory for it. An error
    /// means that another instance may have more capacity.
    fn reserve_capacity(&self, in_flight: &mut InFlightGuard, body: usize) -> Result<(), Refusal> {
        let saturated = self.with_link(|l, now| {
            l.record_request_received(now, body);
            l.is_saturated_for(now, body)
        });
        let why = if saturated {
            "the network link of this instance is saturated"
        } else if !in_flight.reserve_memory(body) {
            NO_MEMORY
        } else {
            return Ok(());
        };
        Err(Refusal::new(Kind::Overloaded, why))
    }

    fn route<'a>(
        &self,
        active: &'a ActiveConfig,
        info: &RequestInfo,
        head: &request::Parts,
    ) -> Result<&'a Route, Refusal> {
        let path = head.uri.path();
        active.routing.find_route(&info.host, path).ok_or_else(|| {
            let version = active.routing.version;
            let message = format!(
                "no route for {}{path} in configuration version {version}",
                info.host
            );
            Refusal::new(Kind::NotFound, message)
        })
    }

    /// Returns the customer that has the request's API key; `None` if the route is public, or the
    /// configuration contains no accounts.
    fn customer(
        &self,
        active: &ActiveConfig,
        info: &RequestInfo,
        route: &Route,
    ) -> Result<Option<String>, Refusal> {
        if route.public || active.routing.accounts.is_empty() {
            return Ok(None);
        }
        let key = info.api_key.as_deref().unwrap_or_default();
        let unknown = |version: u64| {
            let message =
                format!("the API key belongs to no customer in configuration version {version}");
            Refusal::new(Kind::UnknownKey, message)
        };
        if let Some(version) = self.config.revoking_version(key) {
            return Err(unknown(version));
        }
        let account = active.routing.account_by_key(key);
        account
            .map(|a| Some(a.name.clone()))
            .ok_or_else(|| unknown(active.routing.version))
    }

    /// Reads the complete body, because it may have to be sent more than once.
    async fn read_body(
        &self,
        active: &ActiveConfig,
        body: RequestBody,
        deadline: u64,
    ) -> Result<Bytes, Refusal> {
        let max_bytes = active.routing.limits.max_body_bytes;
        let read = timeout_at(self.clock.at(deadline), read_body(body, max_bytes));
        let (kind, message) = match read.await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(BodyError::TooLarge)) => {
                let message = format!("the request body exceeds {max_bytes} bytes");
                (Kind::TooLarge, message)
            }
            Ok(Err(BodyError::NoMemory)) => (Kind::Overloaded, NO_MEMORY.to_string()),
            Ok(Err(BodyError::Broken(why))) => {
                let message = format!("failed to read the request body: {why}");
                (Kind::BadRequest, message)
            }
            Err(_) => {
                let message = "the request body was not received before the deadline";
                (Kind::BadRequest, message.to_string())
            }
        };
        Err(Refusal::new(kind, message))
    }

    /// Reserves the maximum number of tokens that a request can cost.
    pub(crate) async fn reserve_tokens(
        &self,
        active: &ActiveConfig,
        ctx: &RequestContext,
    ) -> Result<Option<Reservation>, Refusal> {
        let tokens = ctx.info.max_tokens();
        let Some(customer) = &ctx.customer else {
            return Ok(None);
        };
        if tokens == 0 || active.routing.prepaid_tokens(customer).is_none() {
            return Ok(None);
        }
        let began_at = self.clock.now();
        let until = self.clock.at(ctx.deadline);
        let claim = Claim {
            priority: ctx.priority,
            size: tokens,
        };
        let reserved = self.budgets.reserve(customer, claim, until).await;
        let waited_ms = self.clock.now() - began_at;
        self.metrics
            .token_wait_seconds
            .observe(waited_ms as f64 / 1000.0);
        let error = match reserved {
            Ok(reservation) => return Ok(Some(reservation)),
            Err(error) => error,
        };
        self.count_token_refusal(error);
        let (kind, why, retry_ms) = match error {
            ReserveError::Exhausted => (Kind::BudgetExhausted, "the budget does not cover", None),
            ReserveError::OutOfReach { free } => {
                let retry_ms = self.budgets.retry_ms(free, ctx.remaining_ms());
                (Kind::BudgetOutOfReach, "could not obtain", Some(retry_ms))
            }
        };
        let message = format!("{why} {tokens} tokens of {customer}, waited_ms={waited_ms}");
        let refusal = Refusal::new(kind, message);
        Err(match retry_ms {
            Some(retry_ms) => refusal.retry_within(retry_ms, ctx.remaining_ms()),
            None => refusal,
        })
    }
}

impl Router {
    /// Counts a refusal for lack of tokens by its reason.
    fn count_token_refusal(&self, error: ReserveError) {
        let reason = match error {
            ReserveError::Exhausted => "exhausted",
            ReserveError::OutOfReach { .. } if self.budgets.is_store_unavailable() => "store_out",
            ReserveError::OutOfReach { free: true } => "free",
            ReserveError::OutOfReach { free: false } => "held",
        };
        self.metrics.count_token_refusal(reason);
    }
}

/// Returns the refusal of a stream whose origin is not known for sure. Waiting helps only if an instance
/// that may hold its record did not answer.
fn origin_refusal(info: &RequestInfo, found: &Found, timeout_ms: u64) -> Refusal {
    let request = info.resumes.as_deref().unwrap_or("that is not named");
    let message = format!("it is not known which software version began stream {request}: {found}");
    let refusal = Refusal::new(Kind::VersionUnavailable, message);
    match found {
        Found::Unknown(inquiry) if inquiry.unanswered > 0 => {
            refusal.retry_within(RETRY_ORIGIN_MS, timeout_ms)
        }
        _ => refusal,
    }
}

/// Returns the regions that a request may reach; empty if it may reach all.
fn allowed_regions(
    active: &ActiveConfig,
    route: &Route,
    info: &RequestInfo,
) -> Result<Vec<String>, Refusal> {
    let regions = active
        .routing
        .allowed_regions(route, info.api_key.as_deref());
    regions.ok_or_else(|| {
        let message = format!(
            "route {} and the customer have no allowed region in common",
            route.name
        );
        Refusal::new(Kind::NoUpstream, message)
    })
}

fn pick_service(route: &Route) -> Result<String, Refusal> {
    let service = route.pick_service(rand::random());
    service.map(str::to_string).ok_or_else(|| {
        let message = format!("route {} has no service", route.name);
        Refusal::new(Kind::NoUpstream, message)
    })
}

/// Returns the digest that identifies a request by its customer, method, host, target and body.
fn digest(
    info: &RequestInfo,
    customer: Option<&str>,
    head: &request::Parts,
    body: &Bytes,
) -> Digest {
    let target = head.uri.path_and_query().map_or("", |t| t.as_str());
    Digest::of([
        customer.unwrap_or_default().as_bytes(),
        head.method.as_str().as_bytes(),
        info.host.as_bytes(),
        target.as_bytes(),
        body,
    ])
}
