//! Names the customer by its key, and starts the context.

use std::sync::Arc;

use err::{Error, Kind};
use smallvec::SmallVec;
use uuid::Uuid;
use web::Req;

use super::context::RequestContext;
use crate::shared_state::SharedState;

/// Longest request id.
const ID_MOST: usize = 128;

/// Names the customer of a request.
///
/// # Errors
///
/// Returns why the request can't go on: no configuration, a stop, an unknown key, a bad id.
pub fn authenticate(shared: &Arc<SharedState>, req: &Req) -> Result<RequestContext, Error> {
    let Some(active) = shared.active_config() else {
        return Err(Error::new(Kind::NotConfigured, "no configuration yet"));
    };
    if !shared.is_ready() {
        return Err(Error::new(Kind::Draining, "this instance is stopping"));
    }
    let header = req.header("authorization").unwrap_or_default();
    let key = header.strip_prefix("Bearer ").unwrap_or_default();
    let customer = active
        .customer_by_key_hash
        .get(&conf::customer::hash_key(key));
    let unknown = || Error::new(Kind::UnknownKey, "the bearer key belongs to no customer");
    let customer = customer.ok_or_else(unknown)?;
    let policy = active.config.policy(customer).ok_or_else(unknown)?;
    let wait_ms = match req.header("x-timeout-ms") {
        None => shared.settings.request_ms(),
        Some(text) => text
            .parse()
            .map_err(|_| Error::new(Kind::BadRequest, "x-timeout-ms: a whole number is wanted"))?,
    };
    let now = shared.clock.now();
    Ok(RequestContext {
        shared: Arc::clone(shared),
        id: request_id(req)?,
        customer: customer.clone(),
        policy,
        active: Arc::clone(&active),
        arrived_us: shared.clock.now_us(),
        deadline: now + wait_ms.min(shared.settings.request_ms()),
        body: req.body.clone(),
        upstream: None,
        attempt_id: String::new(),
        has_caller_id: req.headers.contains_key("idempotency-key"),
        tried: SmallVec::new(),
        attempts: 0,
        hold: None,
    })
}

/// Returns the caller's request id, or a new one.
fn request_id(req: &Req) -> Result<String, Error> {
    let Some(value) = req.headers.get("idempotency-key") else {
        return Ok(Uuid::now_v7().to_string());
    };
    let id = value.to_str().unwrap_or_default();
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.:".contains(&b);
    if id.is_empty() || id.len() > ID_MOST || !id.bytes().all(plain) {
        let message = "Idempotency-Key: 1 to 128 letters, digits or -_.: are wanted";
        return Err(Error::new(Kind::BadRequest, message));
    }
    Ok(id.to_string())
}
