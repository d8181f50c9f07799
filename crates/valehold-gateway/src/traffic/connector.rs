//! Opens TCP connections that end when the other side no longer responds.

use std::{io, net::SocketAddr, time::Duration};

use futures::{FutureExt, future::BoxFuture};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use valehold_ports::port::fleet::{UpstreamConnector, UpstreamStream};

/// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`). A sound
/// upstream may pause for a second and more. The time also decides when
/// keepalive probes end a connection, whatever their number.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The idle time before the first keepalive probe, and between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Connects over TCP.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpConnector;

impl TcpConnector {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// If no connection is accepted, or its options cannot be set.
    pub async fn connect_tcp(address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL);
        socket.set_tcp_keepalive(&probes)?;
        Ok(stream)
    }
}

impl UpstreamConnector for TcpConnector {
    fn connect(
        &self,
        address: SocketAddr,
    ) -> BoxFuture<'_, io::Result<Box<dyn UpstreamStream>>> {
        async move {
            let stream = Self::connect_tcp(address).await?;
            Ok(Box::new(stream) as Box<dyn UpstreamStream>)
        }
        .boxed()
    }
}
