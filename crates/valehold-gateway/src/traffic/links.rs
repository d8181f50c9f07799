//! Records whether this gateway's own links reach upstreams.

use std::io;

use valehold_core::fleet::{UpstreamStart, reachability::LinkChange};

use super::state::App;
use crate::events::Event;

impl App {
    /// Records that an upstream accepted a connection of this gateway.
    pub(super) fn record_connected(&self, upstream: &UpstreamStart) {
        let now = self.now();
        let mut reachability = self.reachability.borrow_mut();
        let change = reachability.record_success(upstream, now);
        if let Some(LinkChange::Regained { after_ms }) = change {
            Event::UpstreamLinksRegained { after_ms }.log();
            self.shared.metrics.upstream_links_lost(false);
        }
    }

    /// Records that this gateway could not connect to an upstream.
    pub(super) fn record_unconnected(
        &self,
        upstream: &UpstreamStart,
        error: &io::Error,
    ) {
        let listed = self.shared.view.load().listing.upstreams.len();
        let now = self.now();
        let mut reachability = self.reachability.borrow_mut();
        let change = reachability.record_failure(upstream, listed, now);
        if let Some(LinkChange::Lost { unreachable }) = change {
            let error = error.to_string();
            Event::UpstreamLinksLost { unreachable, error }.log();
            self.shared.metrics.upstream_links_lost(true);
        }
    }
}
