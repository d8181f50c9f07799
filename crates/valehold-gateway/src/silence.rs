//! Limits how long the other side of an accepted connection may take nothing
//! of what is sent to it.
//!
//! Without a limit, a process that reads nothing, or a machine that has lost
//! its power, holds the connection and all that belongs to it: the answer in
//! memory, the place among readers, and the connection to an upstream.

use std::{io, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// The limit for callers, which is the deadline of a request that states none:
/// no such caller waits for longer.
pub const CALLER_LIMIT: Duration = Duration::from_secs(30);

/// The limit for other gateways. A gateway that pauses for some seconds goes
/// on with its tunnels.
pub const GATEWAY_LIMIT: Duration = Duration::from_secs(15);

/// The idle time before the first keepalive probe, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Ends a connection of a caller once the caller has taken nothing for
/// [`CALLER_LIMIT`]. A connection at rest is closed by other means.
pub fn limit_caller(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    log_error(socket.set_tcp_user_timeout(Some(CALLER_LIMIT)));
}

/// Ends a connection of another gateway once that gateway has taken nothing,
/// or left keepalive probes without a reply, for [`GATEWAY_LIMIT`].
pub fn limit_gateway(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL);
    log_error(socket.set_tcp_user_timeout(Some(GATEWAY_LIMIT)));
    log_error(socket.set_tcp_keepalive(&probes));
}

/// Logs that a limit could not be set. The connection may have ended already.
fn log_error(set: io::Result<()>) {
    if let Err(error) = set {
        log::debug!("a connection has no limit of silence: {error}");
    }
}
