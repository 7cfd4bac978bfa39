//! Authentication of requests by API key.

use std::sync::Arc;

use err::{Error, Kind};
use smallvec::SmallVec;
use uuid::Uuid;
use web::Req;

use super::context::RequestContext;
use crate::shared_state::{ActiveConfig, SharedState};

/// Maximum length of a request id, in bytes.
const MAX_ID_LEN: usize = 128;

/// Identifies the customer of a request and creates the request's context.
///
/// # Errors
///
/// Returns `NotConfigured`, `Draining`, `UnknownKey`, or `BadRequest` for an invalid header.
pub fn authenticate(shared: &Arc<SharedState>, req: &Req) -> Result<RequestContext, Error> {
    let (active, customer) = identify(shared, req)?;
    let policy = active.config.policy(&customer).ok_or_else(unknown_key)?;
    let timeout_ms = match req.header("x-timeout-ms") {
        None => shared.settings.request_ms(),
        Some(value) => value.parse().map_err(|_| {
            Error::new(
                Kind::BadRequest,
                "x-timeout-ms: expected a non-negative integer",
            )
        })?,
    };
    let now = shared.clock.now();
    Ok(RequestContext {
        shared: Arc::clone(shared),
        id: request_id(req)?,
        customer,
        policy,
        active: Arc::clone(&active),
        arrived_us: shared.clock.now_us(),
        deadline: now + timeout_ms.min(shared.settings.request_ms()),
        body: req.body.clone(),
        upstream: None,
        attempt_id: String::new(),
        has_caller_id: req.headers.contains_key("idempotency-key"),
        tried: SmallVec::new(),
        attempts: 0,
        hold: None,
    })
}

/// Checks that a request has the key of a customer, before its body is read.
///
/// # Errors
///
/// Returns `NotConfigured`, `Draining` or `UnknownKey`.
pub fn check_key(shared: &SharedState, req: &Req) -> Result<(), Error> {
    identify(shared, req).map(|_| ())
}

/// Returns the configuration in force and the customer of a request.
fn identify(shared: &SharedState, req: &Req) -> Result<(Arc<ActiveConfig>, String), Error> {
    let Some(active) = shared.active_config() else {
        return Err(Error::new(
            Kind::NotConfigured,
            "this instance has no configuration yet",
        ));
    };
    if !shared.is_ready() {
        return Err(Error::new(Kind::Draining, "this instance is shutting down"));
    }
    let header = req.header("authorization").unwrap_or_default();
    let key = header.strip_prefix("Bearer ").unwrap_or_default();
    let customer = active
        .customer_by_key_hash
        .get(&conf::customer::hash_key(key));
    let customer = customer.cloned().ok_or_else(unknown_key)?;
    Ok((active, customer))
}

fn unknown_key() -> Error {
    Error::new(Kind::UnknownKey, "the API key belongs to no customer")
}

/// Returns the request id chosen by the caller, or a new one.
fn request_id(req: &Req) -> Result<String, Error> {
    let Some(value) = req.headers.get("idempotency-key") else {
        return Ok(Uuid::now_v7().to_string());
    };
    let id = value.to_str().unwrap_or_default();
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
    if id.is_empty() || id.len() > MAX_ID_LEN || !id.bytes().all(is_allowed) {
        let message = "Idempotency-Key: expected 1 to 128 letters, digits or any of -_.:";
        return Err(Error::new(Kind::BadRequest, message));
    }
    Ok(id.to_string())
}
