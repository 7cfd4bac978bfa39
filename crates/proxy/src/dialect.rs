//! What callers, upstreams and operators speak: the one trait at the edge towards them.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use conf::Routing;
use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::Response;
use place::{Load, RateLimit, Spec};

use crate::refusal::Refusal;
use crate::request_info::{AttemptContext, RequestInfo};

/// What an upstream's answer says of the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// It ran, and this is its answer, be it a success or not.
    Executed,
    /// It did not run, and will not.
    NotExecuted,
    /// It did not run: another upstream is at the address.
    Misdirected,
    /// This is no answer to this request.
    Invalid(&'static str),
}

/// For how long an upstream wants nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pause {
    /// From its answer on.
    For(Duration),
    /// Until a time of day.
    Until(SystemTime),
}

/// The request rate limit in an upstream's answer, shared by all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdvertisedLimit {
    /// The answer has no limit.
    Absent,
    /// The answer has this limit.
    Valid(RateLimit),
    /// The answer has a limit that could not be parsed.
    Invalid,
}

/// The head of an upstream's answer.
#[derive(Clone, Debug)]
pub struct ResponseInfo {
    /// What it says of the request.
    pub disposition: Disposition,
    /// The upstream's word on its load.
    pub load: Option<Load>,
    /// How long the upstream keeps the connection when it is idle.
    pub keep_alive: Option<Duration>,
    /// Whether the upstream says that it leaves.
    pub leaving: bool,
    /// For how long it wants nothing more; none where it does not say, or not so that it can be understood.
    pub pause: Option<Pause>,
    /// The request rate limit that it advertises.
    pub limit: AdvertisedLimit,
}

/// Names, formats and calls of one way to speak; it decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the store's key of the operators' configuration.
    fn config_key(&self) -> &str;

    /// Returns the prefix of all keys that operators write, the configuration's among them.
    fn operator_prefix(&self) -> &str;

    /// Returns the zone that a key of the operators' names as evacuated, as long as it is there.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Returns the prefix of the store's keys of upstreams.
    fn upstream_prefix(&self) -> &str;

    /// Returns the path under which balancers ask whether connections are wanted.
    fn readiness_path(&self) -> &str;

    /// Reads the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns the field at fault and what is wrong with it.
    fn parse_config(&self, value: &[u8]) -> Result<Routing, String>;

    /// Returns the id of the upstream that a key names.
    fn upstream_id<'a>(&self, key: &'a str) -> &'a str;

    /// Reads an upstream's entry.
    ///
    /// # Errors
    ///
    /// Returns the field at fault and what is wrong with it.
    fn parse_upstream(&self, key: &str, value: &[u8]) -> Result<Spec, String>;

    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// Returns why the request is malformed.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestInfo, Refusal>;

    /// Returns the headers of an attempt: the caller's, less those that are not its to set.
    fn request_headers(&self, head: &request::Parts, sending: &AttemptContext<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer to a request.
    fn parse_response(&self, ask: &RequestInfo, head: &response::Parts) -> ResponseInfo;

    /// Returns the headers of an upstream's answer that its caller gets.
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Returns the answer to a request that failed here.
    fn refusal_response(&self, ask: Option<&RequestInfo>, refusal: &Refusal) -> Response<Bytes>;
}
