//! The closed list of error kinds, and the one table that says how each is answered.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::json;

/// Whether the request that failed ran at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Nothing ran; the caller may safely send the request again.
    No,
    /// It may have run, partly or wholly.
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
    /// The bearer key belongs to no customer.
    UnknownKey,
    /// The budget can't cover the request, and no token is held elsewhere.
    BudgetExhausted,
    /// The customer may not use this model or service.
    NotAllowed,
    /// There is nothing under this path.
    NotFound,
    /// A request that may not be repeated came without a request id that bears a time.
    IdRequired,
    /// The request id was used before with another body.
    IdReused,
    /// The request id is older than the retention of claims.
    IdTooOld,
    /// The same request is running at another instance.
    InProgress,
    /// The request may or may not have run, and nothing more can be learned.
    OutcomeUnknown,
    /// The request ran and was billed, but its answer is no longer kept.
    AnswerGone,
    /// The revision expected by the operator is not the current one.
    Conflict,
    /// The upstreams' queues are full for the time the caller has.
    Overloaded,
    /// Tokens remain but can't be reached now.
    BudgetOutOfReach,
    /// No upstream can take the request.
    NoUpstream,
    /// Upstreams ended whenever they ran this request.
    EndsUpstreams,
    /// The platform's service can't be reached, and the request needs it.
    PlatformDown,
    /// The instance is stopping.
    Draining,
    /// The instance has no configuration yet.
    NotConfigured,
    /// The upstream's answer broke off and could not be resumed.
    Incomplete,
    /// The upstream answered with an error of its own.
    UpstreamError,
    /// The request's deadline passed.
    DeadlinePassed,
    /// A fault of this program.
    Internal,
}

/// How a kind of error is answered.
#[derive(Clone, Copy, Debug)]
pub struct ErrorResponse {
    /// The kind.
    pub kind: Kind,
    /// The code in the answer's body.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// What is known of the request's run, unless the error says otherwise.
    pub ran: Ran,
    /// Seconds after which coming back makes sense, unless the error says otherwise.
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

/// Every kind with its answer.
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
        Kind::EndsUpstreams,
        "ends_upstreams",
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
    /// Returns the kind's row of the table.
    ///
    /// # Panics
    ///
    /// Panics when the table lacks the kind; a test holds them together.
    pub fn response(self) -> &'static ErrorResponse {
        ERROR_RESPONSES
            .iter()
            .find(|a| a.kind == self)
            .expect("every kind has a row")
    }
}

/// An error on its way to a caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Error {
    /// The kind.
    pub kind: Kind,
    /// What happened, in words.
    pub message: String,
    /// What is known of the request's run.
    pub ran: Ran,
    /// Seconds after which coming back makes sense.
    pub retry_after_secs: Option<u32>,
}

impl Error {
    /// Makes an error with the answer that its kind has in the table.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        let answer = kind.response();
        Error {
            kind,
            message: message.into(),
            ran: answer.ran,
            retry_after_secs: answer.retry_after_secs,
        }
    }

    /// Says what is known of the request's run.
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Says when to come back.
    pub fn retry_after(mut self, secs: u32) -> Self {
        self.retry_after_secs = Some(secs.max(1));
        self
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.kind.response().status
    }

    /// Returns the answer's JSON body.
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
