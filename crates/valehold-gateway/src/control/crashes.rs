//! Exchanges reports about crashes and the requests in flight at the time with
//! other gateways, and keeps the store's record of what is refused for them up
//! to date.

use std::{collections::BTreeMap, net::SocketAddr};

use valehold_core::{
    Millis,
    fleet::crashes::{CrashReports, Culprit, PartReports, Refusal},
};
use valehold_ports::{
    PortError,
    port::fleet::{FleetStore, OwnTable},
};

use super::{Control, input::Input, records::refused as refused_rows};
use crate::peers::{message::Message, roster::ObserverRole};

/// How long the set of refused requests must be unchanged before the gateway
/// writes the set to the store, in ms. Reports that still arrive from other
/// gateways may say that one of the requests was answered.
const RECORD_DELAY_MS: u64 = 500;

/// The minimum time between two reads or writes of the record, in ms. The
/// interval is shorter than the time a change takes to reach all gateways, and
/// no engine restarts sooner.
const MIN_RECORD_INTERVAL_MS: u64 = 500;

/// The delay before the record is accessed again after a failed call, in ms.
const RECORD_RETRY_MS: u64 = 2_000;

/// How long a gateway that starts waits for the record before it serves, in
/// ms. The store may be down while the gateway has all other state from peers.
const MAX_RECORD_WAIT_MS: u64 = 1_000;

/// How long the digest of this gateway must be unchanged before a peer with
/// another digest gets a full report, in ms. Updates are broadcast at once, so
/// a recent difference mostly stems from updates still in flight.
const DIGEST_SETTLE_MS: u64 = 300;

/// The minimum time between two full reports to the same gateway, in ms. A
/// full report may have tens of KB, and the digests of gateways with different
/// settings never match.
const FULL_REPORT_INTERVAL_MS: u64 = 1_000;

/// The time after which the digest is computed again although no record was
/// added, in ms: records expire.
const DIGEST_LIFETIME_MS: u64 = 1_000;

/// The last known digest of crash reports and the recipients of full reports.
#[derive(Debug, Default)]
pub(super) struct AdvertisedCrashes {
    digest: u64,
    unchanged_since: Millis,
    /// The revision of the records for which the digest was computed last, and
    /// when.
    computed_for: Option<(u64, Millis)>,
    /// When each peer last got a full report.
    full_reports_sent: BTreeMap<SocketAddr, Millis>,
}

/// The state of this gateway's synchronization with the store's record of
/// refused requests.
#[derive(Debug, Default)]
pub(super) struct RecordSync {
    /// Whether the record was read since the start of this gateway.
    has_read: bool,
    /// Whether this gateway noted a crash report since the last call, or the
    /// last call failed. The record is then read again if this gateway
    /// receives heartbeats from less than a majority.
    must_reread: bool,
    /// Whether a call is in flight.
    call_in_flight: bool,
    /// The earliest time of the next call.
    next_call: Millis,
    /// The change counter of the crash reports when last compared, and the
    /// time of the last change.
    changes: u64,
    unchanged_since: Millis,
    /// What this gateway removed from the record because it was cleared.
    removed: Vec<Culprit>,
}

/// The result of a call that reads or changes the record.
#[derive(Debug)]
pub(super) struct RecordSyncResult {
    /// The refusals that the record lists after the call.
    listed: Result<Vec<Refusal>, PortError>,
    removed: Vec<Culprit>,
}

impl Control {
    /// Reads the store's record once after the start, and writes changes to
    /// the record if this gateway is responsible: the lease holder writes, and
    /// without a lease holder the gateways that observe the store write.
    ///
    /// A gateway that receives heartbeats from less than a majority may be cut
    /// off from the other gateways but not from the store. Such a gateway
    /// reads the record after each crash that it notes.
    pub(super) fn sync_record(&mut self, now: Millis) {
        if self.record.call_in_flight || now < self.record.next_call {
            return;
        }
        let is_observer = self.observes_store();
        let reads_after_crash =
            self.record.must_reread && !self.limits.receives_from_majority();
        let must_read =
            reads_after_crash || (!self.record.has_read && is_observer);
        let (refused, obsolete) = self.pending_record_changes(now);
        let has_changes = !(refused.is_empty() && obsolete.is_empty());
        let holds_lease = self.lease.borrow().held_epoch(now).is_some();
        let may_write = holds_lease
            || (is_observer && self.roster.lease_holder(now).is_none());
        if must_read || (has_changes && may_write) {
            self.record.call_in_flight = true;
            self.record.must_reread = false;
            self.record.next_call = now + MIN_RECORD_INTERVAL_MS;
            let (store, inputs) =
                (self.store_calls.clone(), self.inputs.clone());
            tokio::task::spawn_local(async move {
                let listed = update_record(&*store, &refused, &obsolete).await;
                let done = RecordSyncResult { listed, removed: obsolete };
                let _ = inputs.send(Input::RecordCallFinished(done));
            });
        }
    }

    /// Returns whether this gateway observes the store for the others.
    pub(super) fn observes_store(&self) -> bool {
        !matches!(
            self.watch_state.role(),
            ObserverRole::Inactive | ObserverRole::ConfigurationOnly
        )
    }

    /// Returns whether this gateway reads the record and has not yet done so
    /// since its start. If all gateways have started anew, requests that crash
    /// upstreams would run again until then.
    pub(super) fn waits_for_record(&self, now: Millis) -> bool {
        let may_wait = now.since(self.started) < MAX_RECORD_WAIT_MS;
        self.observes_store() && !self.record.has_read && may_wait
    }

