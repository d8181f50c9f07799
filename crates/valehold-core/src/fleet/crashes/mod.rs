//! Detection of requests, and of parts of prompts, that crash the upstreams
//! that run them.
//!
//! When an upstream crashes, each request that was in flight there without
//! output may be the cause, or a part of its prompt. [`CrashTracker`] holds the
//! crashes that one instance knows of, with the requests in flight at each,
//! since when they were ([`Exposures`]) and what their prompts share
//! ([`PartRecords`]), and determines what is refused ([`find_culprits`]).
//! Instances exchange all of these records ([`CrashReports`],
//! [`PartReports`]). The set of records only grows until records expire, so
//! reports may be lost, delayed, duplicated or reordered.

mod content;
mod culprit;
mod culprits;
mod exposures;
mod independence;
mod part;
mod part_culprits;
mod part_records;
mod part_reports;
mod record;
mod reports;
mod suspicions;
mod tracker;

pub use self::{
    content::{ParseContentError, RequestContent},
    culprit::{Culprit, PartGroup, Refusal},
    culprits::{Crash, Evidence, REFUSED_AFTER_CRASHES, find_culprits},
    exposures::Exposures,
    part::PartId,
    part_culprits::PART_REFUSED_AFTER_CRASHES,
    part_records::PartRecords,
    part_reports::{
        ClearedReport, PartReports, PromptReports, RefusedPartsReport,
    },
    record::{RecordChange, RecordState, RecordedRefusal},
    reports::{
        AnsweredReport, CrashReport, CrashReports, ExposureReport,
        RefusedReport,
    },
    suspicions::{SuspectedCrash, SuspicionReport},
    tracker::{CrashTracker, InFlight, PartChange, Suspicion},
};
