//! When a connection whose other side is silent is closed, by the options of its socket.

use std::time::Duration;

use dial::set_socket_options;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

/// How long an upstream that works may be silent.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time within which a connection whose other side is gone is closed.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(4);
/// Step in which the beginning of a silence is moved.
const STEP: Duration = Duration::from_millis(50);

/// The options that decide when a connection is closed.
#[derive(Clone, Copy, Debug)]
struct Options {
    user_timeout: Duration,
    keepalive_time: Duration,
    keepalive_interval: Duration,
}

impl Options {
    /// Returns when a connection is closed after the last received packet if nothing more arrives until
    /// `answered_from`: probes follow at the keepalive interval. Once one was not answered, the user
    /// timeout decides, whatever the number of probes.
    fn closed_after(&self, answered_from: Option<Duration>) -> Option<Duration> {
        let mut probe_at = self.keepalive_time;
        let mut unanswered = false;
        loop {
            if answered_from.is_some_and(|from| probe_at >= from) {
                return None;
            }
            if unanswered && probe_at >= self.user_timeout {
                return Some(probe_at);
            }
            unanswered = true;
            probe_at += self.keepalive_interval;
        }
    }
}

async fn options() -> Options {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let stream = TcpStream::connect(addr).await.expect("a connection");
    set_socket_options(&stream).expect("options can be set");
    let socket = SockRef::from(&stream);
    let user_timeout = socket.tcp_user_timeout().expect("an option");
    Options {
        user_timeout: user_timeout.expect("a user timeout"),
        keepalive_time: socket.tcp_keepalive_time().expect("an option"),
        keepalive_interval: socket.tcp_keepalive_interval().expect("an option"),
    }
}

/// Guards against connections that are closed although their upstream is only silent for a moment: the
/// user timeout decides over keepalive probes, too.
#[tokio::test]
async fn a_short_silence_closes_no_connection() {
    let options = options().await;
    let mut begins = Duration::ZERO;
    while begins <= options.keepalive_time {
        let closed = options.closed_after(Some(begins + SILENCE));
        assert_eq!(closed, None, "silent {begins:?} after the last packet");
        begins += STEP;
    }
    // Unacknowledged data is not subject to probes.
    assert!(options.user_timeout > SILENCE);
}

/// Guards against connections that are kept although the other side is gone.
#[tokio::test]
async fn a_lost_connection_is_closed_in_time() {
    let options = options().await;
    assert!(options.closed_after(None) <= Some(MAX_DETECTION_TIME));
    assert!(options.user_timeout <= MAX_DETECTION_TIME);
}
