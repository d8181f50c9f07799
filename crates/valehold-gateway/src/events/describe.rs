//! Descriptions of events for operators.

use std::{collections::BTreeSet, fmt::Write};

use valehold_core::fleet::replicas::LoadSource;
use valehold_core::{Verdict, id::RegionId};

use super::{
    BoundRecord, CatalogSource, Event, PassedOver, PassedOverFor,
    ReportSource, RequestEnd, RequestEnded, RequestOutcome, SendEnd,
    SendRecord,
};

impl RequestEnded {
    /// Describes the request and its decisions for an operator, one line per
    /// step.
    pub fn describe(&self) -> String {
        let mut text = self.describe_request();
        if let Some(bound) = &self.bound {
            text.push_str(&bound.describe());
        }
        for upstream in &self.passed_over {
            text.push_str(&upstream.describe());
        }
        if self.sends.is_empty() {
            text.push_str(&self.describe_missing_send());
        }
        for (number, send) in self.sends.iter().enumerate() {
            text.push_str(&send.describe(number + 1));
        }
        text.push_str(&self.describe_end());
        text
    }

    fn describe_request(&self) -> String {
        let service = self.service.as_ref();
        let service =
            service.map_or("no route".to_owned(), ToString::to_string);
        let variant = self.variant.as_deref().unwrap_or("no model");
        let workspace = self.workspace.as_ref();
        let workspace =
            workspace.map_or("no workspace".to_owned(), ToString::to_string);
        let resumes = self.resumes.as_ref();
        let resumes = resumes.map_or_else(String::new, |begun| {
            format!(", continues the stream that {begun} began")
        });
        format!(
            "request {} of {workspace} for {service}, {variant}{resumes}: \
             rank {}, to begin within {} ms, deadline {} ms\n  configuration {}, list {}: {} \
             upstreams held what it asks for\n",
            self.request,
            self.rank,
            self.begin_within_ms,
            self.deadline_ms,
            self.configuration,
            self.listing,
            self.able,
        )
    }

    fn describe_missing_send(&self) -> String {
        self.predicted_ms.map_or_else(String::new, |ms| {
            format!("  never sent: its answer was predicted after {ms} ms\n")
        })
    }

    fn describe_end(&self) -> String {
        let RequestEnd { outcome, status, reason, verdict, come_back_ms } =
            self.end;
        let mut line = format!("  after {} ms: ", self.took_ms);
        match outcome {
            RequestOutcome::Answered => {
                let _ = write!(line, "answered with {status}");
            }
            RequestOutcome::Refused => {
                let reason = reason.map_or("no reason", |r| r.code());
                let _ = write!(line, "refused with {status}: {reason}");
            }
            RequestOutcome::BrokenOff => line.push_str("broken off midway"),
            RequestOutcome::CallerLeft => line.push_str("its caller left"),
        }
        line.push_str(match verdict {
            Verdict::NotRun => "; it has not run",
            Verdict::MayHaveRun => "; it may have run",
            Verdict::Ran => "; it ran",
        });
        if let Some(ms) = come_back_ms {
            let _ = write!(line, "; told to come back in {ms} ms");
        }
        if let Some(ms) = self.first_ms {
            let _ = write!(line, "; first event after {ms} ms");
        }
        if let Some(ms) = self.longest_pause_ms {
            let _ = write!(
                line,
                "; longest pause {ms} of {} ms",
                self.pause_within_ms
            );
        }
        line.push('\n');
        line
    }
}

impl BoundRecord {
    fn describe(&self) -> String {
        let join_names = |regions: &BTreeSet<RegionId>| {
            let names: Vec<&str> =
                regions.iter().map(RegionId::as_str).collect();
            match names.is_empty() {
                true => "no region".to_owned(),
                false => names.join(", "),
            }
        };
        let names_or_any = |regions: &Option<BTreeSet<RegionId>>| {
            regions.as_ref().map_or_else(|| "any".to_owned(), join_names)
        };
        format!(
            "  bound to {} (its route allowed {}, its workspace {}); {} \
             upstreams elsewhere held what it asks for\n",
            join_names(&self.regions),
            names_or_any(&self.of_route),
            names_or_any(&self.of_workspace),
            self.able_elsewhere,
        )
    }
}

impl PassedOver {
    fn describe(&self) -> String {
        let reason = match self.reason {
            PassedOverFor::Leaving => "leaves",
            PassedOverFor::Resting => "asked for rest",
            PassedOverFor::Brittle => "is brittle and may have no room",
            PassedOverFor::Limited => "takes no more requests for now",
        };
        format!("  passed over: {}, which {reason}\n", self.upstream)
    }
}