    /// Returns the refusals missing in the record, and the recorded culprits
    /// that were cleared since. Both lists are empty until the set
    /// has been unchanged for `RECORD_DELAY_MS`.
    fn pending_record_changes(
        &mut self,
        now: Millis,
    ) -> (Vec<Refusal>, Vec<Culprit>) {
        let crashes = self.shared.crashes();
        let sync = &mut self.record;
        if sync.changes != crashes.changes() {
            (sync.changes, sync.unchanged_since) = (crashes.changes(), now);
        }
        if crashes.is_empty()
            || now.since(sync.unchanged_since) < RECORD_DELAY_MS
        {
            return (Vec::new(), Vec::new());
        }
        let mut obsolete = crashes.recorded_but_cleared();
        obsolete.retain(|culprit| !sync.removed.contains(culprit));
        (crashes.unrecorded(now), obsolete)
    }

    /// Handles the result of a call that reads or changes the record.
    pub(super) fn on_record_synced(
        &mut self,
        done: RecordSyncResult,
        now: Millis,
    ) {
        self.record.call_in_flight = false;
        match done.listed {
            Ok(listed) => {
                let is_first = !self.record.has_read;
                self.record.has_read = true;
                self.record.removed.extend(done.removed);
                let tells_others = is_first && !listed.is_empty();
                self.shared.update_crashes(|crashes| {
                    crashes.receive_recorded(listed, now)
                });
                if tells_others {
                    // Gateways that started as well do not read the record.
                    for message in self.crash_messages(now) {
                        self.send_all(&message);
                    }
                }
            }
            Err(error) => {
                log::debug!(
                    "accessing the record of refused requests failed: {error}"
                );
                self.record.must_reread = true;
                self.record.next_call = now + RECORD_RETRY_MS;
            }
        }
    }

    /// Returns the digest of the crash reports known to this gateway.
    pub(super) fn crash_digest(&mut self, now: Millis) -> u64 {
        let crashes = self.shared.crashes();
        let revision = crashes.revision();
        let advertised = &mut self.advertised_crashes;
        let is_current = advertised.computed_for.is_some_and(|(known, at)| {
            known == revision && now.since(at) < DIGEST_LIFETIME_MS
        });
        if !is_current {
            advertised.computed_for = Some((revision, now));
            let digest = crashes.digest(now);
            if digest != advertised.digest {
                advertised.digest = digest;
                advertised.unchanged_since = now;
            }
        }
        advertised.digest
    }

    /// Broadcasts the crash updates noted since the last call.
    pub(super) fn send_crash_updates(&mut self, now: Millis) {
        self.shared.update_crashes(|crashes| crashes.prune(now));
        let (updates, part_updates) = {
            let mut crashes = self.shared.crashes();
            (crashes.take_updates(now), crashes.take_part_updates(now))
        };
        // Prompts go first: a crash speaks against parts only with them.
        if !part_updates.is_empty() {
            self.send_all(&Message::CrashParts(part_updates));
        }
        if !updates.is_empty() {
            self.record.must_reread = true;
            self.send_all(&Message::Crashes(updates));
        }
    }

    /// Returns the messages with all reports about crashes.
    fn crash_messages(&self, now: Millis) -> Vec<Message> {
        let crashes = self.shared.crashes();
        let (reports, parts) =
            (crashes.reports(now), crashes.part_reports(now));
        let parts = (!parts.is_empty()).then_some(Message::CrashParts(parts));
        parts.into_iter().chain([Message::Crashes(reports)]).collect()
    }

    /// Compares a peer's digest of crash reports with the digest of this
    /// gateway, and sends the peer a full report if the digests differ:
    /// datagrams may be lost, and the peer may have started or become
    /// reachable just now. The peer does the same with reports that this
    /// gateway lacks.
    pub(super) fn compare_crash_digest(
        &mut self,
        peer: SocketAddr,
        digest: u64,
        now: Millis,
    ) {
        let own = self.crash_digest(now);
        let is_settled = now.since(self.advertised_crashes.unchanged_since)
            >= DIGEST_SETTLE_MS;
        if own == 0 || own == digest || !is_settled {
            return;
        }
        let full_reports_sent = &mut self.advertised_crashes.full_reports_sent;
        full_reports_sent
            .retain(|_, at| now.since(*at) < FULL_REPORT_INTERVAL_MS);
        if full_reports_sent.contains_key(&peer) {
            return;
        }
        full_reports_sent.insert(peer, now);
        for message in self.crash_messages(now) {
            self.send([peer], &message);
        }
    }

    /// Merges crash reports of a peer.
    pub(super) fn receive_crashes(&self, reports: &CrashReports, now: Millis) {
        self.shared.update_crashes(|crashes| crashes.receive(reports, now));
    }

    /// Merges a peer's reports about parts of prompts.
    pub(super) fn receive_crash_parts(
        &self,
        reports: &PartReports,
        now: Millis,
    ) {
        self.shared.update_crashes(|c| c.receive_parts(reports, now));
    }
}

/// Writes changes to the record if there are any, and returns the refusals
/// that the record lists afterwards.
async fn update_record(
    store: &dyn FleetStore,
    refused: &[Refusal],
    obsolete: &[Culprit],
) -> Result<Vec<Refusal>, PortError> {
    let table = OwnTable::Refused;
    let state = refused_rows::read(&store.read_own(table).await?);
    let change = state.change(refused, obsolete);
    let has_requested_changes = !(refused.is_empty() && obsolete.is_empty());
    if has_requested_changes && !change.is_empty() {
        let rows = refused_rows::rows(&change)?;
        store.write_own(table, &rows).await?;
    }
    let mut listed = state.unexpired();
    listed.retain(|refusal| !change.remove.contains(&refusal.culprit));
    listed.extend_from_slice(refused);
    Ok(listed)
}
