//! The options of connections to upstreams.

use std::time::Duration;

use googletest::prelude::*;
use socket2::SockRef;
use tokio::net::TcpListener;
use valehold_gateway::traffic::TcpConnector;

/// For how long a sound upstream may be silent: a second or so.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Within which time a connection that is cut has to end, so that callers are
/// served as before by then.
const CONTACT: Duration = Duration::from_secs(3);

/// Returns after how long without an answer Linux ends a connection on which
/// nothing is sent: at the first probe that is due when the time of
/// `TCP_USER_TIMEOUT` is over and a probe was unanswered, whatever the number
/// of probes.
fn silence_limit(socket: &SockRef<'_>, user_timeout: Duration) -> Duration {
    let first = socket.tcp_keepalive_time().expect("an option");
    let interval = socket.tcp_keepalive_interval().expect("an option");
    let mut at = first + interval;
    while at < user_timeout {
        at += interval;
    }
    at
}

/// Requests were lost with their connections to upstreams that paused for
/// longer than `TCP_USER_TIMEOUT`, 1.2 s, and went on.
#[gtest]
#[tokio::test]
async fn a_pause_of_a_second_ends_no_connection_and_a_cut_does() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream =
        TcpConnector::connect_tcp(address).await.expect("it connects");
    let socket = SockRef::from(&stream);
    expect_true!(socket.keepalive().expect("an option"));
    let user_timeout = socket.tcp_user_timeout().expect("an option");
    let user_timeout = user_timeout.expect("it is set");
    expect_that!(user_timeout, gt(PAUSE));
    expect_that!(user_timeout, lt(CONTACT));
    let silence = silence_limit(&socket, user_timeout);
    expect_that!(silence, gt(PAUSE));
    expect_that!(silence, le(CONTACT));
}
