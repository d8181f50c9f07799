//! Upstreams that say in their answers that they leave.

use valehold_core::fleet::UpstreamStart;

use super::Control;
use crate::events::{Event, LeavingSource};

impl Control {
    /// Takes in that upstreams said that they leave.
    pub(super) fn hear_leaving(
        &mut self,
        starts: &[UpstreamStart],
        source: LeavingSource,
    ) {
        let now = self.now();
        for start in starts {
            if self.upstreams.say_leaving(start, now) {
                self.shared.metrics.upstream_leaving(source);
                let upstream = start.id.clone();
                Event::UpstreamLeaving { upstream, source }.log();
            }
        }
    }
}
