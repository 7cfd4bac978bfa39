//! The HTTP API for callers.

use std::sync::Arc;

use err::{Error, Kind};
use serde_json::json;
use web::{BodyError, Req, Res};

use crate::pipeline::{auth, chat, service_call};
use crate::shared_state::SharedState;

/// Handles the requests of callers.
pub struct CallerService {
    /// The state of the instance.
    pub shared: Arc<SharedState>,
}

impl web::Service for CallerService {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        let shared = Arc::clone(&self.shared);
        let response = match (req.method.as_str(), req.segments().as_slice()) {
            ("POST", ["v1", "chat", "completions"]) => chat::handle(&shared, &req).await,
            ("GET", ["v1", "models"]) => models(&shared, &req),
            (_, ["v1", "services", ..]) => service_call::handle(&shared, req).await,
            _ => Err(unknown_endpoint(&req)),
        };
        response.unwrap_or_else(|e| error_response(&shared, &e))
    }

    fn admit(&self, req: &Req) -> Result<(), Res> {
        let admitted = match (req.method.as_str(), req.segments().as_slice()) {
            ("POST", ["v1", "chat", "completions"])
            | ("GET", ["v1", "models"])
            | (_, ["v1", "services", ..]) => auth::check_key(&self.shared, req),
            _ => Err(unknown_endpoint(req)),
        };
        admitted.map_err(|e| error_response(&self.shared, &e))
    }

    fn unreadable_body(&self, error: BodyError) -> Res {
        error_response(&self.shared, &body_error(&self.shared, error))
    }
}

fn unknown_endpoint(req: &Req) -> Error {
    let message = format!("no such endpoint: {} {}", req.method, req.path);
    Error::new(Kind::NotFound, message)
}

/// Returns the error for a body that could not be read.
pub fn body_error(shared: &SharedState, error: BodyError) -> Error {
    match error {
        BodyError::TooLarge => {
            let max_bytes = shared.settings.body_limit();
            let message = format!("the request body exceeds {max_bytes} bytes");
            Error::new(Kind::TooLarge, message)
        }
        BodyError::NoMemory => Error::new(
            Kind::Overloaded,
            "this instance has no memory left for the request body",
        ),
        BodyError::Incomplete => Error::new(
            Kind::BadRequest,
            "the request body was not received completely in time",
        ),
    }
}

fn models(shared: &Arc<SharedState>, req: &Req) -> Result<Res, Error> {
    let cx = auth::authenticate(shared, req)?;
    let row = |m: &String| json!({"id": m, "object": "model", "owned_by": "oriolehitch"});
    let data: Vec<_> = cx.policy.models.iter().map(row).collect();
    Ok(Res::json(200, &json!({"object": "list", "data": data})))
}

/// Returns the response for an error.
pub fn error_response(shared: &SharedState, error: &Error) -> Res {
    let res = Res::json(error.status(), &error.body());
    let res = res.with_header("x-oriolehitch-instance", shared.own_id.clone());
    match error.retry_after_secs {
        Some(secs) => res.with_header("retry-after", secs.to_string()),
        None => res,
    }
}
