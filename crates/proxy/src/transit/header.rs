//! The headers by which instances forward requests for each other. They are sent between instances
//! only.

use hyper::header::HeaderName;

/// The incarnation that a request is for: another one may have its address now.
pub(super) const TO: HeaderName = HeaderName::from_static("oriolehitch-transit-to");
/// The incarnation of the instance that has sent it, for the log.
pub(super) const FROM: HeaderName = HeaderName::from_static("oriolehitch-transit-from");
/// The incarnation of the upstream that the request is for.
pub(super) const UPSTREAM: HeaderName = HeaderName::from_static("oriolehitch-transit-upstream");
/// Time until the response is no longer wanted, in milliseconds.
pub(super) const TIMEOUT: HeaderName = HeaderName::from_static("oriolehitch-transit-timeout-ms");
/// Why there is no response of the upstream; only in responses of the forwarding instance itself.
pub(super) const ERROR: HeaderName = HeaderName::from_static("oriolehitch-transit-error");

/// Why there is no response of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Error {
    /// The request is for another incarnation, or this one is stopping; nothing was sent.
    Stopping,
    /// The instance forwards no more requests now; nothing was sent.
    Full,
    /// The instance has no slot of the upstream left, which is brittle; nothing was sent.
    NoSlot,
    /// The instance does not reach the upstream's service; nothing was sent.
    NoPath,
    /// The upstream is not listed, leaving, paused or evacuated; nothing was sent.
    Gone,
    /// No connection to the upstream could be established; nothing was sent.
    Unreachable,
    /// A connection to the upstream could not be used; nothing was sent.
    NotSent,
    /// The upstream closed the connection before its response.
    Closed,
    /// The connection to the upstream broke; a part of its response may have been on its way.
    Broken,
}

/// The values of the error header.
const ERRORS: [(Error, &str); 9] = [
    (Error::Stopping, "stopping"),
    (Error::Full, "full"),
    (Error::NoSlot, "no-slot"),
    (Error::NoPath, "no-path"),
    (Error::Gone, "gone"),
    (Error::Unreachable, "unreachable"),
    (Error::NotSent, "not-sent"),
    (Error::Closed, "closed"),
    (Error::Broken, "broken"),
];

impl Error {
    /// Returns the value of the header.
    pub(super) fn as_str(self) -> &'static str {
        let row = ERRORS.iter().find(|(error, _)| *error == self);
        row.expect("every error has a value").1
    }

    /// Parses the value of the header. An unknown one, of a later version, is as uncertain as can be.
    pub(super) fn parse(value: &[u8]) -> Error {
        let row = ERRORS.iter().find(|(_, text)| text.as_bytes() == value);
        row.map_or(Error::Broken, |(error, _)| *error)
    }
}
