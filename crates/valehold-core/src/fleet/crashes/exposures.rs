//! Since when requests were in flight at upstreams without output.

use std::collections::BTreeMap;

use super::RequestContent;
use crate::{id::UpstreamTag, time::Millis};

/// Maximum number of exposures; they take 80 KB.
const MAX_EXPOSURES: usize = 8_192;

/// Since when requests were in flight at upstreams without output.
///
/// An exposure is recorded for each request in flight at a crash, and for each
/// suspected request that an upstream has outlived. Its time is stated as the
/// expiry of a crash at the moment of the send, so that sends and crashes can
/// be compared. Of several sends to one upstream, the earliest counts.
#[derive(Debug, Clone, Default)]
pub struct Exposures {
    all: BTreeMap<RequestContent, BTreeMap<UpstreamTag, Millis>>,
    count: usize,
}

impl Exposures {
    /// Records that a request was sent to an upstream, and returns whether
    /// that was unknown, or known for a later time.
    ///
    /// Does nothing if the maximum number of exposures is recorded.
    pub fn insert(
        &mut self,
        content: RequestContent,
        upstream: UpstreamTag,
        sent_expiry: Millis,
    ) -> bool {
        let of_content = self.all.get_mut(&content);
        if let Some(known) = of_content.and_then(|of| of.get_mut(&upstream)) {
            let is_earlier = sent_expiry < *known;
            *known = sent_expiry.min(*known);
            return is_earlier;
        }
        if self.count >= MAX_EXPOSURES {
            return false;
        }
        self.count += 1;
        self.all.entry(content).or_default().insert(upstream, sent_expiry);
        true
    }

    /// Returns when a request was sent to an upstream, or `None` if that is
    /// not recorded.
    pub fn get(
        &self,
        content: &RequestContent,
        upstream: UpstreamTag,
    ) -> Option<Millis> {
        self.all.get(content)?.get(&upstream).copied()
    }

    /// Counts the upstreams that a request was sent to and for which
    /// `has_crashed` returns `false`.
    pub fn survivors(
        &self,
        content: &RequestContent,
        has_crashed: impl Fn(UpstreamTag) -> bool,
    ) -> usize {
        let exposed = self.all.get(content).into_iter().flatten();
        exposed.filter(|(upstream, _)| !has_crashed(**upstream)).count()
    }

    /// Returns all exposures.
    pub fn iter(
        &self,
    ) -> impl Iterator<Item = (RequestContent, UpstreamTag, Millis)> {
        self.all.iter().flat_map(|(content, exposed)| {
            let exposed = exposed.iter();
            exposed.map(|(upstream, sent)| (*content, *upstream, *sent))
        })
    }

    /// Removes the exposures of requests for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&RequestContent) -> bool) {
        self.all.retain(|content, _| is_kept(content));
        self.count = self.all.values().map(BTreeMap::len).sum();
    }
}
