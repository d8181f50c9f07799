//! Connects to upstreams over this gateway's own links, and records whether
//! the links work.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use tokio::time::{self, Instant};
use valehold_core::fleet::{
    UpstreamStart,
    reachability::{ConnectionPath, LinkChange},
};
use valehold_ports::port::fleet::UpstreamStream;

use super::state::App;
use crate::events::Event;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How often links that may have failed, or may work again, are probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum number of probes at once: one more than the failures that show
/// that the links are lost.
const MAX_PROBES: usize = 4;

/// A connection over this gateway's own links.
pub(super) struct DirectConnection {
    pub(super) stream: Box<dyn UpstreamStream>,
    /// How long the upstream took to accept the connection.
    pub(super) connect_time: Duration,
}

impl App {
    /// Connects to an upstream over this gateway's own links.
    ///
    /// # Errors
    ///
    /// If the upstream does not accept the connection in time.
    pub(super) async fn connect_directly(
        &self,
        upstream: &UpstreamStart,
        address: SocketAddr,
    ) -> io::Result<DirectConnection> {
        let began = Instant::now();
        let connecting = self.connector.connect(address);
        let connected = time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        match connected {
            Ok(stream) => {
                self.record_connected(upstream);
                let connect_time = began.elapsed();
                Ok(DirectConnection { stream, connect_time })
            }
            Err(error) => {
                self.record_unconnected(upstream, &error);
                Err(error)
            }
        }
    }

    /// Returns the way by which to connect to an upstream now.
    pub(super) fn path_to(&self, upstream: &UpstreamStart) -> ConnectionPath {
        self.reachability.borrow().path_to(upstream, self.now())
    }

    /// Returns whether this gateway's own links reach no upstream.
    pub(super) fn are_links_lost(&self) -> bool {
        self.reachability.borrow().is_lost()
    }

    /// Records that an upstream answered over this gateway's own links.
    pub(super) fn record_heard(&self, upstream: &UpstreamStart) {
        let now = self.now();
        self.reachability.borrow_mut().record_answer(upstream, now);
    }

    /// Has the link to an upstream probed, unless the upstream was heard from
    /// a moment ago.
    pub(super) fn request_link_probe(&self, upstream: &UpstreamStart) {
        let now = self.now();
        self.reachability.borrow_mut().request_probe(upstream, now);
    }

    fn record_connected(&self, upstream: &UpstreamStart) {
        let now = self.now();
        let mut reachability = self.reachability.borrow_mut();
        let change = reachability.record_success(upstream, now);
        if let Some(LinkChange::Regained { after_ms }) = change {
            Event::UpstreamLinksRegained { after_ms }.log();
            self.shared.set_links_lost(None);
        }
    }

    fn record_unconnected(&self, upstream: &UpstreamStart, error: &io::Error) {
        let listed = self.shared.view.load().listing.upstreams.len();
        let now = self.now();
        let is_silent = error.kind() == io::ErrorKind::TimedOut;
        if is_silent {
            // A link that drops packets also holds open connections.
            self.pool.close_direct(upstream);
        }
        let mut reachability = self.reachability.borrow_mut();
        let change = reachability.record_failure(upstream, listed, now);
        if let Some(LinkChange::Lost { unreachable }) = change {
            let error = error.to_string();
            Event::UpstreamLinksLost { unreachable, error }.log();
            self.shared.set_links_lost(Some(now));
            if is_silent {
                self.pool.close_all_direct();
            }
        }
    }
}

/// Probes the links to upstreams that were silent or could not be reached, as
/// long as the gateway runs.
pub(super) async fn probe_periodically(app: Rc<App>) {
    loop {
        time::sleep(PROBE_INTERVAL).await;
        let due = app.reachability.borrow_mut().take_probes(MAX_PROBES);
        for upstream in due {
            tokio::task::spawn_local(probe(app.clone(), upstream));
        }
    }
}

/// Connects to an upstream to see whether the link works.
async fn probe(app: Rc<App>, upstream: UpstreamStart) {
    let view = app.shared.view.load();
    let Some(listed) = view.listing.get_start(&upstream) else { return };
    let address = listed.address;
    drop(view);
    if let Err(error) = app.connect_directly(&upstream, address).await {
        log::debug!("a probe of {} failed: {error}", upstream.id);
    }
}
