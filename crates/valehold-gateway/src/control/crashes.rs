//! Telling other gateways of crashes and who was there, and hearing of them.

use std::net::SocketAddr;

use valehold_core::{Millis, fleet::crashes::CrashWords};

use super::Control;
use crate::peers::message::Message;

/// For how long what this gateway knows must have been the same before it is
/// told to one that knows something else, in ms: what is new is told to all at
/// once, and is mostly still on its way.
const SETTLES_MS: u64 = 300;

/// What was known of crashes when others were told last.
#[derive(Debug, Default)]
pub(super) struct ToldCrashes {
    digest: u64,
    since: Millis,
}

impl Control {
    /// Returns the digest of what this gateway knows of crashes.
    pub(super) fn crash_digest(&mut self, now: Millis) -> u64 {
        let digest = self.shared.crashes().digest(now);
        if digest != self.told_crashes.digest {
            self.told_crashes = ToldCrashes { digest, since: now };
        }
        digest
    }

    /// Tells all of what this gateway noted since.
    pub(super) fn tell_crashes(&mut self, now: Millis) {
        let news = {
            let mut book = self.shared.crashes();
            book.sweep(now);
            book.take_news(now)
        };
        if !news.is_empty() {
            self.send_all(&Message::Crashes(news));
        }
    }

    /// Compares what a peer knows with what this gateway knows, and tells it
    /// if they differ: words may be lost, and a peer may have started or come
    /// back just now. What it knows more it tells in the same way.
    pub(super) fn compare_crashes(
        &mut self,
        peer: SocketAddr,
        digest: u64,
        now: Millis,
    ) {
        let own = self.crash_digest(now);
        let is_settled = now.since(self.told_crashes.since) >= SETTLES_MS;
        if own == 0 || own == digest || !is_settled {
            return;
        }
        let words = self.shared.crashes().words(now);
        self.send([peer], &Message::Crashes(words));
    }

    /// Takes in what a peer tells of crashes.
    pub(super) fn hear_crashes(&self, words: &CrashWords, now: Millis) {
        self.shared.change_crashes(|book| book.hear(words, now));
    }
}