impl SendRecord {
    fn describe(&self, number: usize) -> String {
        let end = match self.end {
            SendEnd::UnderWay => "was under way at the end",
            SendEnd::Answered => "its answer was passed on",
            SendEnd::NotSent => "no connection could be made",
            SendEnd::Withheld => "not sent: it may not be sent to any more",
            SendEnd::NotHeld => "it does not hold the model: not run",
            SendEnd::Busy => "it is full or busy with an order: not run",
            SendEnd::Broken => "the answer broke off or was none",
            SendEnd::Failed => "it answered that it failed",
            SendEnd::Superseded => "another send was answered first",
        };
        let first = self.first_ms.map_or_else(
            || "none came".to_owned(),
            |ms| format!("came after {ms} ms"),
        );
        let rest = self.rest_ms.map_or_else(String::new, |ms| {
            format!("; it asked for {ms} ms of rest")
        });
        let error = self.connect_error.as_ref();
        let error =
            error.map_or_else(String::new, |error| format!(": {error}"));
        let software = self.software.as_ref();
        let software = software.map_or_else(String::new, |one| {
            format!("; its software is {one}")
        });
        let after = self.after_event.map_or_else(String::new, |event| {
            format!("; to continue after event {event}")
        });
        format!(
            "  send {number} to {} at {} ms: {} requests under way there, \
             {} tokens waiting, {} to read; first event predicted after {} \
             ms, {first}; {end}{error}{rest}{software}{after}\n",
            self.upstream,
            self.at_ms,
            self.running,
            self.waiting_tokens,
            self.read_tokens,
            self.predicted_ms,
        )
    }
}

impl CatalogSource {
    /// Returns a description of the source.
    const fn description(self) -> &'static str {
        match self {
            Self::Store => "the store",
            Self::Peer => "a peer's state",
            Self::Push => "a peer's push",
        }
    }
}

impl Event {
    /// Describes the event for an operator.
    pub fn describe(&self) -> String {
        match self {
            Self::Started { instance, .. } => format!("{instance} started\n"),
            Self::Suspended { for_ms } => {
                format!("its machine was suspended for {for_ms} ms\n")
            }
            Self::Stopping => "told to stop\n".to_owned(),
            Self::Stopped => "stopped\n".to_owned(),
            Self::SettingsRead => "settings read again\n".to_owned(),
            Self::SettingsKept { error } => {
                format!("settings stay as they are: {error}\n")
            }
            Self::StoreLost { error } => {
                format!("the store does not answer: {error}\n")
            }
            Self::StoreBack => "the store answers\n".to_owned(),
            Self::StoreCallFailed { call, took_ms, error } => {
                format!("{call} failed after {took_ms} ms: {error}\n")
            }
            Self::PeerFound { address } => format!("found {address}\n"),
            Self::ConfigurationInForce { version, before, source, .. } => {
                let source = source.description();
                format!(
                    "configuration {version} is in force after {before}, \
                     from {source}\n"
                )
            }
            Self::EmptyBounds { version, count, pairs } => {
                let pairs: Vec<String> =
                    pairs.iter().map(ToString::to_string).collect();
                format!(
                    "configuration {version} has {count} pairs of a route \
                     and a workspace without a common region: {}\n",
                    pairs.join(", "),
                )
            }
            Self::EvacuationOrdered {
                data_centre, left_ms, source, ..
            } => {
                let source = source.description();
                format!(
                    "{data_centre} is to be empty in {left_ms} ms, from \
                     {source}\n"
                )
            }
            Self::EvacuationInForce { data_centre } => {
                format!("{data_centre} gets nothing any more\n")
            }
            Self::EvacuationLeavesNone { service, region } => {
                let region = region.as_ref();
                let place =
                    region.map_or_else(String::new, |r| format!(" in {r}"));
                format!(
                    "{service} has no upstream left{place}: all of them \
                     stand in data centres that are to be empty\n"
                )
            }
            Self::EvacuationTakenBack { data_centre, source, .. } => {
                let source = source.description();
                format!("{data_centre} is in use again, from {source}\n")
            }
            Self::LeaseTaken { epoch } => {
                format!("took the lease in epoch {epoch}\n")
            }
            Self::LeaseGivenUp { epoch } => {
                format!("gave the lease up in epoch {epoch}\n")
            }
            Self::OrderEnded {
                engine,
                wish,
                variant,
                outcome,
                source,
                ..
            } => {
                let source = match source {
                    Some(LoadSource::Copy) => " from its copy",
                    Some(LoadSource::WeightStore) => " from the weight store",
                    None => "",
                };
                format!(
                    "order to {engine}: {wish} {variant}{source}: {outcome}\n"
                )
            }
            Self::LoadsHeldBack { counted, allowed, .. } => {
                format!(
                    "the weight store bears no more loads for now: {counted} \
                     of {allowed} in a window\n"
                )
            }
            Self::UpstreamUnreachable { upstream, error } => {
                format!("{upstream} cannot be reached: {error}\n")
            }
            Self::UpstreamLinksLost { unreachable, error } => {
                format!(
                    "the own links reach no upstream: {unreachable} failed, \
                     the last one with {error}\n"
                )
            }
            Self::UpstreamLinksRegained { after_ms } => {
                format!("an upstream is reached again after {after_ms} ms\n")
            }
            Self::UpstreamCrashed { upstream, under_way } => {
                format!(
                    "{upstream} crashed; requests here without any output: \
                     {}\n",
                    under_way.join(", "),
                )
            }
            Self::CrashUnconfirmed { upstream } => format!(
                "{upstream} takes no connections; the own links may have \
                 failed, and no other gateway told whether it crashed\n"
            ),
            Self::RequestSuspected {
                content,
                refused,
                survivors,
                crashes,
            } => {
                let crashes: Vec<String> =
                    crashes.iter().map(ToString::to_string).collect();
                let refused = match refused {
                    true => "refused",
                    false => "not refused",
                };
                format!(
                    "request {content} may crash upstreams ({refused}, \
                     {survivors} outlived it): {}\n",
                    crashes.join(", "),
                )
            }
            Self::PartsRefused { parts, refused, crashes } => {
                let change = match refused {
                    true => "are refused",
                    false => "are no longer refused",
                };
                format!(
                    "requests with {} in their prompts {change}; crashes: \
                     {}\n",
                    parts.join(" and "),
                    crashes.join(", "),
                )
            }
            Self::StoreRestored { era, before } => format!(
                "the store came back from a copy, era {era} after {before}\n"
            ),
            Self::HistoryGone { call, after } => format!(
                "the store has no history after {after} ({call}): what \
                 changed is read whole\n"
            ),
            Self::StateOutdated { age_ms, position } => format!(
                "nothing confirmed for {age_ms} ms what is known of the \
                 store; {position} gateways observe it rather than this one\n"
            ),
            Self::ListLeftOut { version, known } => format!(
                "a list of upstreams, {version}, was left out: {known} is \
                 known\n"
            ),
            Self::UpstreamLeaving { upstream, source } => {
                format!(
                    "{upstream} leaves, from {}\n",
                    describe_report_source(*source)
                )
            }
            Self::UpstreamRests { upstream, for_ms } => {
                format!("{upstream} asked for {for_ms} ms of rest\n")
            }
            Self::UpstreamLimited { upstream, per_second, source } => {
                format!(
                    "{upstream} takes {per_second} requests a second, from \
                     {}\n",
                    describe_report_source(*source),
                )
            }
            Self::UpstreamUnlimited { upstream, source } => {
                format!(
                    "{upstream} takes what comes again, from {}\n",
                    describe_report_source(*source),
                )
            }
            Self::ServiceBrittle { service, rejections_per_second } => {
                format!(
                    "upstreams of {service} fall over if they turn away more \
                     than {rejections_per_second} requests a second\n"
                )
            }
            Self::ConnectionEnded(ended) => ended.describe(),
            Self::RequestEnded(ended) => ended.describe(),
        }
    }

