//! JSON-RPC calls that are addressed to an incarnation of an instance.
//!
//! The address of an instance outlives its process: later it may be the address of another
//! incarnation, or of an instance of another fleet. Each call therefore names the incarnation that it
//! is for in an HTTP header. A method refuses calls for other incarnations, or for other instances.

mod listener;

use jsonrpsee_core::RpcResult;
use jsonrpsee_http_client::{HeaderMap, HeaderValue, HttpClientBuilder};
use jsonrpsee_server::types::ErrorObject;
use jsonrpsee_server::Extensions;

pub use listener::Listener;

/// Header with the incarnation that a call is for.
const ADDRESSEE_HEADER: &str = "oriolehitch-incarnation";
/// Error code of a call for another incarnation: the HTTP status 421, Misdirected Request.
const MISDIRECTED: i32 = 421;
/// Error code of a call that can't be answered yet: the HTTP status 503, Service Unavailable.
const UNAVAILABLE: i32 = 503;

/// The incarnation that a call is for, as its header names it.
#[derive(Clone, Debug)]
struct Addressee(HeaderValue);

/// Returns a builder of clients for one incarnation; `None` stands for whichever is at the address.
///
/// # Errors
///
/// Returns why the incarnation can't be sent in a header.
pub fn client_builder(to: Option<&str>) -> Result<HttpClientBuilder, String> {
    let mut headers = HeaderMap::new();
    if let Some(to) = to {
        let value = HeaderValue::from_str(to).map_err(|e| e.to_string())?;
        headers.insert(ADDRESSEE_HEADER, value);
    }
    Ok(HttpClientBuilder::default().set_headers(headers))
}

/// Returns the name of an instance without the id of its start.
fn name(incarnation: &[u8]) -> &[u8] {
    incarnation.split(|b| *b == b'.').next().unwrap_or_default()
}

/// Checks that a call is for an instance, in this or another incarnation: whatever depends on the
/// incarnation has to be named in the call itself.
///
/// # Errors
///
/// Returns the error to answer if the call is for another instance.
pub fn check_instance(extensions: &Extensions, own_id: &str) -> RpcResult<()> {
    match extensions.get::<Addressee>() {
        Some(Addressee(to)) if name(to.as_bytes()) != name(own_id.as_bytes()) => {
            Err(misdirected(to, own_id))
        }
        Some(_) | None => Ok(()),
    }
}

/// Checks that a call is for an incarnation. A call without an addressee is for any: the caller knows
/// only the address, or is an earlier version.
///
/// # Errors
///
/// Returns the error to answer if the call is for another incarnation.
pub fn check_addressee(extensions: &Extensions, own_id: &str) -> RpcResult<()> {
    match extensions.get::<Addressee>() {
        Some(Addressee(to)) if to.as_bytes() != own_id.as_bytes() => Err(misdirected(to, own_id)),
        Some(_) | None => Ok(()),
    }
}

/// Returns the error to answer to a call that can't be answered yet.
pub fn unavailable(why: &str) -> ErrorObject<'static> {
    ErrorObject::owned(UNAVAILABLE, why, None::<()>)
}

fn misdirected(to: &HeaderValue, own_id: &str) -> ErrorObject<'static> {
    let text = format!("the call is for {to:?}, this is {own_id}");
    ErrorObject::owned(MISDIRECTED, text, None::<()>)
}
