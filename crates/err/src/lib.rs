//! The kinds of errors, and the table of the responses to them.

use std::fmt;
use std::ops::Range;

use serde::{Deserialize, Serialize};
use serde_json::json;

/// Statuses of final responses of upstreams: an informational one is not final, and 101 is no response to a request
/// that asks for no change of protocol.
pub const FINAL_STATUSES: Range<u16> = 200..600;

/// Whether a failed request ran at an upstream.
///
/// The names of the variants are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run; the caller may safely send it again.
    No,
    /// It may have run, partly or completely.
    Unknown,
    /// It ran.
    Yes,
}

/// What went wrong, from the caller's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// The request's body is larger than the settings allow.
    TooLarge,
    /// The API key belongs to no customer, or the admin key is wrong.
    UnknownKey,
    /// The budget can't cover the request, and no other instance holds tokens of it.
    BudgetExhausted,
    /// The customer may not use this model or service.
    NotAllowed,
    /// The path, or the customer in it, is unknown.
    NotFound,
    /// A request that must run at most once has no request id with a timestamp.
    IdRequired,
    /// The request id was used before for a different request.
    IdReused,
    /// The request id is older than the retention period of claims.
    IdTooOld,
    /// The same request is running at another instance.
    InProgress,
    /// Whether the request ran is unknown and can't be determined.
    OutcomeUnknown,
    /// The request ran and was billed, but its response is no longer stored.
    AnswerGone,
    /// The operator's request conflicts with the current state: the expected revision is not the current
    /// one, or a holder whose tokens are to be released may still run.
    Conflict,
    /// The upstreams, or this instance, have no capacity for the request within the caller's time.
    Overloaded,
    /// Tokens remain in the budget, but can't be obtained now.
    BudgetOutOfReach,
    /// No upstream is available for the request.
    NoUpstream,
    /// The stream that the request continues can't go on: the software version that began it is not known,
    /// or no upstream of that version is left.
    VersionUnavailable,
    /// Upstreams crashed whenever they ran this request.
    EndsUpstreams,
    /// Upstreams crashed whenever they began to respond to a prompt with a segment of this request.
    SegmentEndsUpstreams,
    /// The platform's key-value service is unreachable, and the request needs it.
    PlatformDown,
    /// The instance is stopping.
    Draining,
    /// The instance has no configuration yet.
    NotConfigured,
    /// The upstream's response was interrupted and could not be resumed.
    Incomplete,
    /// The upstream returned an error or no valid response.
    UpstreamError,
    /// The request's deadline passed.
    DeadlinePassed,
    /// A bug in this program.
    Internal,
}

/// The response to a kind of error.
#[derive(Clone, Copy, Debug)]
pub struct ErrorResponse {
    /// The kind.
    pub kind: Kind,
    /// The code in the response body.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// Whether the request ran, unless the error specifies it.
    pub ran: Ran,
    /// Seconds after which a retry makes sense, unless the error specifies them.
    pub retry_after_secs: Option<u32>,
}

const fn row(
    kind: Kind,
    code: &'static str,
    status: u16,
    ran: Ran,
    retry_after_secs: Option<u32>,
) -> ErrorResponse {
    ErrorResponse {
        kind,
        code,
        status,
        ran,
        retry_after_secs,
    }
}

/// The response to each kind.
pub const ERROR_RESPONSES: &[ErrorResponse] = &[
    row(Kind::BadRequest, "bad_request", 400, Ran::No, None),
    row(Kind::TooLarge, "too_large", 413, Ran::No, None),
    row(Kind::UnknownKey, "unknown_key", 401, Ran::No, None),
    row(
        Kind::BudgetExhausted,
        "budget_exhausted",
        402,
        Ran::No,
        None,
    ),
    row(Kind::NotAllowed, "not_allowed", 403, Ran::No, None),
    row(Kind::NotFound, "not_found", 404, Ran::No, None),
    row(Kind::IdRequired, "id_required", 400, Ran::No, None),
    row(Kind::IdReused, "id_reused", 422, Ran::No, None),
    row(Kind::IdTooOld, "id_too_old", 409, Ran::No, None),
    row(Kind::InProgress, "in_progress", 409, Ran::Unknown, Some(1)),
    row(
        Kind::OutcomeUnknown,
        "outcome_unknown",
        409,
        Ran::Unknown,
        None,
    ),
    row(Kind::AnswerGone, "answer_gone", 410, Ran::Yes, None),
    row(Kind::Conflict, "conflict", 412, Ran::No, None),
    row(Kind::Overloaded, "overloaded", 429, Ran::No, Some(1)),
    row(
        Kind::BudgetOutOfReach,
        "budget_out_of_reach",
        503,
        Ran::No,
        Some(2),
    ),
    row(Kind::NoUpstream, "no_upstream", 503, Ran::No, Some(2)),
    row(
        Kind::VersionUnavailable,
        "version_unavailable",
        503,
        Ran::No,
        None,
    ),
    row(
        Kind::EndsUpstreams,
        "ends_upstreams",
        503,
        Ran::No,
        Some(60),
    ),
    row(
        Kind::SegmentEndsUpstreams,
        "segment_ends_upstreams",
        503,
        Ran::No,
        Some(60),
    ),
    row(Kind::PlatformDown, "platform_down", 503, Ran::No, Some(5)),
    row(Kind::Draining, "draining", 503, Ran::No, Some(1)),
    row(Kind::NotConfigured, "not_configured", 503, Ran::No, Some(2)),
    row(Kind::Incomplete, "incomplete", 502, Ran::Unknown, Some(1)),
    row(
        Kind::UpstreamError,
        "upstream_error",
        502,
        Ran::Unknown,
        None,
    ),
    row(
        Kind::DeadlinePassed,
        "deadline_passed",
        504,
        Ran::Unknown,
        Some(1),
    ),
    row(Kind::Internal, "internal", 500, Ran::Unknown, None),
];

impl Kind {
    /// Returns the response to this kind of error.
    ///
    /// # Panics
    ///
    /// Panics if the table has no row for the kind.
    pub fn response(self) -> &'static ErrorResponse {
        ERROR_RESPONSES
            .iter()
            .find(|r| r.kind == self)
            .expect("every kind has a response")
    }
}

/// An error to be returned to a caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Error {
    /// The kind.
    pub kind: Kind,
    /// Description of what happened.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Seconds after which a retry makes sense.
    pub retry_after_secs: Option<u32>,
}

impl Error {
    /// Creates an error with the values that the table has for its kind.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        let response = kind.response();
        Error {
            kind,
            message: message.into(),
            ran: response.ran,
            retry_after_secs: response.retry_after_secs,
        }
    }

    /// Sets whether the request ran.
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the time after which a retry makes sense, at least one second.
    pub fn retry_after(mut self, secs: u32) -> Self {
        self.retry_after_secs = Some(secs.max(1));
        self
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.kind.response().status
    }

    /// Returns the JSON body of the response.
    pub fn body(&self) -> serde_json::Value {
        let status = self.status();
        let class = match status {
            400..=499 => "invalid_request_error",
            _ => "server_error",
        };
        json!({"error": {
            "type": class,
            "code": self.kind.response().code,
            "message": self.message,
            "ran": self.ran,
        }})
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.response().code, self.message)
    }
}

impl std::error::Error for Error {}
