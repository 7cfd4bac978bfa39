//! The formats of callers, upstreams and operators, as one trait.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use conf::RoutingConfig;
use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::Response;
use place::{Load, RateLimit, Spec};

use crate::refusal::Refusal;
use crate::request_info::{AttemptContext, RequestInfo};

/// What a response says about the execution of the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// The request ran, and this is its response, successful or not.
    Executed,
    /// The request did not run, and will not.
    NotExecuted,
    /// The request did not run, because another upstream uses the address.
    Misdirected,
    /// This is not a valid response to this request, for the given reason.
    Invalid(&'static str),
}

/// How long an upstream accepts no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pause {
    /// For this time after its response.
    For(Duration),
    /// Until this time.
    Until(SystemTime),
}

/// The request rate limit in a response; it applies to the requests of all instances together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdvertisedLimit {
    /// The response contains no limit.
    Absent,
    /// The response contains this limit.
    Valid(RateLimit),
    /// The response contains a limit that could not be parsed.
    Invalid,
}

/// The content of the head of an upstream's response.
#[derive(Clone, Debug)]
pub struct ResponseInfo {
    /// Whether the request ran.
    pub disposition: Disposition,
    /// The load that the upstream reports.
    pub load: Option<Load>,
    /// How long the upstream keeps the connection open when idle.
    pub keep_alive: Option<Duration>,
    /// Whether the upstream announces that it is leaving.
    pub leaving: bool,
    /// How long the upstream accepts no requests; `None` if the response does not say, or it could
    /// not be parsed.
    pub pause: Option<Pause>,
    /// The request rate limit that the upstream advertises.
    pub limit: AdvertisedLimit,
    /// Whether the upstream says that it crashes if it has to reject many requests for want of room.
    pub brittle: bool,
}

/// Names and formats on the wire and in the store. An implementation makes no decisions.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the store key of the operators' configuration.
    fn config_key(&self) -> &str;

    /// Returns the prefix of all store keys that operators write, including that of the
    /// configuration.
    fn operator_prefix(&self) -> &str;

    /// Returns the zone that is evacuated as long as the given operator key exists.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Returns the prefix of the upstreams' store keys.
    fn upstream_prefix(&self) -> &str;

    /// Returns the path under which load balancers check readiness.
    fn readiness_path(&self) -> &str;

    /// Parses the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns the invalid field and what is wrong with it.
    fn parse_config(&self, value: &[u8]) -> Result<RoutingConfig, String>;

    /// Returns the id of the upstream with the given store key.
    fn upstream_id<'a>(&self, key: &'a str) -> &'a str;

    /// Parses an upstream's entry in the store.
    ///
    /// # Errors
    ///
    /// Returns the invalid field and what is wrong with it.
    fn parse_upstream(&self, key: &str, value: &[u8]) -> Result<Spec, String>;

    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is malformed.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestInfo, Refusal>;

    /// Returns the headers of an attempt: those of the caller, except the ones that callers may not
    /// set, and those that the router adds.
    fn request_headers(&self, head: &request::Parts, attempt: &AttemptContext<'_>) -> HeaderMap;

    /// Sets the time until the response is no longer wanted, in milliseconds, in the headers of an
    /// attempt.
    fn set_timeout(&self, headers: &mut HeaderMap, remaining_ms: u64);

    /// Parses the head of an upstream's response to a request.
    fn parse_response(&self, request: &RequestInfo, head: &response::Parts) -> ResponseInfo;

    /// Returns the headers of an upstream's response that are forwarded to the caller.
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Returns the response to a request that failed at this instance.
    fn refusal_response(&self, request: Option<&RequestInfo>, refusal: &Refusal)
        -> Response<Bytes>;
}
