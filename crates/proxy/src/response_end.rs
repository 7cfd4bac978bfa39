//! How the end of an upstream's response is recognized.

use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response;
use hyper::{Method, StatusCode};

/// Returns whether a response is incomplete while no byte of its body was received, although its connection was closed:
/// nothing else would end its body, and an upstream that crashes after the head closes its connection as well.
pub(crate) fn must_have_body(method: &Method, head: &response::Parts) -> bool {
    let has_body = head.status.is_success()
        && head.status != StatusCode::NO_CONTENT
        && head.status != StatusCode::RESET_CONTENT
        && *method != Method::HEAD;
    let names_end =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    has_body && !names_end
}
