//! Bodies of upstreams' responses that are read whole.

use std::fmt;

use bytes::Bytes;
use serde::de::DeserializeOwned;

/// Maximum size of the body of a service's response, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Maximum size of a reply that is only for this instance, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 10;

/// Why a body was not read.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// It exceeds this number of bytes.
    TooLarge(usize),
    /// The connection broke.
    Broken(reqwest::Error),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLarge(max_bytes) => write!(f, "the response exceeds {max_bytes} bytes"),
            BodyError::Broken(error) => error.fmt(f),
        }
    }
}

/// Reads the body of a response. A larger one is given up, and its connection closed: it may have no end.
///
/// # Errors
///
/// Returns why the body was not read.
pub(crate) async fn read(mut res: reqwest::Response, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut body = Vec::new();
    while let Some(chunk) = res.chunk().await.map_err(BodyError::Broken)? {
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.into())
}

/// Reads a short JSON reply; none if it is too large or invalid, or the connection broke.
pub(crate) async fn read_reply<T: DeserializeOwned>(res: reqwest::Response) -> Option<T> {
    let body = read(res, MAX_REPLY_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}

#[cfg(test)]
#[path = "../tests/encoding/upstream_body.rs"]
mod tests;
