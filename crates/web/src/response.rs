//! Responses as the HTTP library sends them.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use hyper::header::{HeaderName, HeaderValue, CONNECTION};
use hyper::{Response, StatusCode};

use crate::connection::ResponseEnd;
use crate::{Body, Res};

/// The body of a response.
pub(crate) struct ResponseBody {
    body: Body,
    _end: ResponseEnd,
}

/// Converts a response; the connection is closed after it if the request's body was not read.
pub(crate) fn convert(res: Res, end: ResponseEnd, is_body_read: bool) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody {
        body: res.body,
        _end: end,
    });
    *response.status_mut() = StatusCode::from_u16(res.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for (name, value) in res.headers {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    if !is_body_read {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut self.get_mut().body {
            Body::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Body::Full(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Body::Stream(rx) => rx.poll_recv(cx).map(|chunk| Some(Ok(Frame::data(chunk?)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.body, Body::Full(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Body::Full(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Body::Stream(_) => SizeHint::default(),
        }
    }
}
