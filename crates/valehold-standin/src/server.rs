//! Serving a router on loopback until dropped.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{net::TcpListener, task::JoinHandle};
use viz::{Body, Responder, Response, Router, Tree};

/// A served stand-in; dropping it ends it at once, as a kill would.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Running {
    /// Serves a router on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub(crate) async fn start(router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let tree = Arc::new(Tree::from(router));
        let accepting = tokio::spawn(accept(listener, tree));
        Ok(Self { address, accepting })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, tree: Arc<Tree>) {
    // Connections end with the set, so an end looks like a kill to peers.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, from)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let responder = Responder::new(tree.clone(), Some(Arc::new(from)));
        connections.spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), responder);
            let _ = connection.await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Makes a JSON answer.
pub(crate) fn json<T: Serialize>(value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let full = http_body_util::Full::from(Bytes::from(body));
    Response::new(Body::from(full))
}
