//! The reports of a tracker's records, and the digest by which instances
//! compare them.

use std::{
    collections::BTreeSet,
    hash::{Hash, Hasher},
};

use xxhash_rust::xxh3::Xxh3;

use super::{
    super::{
        AnsweredReport, CrashReport, CrashReports, Culprit, ExposureReport,
        PartReports, RefusedPartsReport, RefusedReport, RequestContent,
    },
    CrashTracker, Update,
};
use crate::{id::UpstreamTag, time::Millis};

impl CrashTracker {
    /// Returns reports of all records that have not expired, but for those of
    /// parts of prompts.
    pub fn reports(&self, now: Millis) -> CrashReports {
        let crashes = self.crashes.keys();
        let answered = self.answered.keys();
        CrashReports {
            crashes: crashes
                .filter_map(|one| self.crash_report(*one, now))
                .collect(),
            answered: answered
                .filter_map(|one| self.answered_report(*one, now))
                .collect(),
            refused: self
                .recorded
                .iter()
                .filter(|(_, until)| now < **until)
                .filter_map(|(culprit, until)| match culprit {
                    Culprit::Request(content) => Some(RefusedReport {
                        content: *content,
                        left_ms: until.since(now),
                    }),
                    Culprit::Parts(_) => None,
                })
                .collect(),
            exposures: self
                .exposures
                .iter()
                .filter(|(_, _, sent_expiry)| now < *sent_expiry)
                .map(|(content, upstream, sent_expiry)| ExposureReport {
                    content,
                    upstream,
                    sent_left_ms: sent_expiry.since(now),
                })
                .collect(),
        }
    }

    /// Returns reports of all records of parts of prompts that have not
    /// expired.
    pub fn part_reports(&self, now: Millis) -> PartReports {
        let recorded = self.recorded.iter();
        let unexpired = recorded.filter(|(_, until)| now < **until);
        let refused = unexpired.filter_map(|(culprit, until)| match culprit {
            Culprit::Parts(parts) => Some(RefusedPartsReport {
                parts: parts.clone(),
                left_ms: until.since(now),
            }),
            Culprit::Request(_) => None,
        });
        let refused = refused.collect();
        PartReports { refused, ..self.parts.reports(now) }
    }

    /// Takes the records of parts of this instance's own that have not been
    /// sent yet.
    pub fn take_part_updates(&mut self, now: Millis) -> PartReports {
        self.parts.take_updates(now)
    }

    /// Takes the records of this instance's own that have not been sent yet,
    /// but for those of parts of prompts.
    pub fn take_updates(&mut self, now: Millis) -> CrashReports {
        let mut reports = CrashReports::default();
        for one in std::mem::take(&mut self.pending) {
            match one {
                Update::Crash(upstream) => {
                    self.add_crash_update(&mut reports, upstream, now);
                }
                Update::Exposure(content, upstream) => {
                    let report = self.exposure_report(content, upstream, now);
                    reports.exposures.extend(report);
                }
                Update::Answered(content) => {
                    reports
                        .answered
                        .extend(self.answered_report(content, now));
                }
            }
        }
        reports
    }

    /// Adds the report of a crash, with since when the requests were in flight
    /// there, and the earlier crashes of the same requests.
    ///
    /// Transit times differ between messages. A receiver that learned of an
    /// earlier crash from another message could take it for later than a send
    /// that followed the crash.
    fn add_crash_update(
        &self,
        reports: &mut CrashReports,
        upstream: UpstreamTag,
        now: Millis,
    ) {
        let Some(report) = self.crash_report(upstream, now) else { return };
        let exposures = report.in_flight.iter();
        reports.exposures.extend(exposures.filter_map(|content| {
            self.exposure_report(*content, upstream, now)
        }));
        let in_flight: BTreeSet<_> =
            report.in_flight.iter().copied().collect();
        reports.crashes.push(report);
        for (tag, crash) in &self.crashes {
            let shared = crash.in_flight.intersection(&in_flight);
            let shared: Vec<RequestContent> = shared.copied().collect();
            if *tag != upstream && !shared.is_empty() {
                reports.crashes.push(CrashReport {
                    upstream: *tag,
                    left_ms: crash.until.since(now),
                    in_flight: shared,
                });
            }
        }
    }

    fn exposure_report(
        &self,
        content: RequestContent,
        upstream: UpstreamTag,
        now: Millis,
    ) -> Option<ExposureReport> {
        let sent_expiry = self.exposures.get(&content, upstream)?;
        (now < sent_expiry).then(|| ExposureReport {
            content,
            upstream,
            sent_left_ms: sent_expiry.since(now),
        })
    }

    fn crash_report(
        &self,
        upstream: UpstreamTag,
        now: Millis,
    ) -> Option<CrashReport> {
        let crash = self.crashes.get(&upstream)?;
        (now < crash.until).then(|| CrashReport {
            upstream,
            left_ms: crash.until.since(now),
            in_flight: crash.in_flight.iter().copied().collect(),
        })
    }

    fn answered_report(
        &self,
        content: RequestContent,
        now: Millis,
    ) -> Option<AnsweredReport> {
        let until = *self.answered.get(&content)?;
        (now < until)
            .then(|| AnsweredReport { content, left_ms: until.since(now) })
    }

    /// Returns a hash of all records that have not expired, or 0 if there are
    /// none.
    ///
    /// Instances with the same records have the same digest. Expiry times are
    /// left out, since they differ by the transit times of reports.
    pub fn digest(&self, now: Millis) -> u64 {
        let reports = self.reports(now);
        let part_reports = self.part_reports(now);
        if reports.is_empty() && part_reports.is_empty() {
            return 0;
        }
        let mut hasher = Xxh3::new();
        for report in &reports.crashes {
            (report.upstream, &report.in_flight).hash(&mut hasher);
        }
        for report in &reports.answered {
            report.content.hash(&mut hasher);
        }
        for report in &reports.refused {
            report.content.hash(&mut hasher);
        }
        for report in &reports.exposures {
            (report.content, report.upstream).hash(&mut hasher);
        }
        self.hash_parts(&part_reports, &mut hasher);
        hasher.finish().max(1)
    }

    /// Hashes the records of parts. Without any, the digest is that of
    /// instances that know nothing of parts.
    fn hash_parts(&self, reports: &PartReports, hasher: &mut Xxh3) {
        for (content, parts) in self.parts.prompts() {
            (content, parts).hash(hasher);
        }
        for report in &reports.cleared {
            (report.part, report.upstream).hash(hasher);
        }
        for report in &reports.refused {
            report.parts.hash(hasher);
        }
    }
}
