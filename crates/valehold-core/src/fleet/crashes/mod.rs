//! Requests that crash the upstreams that run them.
//!
//! When an upstream crashes, each of the requests that waited there without
//! any output may be the cause. [`CrashBook`] holds what one instance knows of
//! crashes and of who was there, and says which requests are to be refused
//! ([`judge`]). Instances tell one another all of it ([`CrashWords`]); what is
//! known only grows until it is over, so that words may be lost, come late,
//! twice, or in any order.

mod book;
mod content;
mod judge;
mod record;
mod words;

pub use self::{
    book::CrashBook,
    content::{NoContent, RequestContent},
    judge::{Crash, REFUSED_AFTER, judge},
    record::{RecordChange, RecordSight, RecordedRefusal},
    words::{AnsweredWord, CrashWord, CrashWords, RefusedWord},
};
