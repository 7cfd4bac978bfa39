use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::{read, read_reply, BodyError};

/// Time in which a connection is closed, also on a busy machine.
const CLOSE_TIME: Duration = Duration::from_secs(20);

/// Returns the response of a server that sends a body, and then spaces until its connection is closed; the receiver
/// gets a message when it is.
async fn endless_response(body: &'static str) -> (reqwest::Response, oneshot::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let (closed, is_closed) = oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4 << 10];
        let _ = stream.read(&mut request).await.expect("a request");
        let begin = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        stream.write_all(begin.as_bytes()).await.expect("connected");
        while stream.write_all(&[b' '; 64 << 10]).await.is_ok() {}
        // Fails if the test has ended.
        let _ = closed.send(());
    });
    let http = reqwest::Client::builder().no_proxy().build();
    let http = http.expect("a client without a proxy");
    let res = http.get(format!("http://{addr}/")).send().await;
    (res.expect("the head of a response"), is_closed)
}

/// Guards against an upstream whose response has no end and fills the memory.
#[tokio::test]
async fn a_body_without_end_is_given_up_and_its_connection_closed() {
    let (res, closed) = endless_response("body").await;
    let read = timeout(CLOSE_TIME, read(res, 1 << 20)).await;
    let error = read.expect("it is given up").expect_err("it has no end");
    assert!(matches!(error, BodyError::TooLarge(_)), "{error}");
    let closed = timeout(CLOSE_TIME, closed).await;
    assert_eq!(closed.expect("the connection is closed"), Ok(()));
}

/// Guards against the same in replies to cancellations and questions.
#[tokio::test]
async fn a_reply_without_end_counts_as_none() {
    let (res, _) = endless_response(r#"{"known":true}"#).await;
    let reply = timeout(CLOSE_TIME, read_reply::<serde_json::Value>(res)).await;
    assert_eq!(reply.expect("it is given up"), None);
}
