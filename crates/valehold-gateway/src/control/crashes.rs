//! Telling other gateways of crashes and who was there, and hearing of them;
//! and the store's record of who is refused.

use std::{collections::BTreeMap, net::SocketAddr};

use valehold_core::{
    Millis,
    fleet::crashes::{CrashReports, RefusedReport, RequestContent},
};
use valehold_ports::{PortError, port::fleet::FleetStore};

use super::{Control, input::Input};
use crate::peers::{message::Message, roster::ObserverRole};

/// For how long the same requests must have been refused before the store
/// names them, in ms: what is told by others may speak for one of them.
const RECORD_AFTER_MS: u64 = 500;

/// How often the record is looked at or changed at the most, in ms: less than
/// it takes to be told to all, and no engine is back sooner.
const RECORD_EVERY_MS: u64 = 500;

/// How long after a failed call the store's record is tried again, in ms.
const RECORD_AGAIN_MS: u64 = 2_000;

/// For how long what this gateway knows must have been the same before it is
/// told to one that knows something else, in ms: what is new is told to all at
/// once, and is mostly still on its way.
const SETTLES_MS: u64 = 300;

/// How often one gateway is told all of it at the most, in ms: it may be tens
/// of KB, and gateways with different settings never know the same.
const TELL_EVERY_MS: u64 = 1_000;

/// What was known of crashes when others were told last.
#[derive(Debug, Default)]
pub(super) struct ToldCrashes {
    digest: u64,
    since: Millis,
    /// Whom this gateway told all, and when.
    told: BTreeMap<SocketAddr, Millis>,
}

/// This gateway's part in the store's record of who is refused.
#[derive(Debug, Default)]
pub(super) struct RecordDuty {
    /// Whether it read the record since it started.
    has_read: bool,
    /// Whether it saw a crash since it read the record.
    has_seen_crash: bool,
    /// Whether a call is under way.
    is_calling: bool,
    /// When the next call may be made.
    due: Millis,
    /// How often who is refused had changed, and since when it has not.
    changes: u64,
    since: Millis,
    /// What it removed from the record because it was answered.
    forgotten: Vec<RequestContent>,
}

/// How a call about the record ended.
#[derive(Debug)]
pub(super) struct RecordDone {
    /// What the record names now.
    named: Result<Vec<RefusedReport>, PortError>,
    forgotten: Vec<RequestContent>,
}

impl Control {
    /// Reads the store's record once, and brings it up to date, if that is
    /// this gateway's turn: the holder of the lease writes, and where there is
    /// none those that watch the store.
    ///
    /// A gateway that hears few of the others may be cut off from them and not
    /// from the store. It looks there after each crash that it saw.
    pub(super) fn keep_record(&mut self, now: Millis) {
        if self.record.is_calling || now < self.record.due {
            return;
        }
        let observes = !matches!(
            self.watch_orders.observing(),
            ObserverRole::Inactive | ObserverRole::ConfigurationOnly
        );
        let looks = self.record.has_seen_crash && !self.limits.hears_most();
        let has_to_read = looks || (!self.record.has_read && observes);
        let (refused, in_vain) = self.unrecorded(now);
        let is_behind = !(refused.is_empty() && in_vain.is_empty());
        let holds = self.lease.borrow().held_epoch(now).is_some();
        let writes =
            holds || (observes && self.roster.lease_holder(now).is_none());
        if has_to_read || (is_behind && writes) {
            self.record.is_calling = true;
            self.record.has_seen_crash = false;
            self.record.due = now + RECORD_EVERY_MS;
            let (store, inputs) =
                (self.store_calls.clone(), self.inputs.clone());
            tokio::task::spawn_local(async move {
                let named = record(&*store, &refused, &in_vain).await;
                let done = RecordDone { named, forgotten: in_vain };
                let _ = inputs.send(Input::RecordCallFinished(done));
            });
        }
    }

    /// Returns who is refused without the store's naming it, and whom the
    /// store names in vain, if that has been so for a while.
    fn unrecorded(
        &mut self,
        now: Millis,
    ) -> (Vec<RefusedReport>, Vec<RequestContent>) {
        let book = self.shared.crashes();
        let duty = &mut self.record;
        if duty.changes != book.changes() {
            (duty.changes, duty.since) = (book.changes(), now);
        }
        if book.is_empty() || now.since(duty.since) < RECORD_AFTER_MS {
            return (Vec::new(), Vec::new());
        }
        let mut in_vain = book.recorded_but_answered();
        in_vain.retain(|content| !duty.forgotten.contains(content));
        (book.unrecorded(now), in_vain)
    }

    /// Takes in how a call about the record ended.
    pub(super) fn record_done(&mut self, done: RecordDone, now: Millis) {
        self.record.is_calling = false;
        match done.named {
            Ok(named) => {
                self.record.has_read = true;
                self.record.forgotten.extend(done.forgotten);
                self.shared
                    .change_crashes(|book| book.receive_recorded(named, now));
            }
            Err(error) => {
                log::debug!("the record of refused requests: {error}");
                self.record.has_seen_crash = true;
                self.record.due = now + RECORD_AGAIN_MS;
            }
        }
    }

    /// Returns the digest of what this gateway knows of crashes.
    pub(super) fn crash_digest(&mut self, now: Millis) -> u64 {
        let digest = self.shared.crashes().digest(now);
        if digest != self.told_crashes.digest {
            self.told_crashes.digest = digest;
            self.told_crashes.since = now;
        }
        digest
    }

    /// Tells all of what this gateway noted since.
    pub(super) fn tell_crashes(&mut self, now: Millis) {
        let news = {
            let mut book = self.shared.crashes();
            book.prune(now);
            book.take_updates(now)
        };
        if !news.is_empty() {
            self.record.has_seen_crash = true;
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
        let told = &mut self.told_crashes.told;
        told.retain(|_, at| now.since(*at) < TELL_EVERY_MS);
        if told.contains_key(&peer) {
            return;
        }
        told.insert(peer, now);
        let words = self.shared.crashes().reports(now);
        self.send([peer], &Message::Crashes(words));
    }

    /// Takes in what a peer tells of crashes.
    pub(super) fn hear_crashes(&self, words: &CrashReports, now: Millis) {
        self.shared.change_crashes(|book| book.receive(words, now));
    }
}

/// Brings the record up to date, and returns whom it names then.
async fn record(
    store: &dyn FleetStore,
    refused: &[RefusedReport],
    in_vain: &[RequestContent],
) -> Result<Vec<RefusedReport>, PortError> {
    let sight = store.read_refused().await?;
    let change = sight.change(refused, in_vain);
    let is_to_change = !(refused.is_empty() && in_vain.is_empty());
    if is_to_change && !change.is_empty() {
        store.write_refused(&change).await?;
    }
    let mut named = sight.unexpired();
    named.retain(|word| !change.remove.contains(&word.content));
    named.extend_from_slice(refused);
    Ok(named)
}
