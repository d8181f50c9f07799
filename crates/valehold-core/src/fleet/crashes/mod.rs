//! Detection of requests that crash the upstreams that run them.
//!
//! When an upstream crashes, each request that was in flight there without
//! output may be the cause. [`CrashTracker`] holds the crashes that one
//! instance knows of, with the requests in flight at each and since when they
//! were ([`Exposures`]), and determines which requests are refused
//! ([`find_culprits`]). Instances exchange all of these records
//! ([`CrashReports`]). The set of records only grows until records expire, so
//! reports may be lost, delayed, duplicated or reordered.

mod content;
mod culprits;
mod exposures;
mod independence;
mod part;
mod record;
mod reports;
mod suspicions;
mod tracker;

pub use self::{
    content::{ParseContentError, RequestContent},
    culprits::{Crash, Evidence, REFUSED_AFTER_CRASHES, find_culprits},
    exposures::Exposures,
    part::PartId,
    record::{RecordChange, RecordState, RecordedRefusal},
    reports::{
        AnsweredReport, CrashReport, CrashReports, ExposureReport,
        RefusedReport,
    },
    suspicions::{SuspectedCrash, SuspicionReport},
    tracker::{CrashTracker, InFlight, Suspicion},
};
