//! The link over which a gateway exchanges datagrams with its peers.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// The link to all peers.
#[derive(Debug, Clone, Default)]
pub struct PeerLink {
    is_cut: Arc<AtomicBool>,
}

impl PeerLink {
    /// Cuts or restores the link, by which tests simulate a gateway that is cut
    /// off. What is sent in either direction while the link is cut is lost.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Returns whether the link is cut.
    pub(crate) fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }
}