    /// Returns whether the event may explain the outcome of a request.
    pub fn concerns(&self, request: &RequestEnded) -> bool {
        let variant = request.variant.as_deref().unwrap_or_default();
        let model = variant.split('/').next().unwrap_or_default();
        match self {
            Self::RequestSuspected { content, .. } => {
                request.content.as_deref() == Some(content)
            }
            Self::PartsRefused { parts, .. } => {
                parts.iter().all(|one| request.parts.contains(one))
            }
            Self::OrderEnded { variant, .. } => {
                !model.is_empty() && variant.split('/').next() == Some(model)
            }
            Self::UpstreamUnreachable { upstream, .. }
            | Self::UpstreamCrashed { upstream, .. }
            | Self::CrashUnconfirmed { upstream }
            | Self::UpstreamLeaving { upstream, .. }
            | Self::UpstreamRests { upstream, .. }
            | Self::UpstreamLimited { upstream, .. }
            | Self::UpstreamUnlimited { upstream, .. } => {
                request.sends.iter().any(|send| send.upstream == *upstream)
            }
            Self::ConnectionEnded(ended) => {
                ended.last_request.as_ref() == Some(&request.request)
            }
            Self::ServiceBrittle { service, .. } => {
                request.service.as_ref() == Some(service)
            }
            Self::Suspended { .. }
            | Self::UpstreamLinksLost { .. }
            | Self::UpstreamLinksRegained { .. }
            | Self::EvacuationOrdered { .. }
            | Self::EvacuationInForce { .. }
            | Self::EvacuationLeavesNone { .. }
            | Self::EvacuationTakenBack { .. }
            | Self::LeaseTaken { .. }
            | Self::LeaseGivenUp { .. }
            | Self::LoadsHeldBack { .. }
            | Self::StoreLost { .. }
            | Self::StoreBack
            | Self::StoreRestored { .. }
            | Self::HistoryGone { .. }
            | Self::StateOutdated { .. }
            | Self::ListLeftOut { .. }
            | Self::StoreCallFailed { .. } => true,
            _ => false,
        }
    }
}

/// Returns a description of the source of an upstream's report.
fn describe_report_source(source: ReportSource) -> &'static str {
    match source {
        ReportSource::Answer => "its answer",
        ReportSource::Peer => "a peer",
    }
}
