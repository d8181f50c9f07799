//! Why a request is refused, and why one is tried again.
//!
//! Both enums are the label sets of counters. `docs/METRICS.md` lists every
//! code, and a test holds the page against [`RefusalReason::ALL`] and
//! [`RetryReason::ALL`].

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident {
        $($(#[$vdoc:meta])* $variant:ident = $code:literal,)*
    }) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        pub enum $name {
            $($(#[$vdoc])* $variant,)*
        }

        impl $name {
            /// Every reason, in the order of the documentation.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the stable code that callers and metrics see.
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)*
                }
            }
        }
    };
}

reasons! {
    /// Why a caller's request was refused.
    RefusalReason {
        /// No key, or one that no workspace has.
        BadKey = "bad_key",
        /// The body is not what the interface asks for.
        BadRequest = "bad_request",
        /// The workspace does not use this model or service.
        UnknownModel = "unknown_model",
        /// The request has more headers than the instance takes.
        TooManyHeaders = "too_many_headers",
        /// The body is larger than the instance takes.
        BodyTooLarge = "body_too_large",
        /// The caller sent its body too slowly.
        SlowCaller = "slow_caller",
        /// The workspace's rate of requests is used up.
        RateLimited = "rate_limited",
        /// The workspace's requests in flight are at their limit.
        ConcurrencyLimited = "concurrency_limited",
        /// The workspace's rate of tokens is used up.
        TokensLimited = "tokens_limited",
        /// The answer could not begin within its time.
        WouldBeLate = "would_be_late",
        /// No live upstream holds the model.
        NoUpstream = "no_upstream",
        /// No upstream in the regions that bind the request can answer.
        NoUpstreamInBound = "no_upstream_in_bound",
        /// No region is allowed by both its route and its workspace.
        EmptyBound = "empty_bound",
        /// All upstreams that could answer are cold and get no more for now.
        UpstreamsCold = "upstreams_cold",
        /// All upstreams that could answer asked this instance for rest.
        UpstreamsResting = "upstreams_resting",
        /// All upstreams that could answer take a limited number of requests
        /// and get no more for now.
        UpstreamsLimited = "upstreams_limited",
        /// All upstreams that could answer fall over if they have to turn
        /// requests away, and may have no room for now.
        UpstreamsBrittle = "upstreams_brittle",
        /// It continues a stream of which no reachable instance knows at which
        /// software version it began.
        UnknownOrigin = "unknown_origin",
        /// It continues a stream of a software version that no upstream runs
        /// which holds the model.
        NoUpstreamOfVersion = "no_upstream_of_version",
        /// The upstreams that ran it crashed, one after the other.
        CrashesUpstreams = "crashes_upstreams",
        /// Upstreams that ran requests with a part of its prompt crashed.
        PartCrashesUpstreams = "part_crashes_upstreams",
        /// This instance stops before the answer could come to its end.
        Stopping = "stopping",
        /// Every attempt failed, or the budget for retries is spent.
        UpstreamFailed = "upstream_failed",
        /// The answer did not begin within its time.
        TimedOut = "timed_out",
        /// This instance has no configuration yet.
        NotReady = "not_ready",
        /// The platform's store cannot record a call that must run once.
        StoreDown = "store_down",
        /// The call was already begun under the same idempotency key.
        AlreadyClaimed = "already_claimed",
        /// The same idempotency key came with a different request.
        KeyReused = "key_reused",
    }
}

impl RefusalReason {
    /// Returns the HTTP status that goes with the reason.
    pub const fn status(self) -> u16 {
        match self {
            Self::BadKey => 401,
            Self::BadRequest => 400,
            Self::UnknownModel => 404,
            Self::BodyTooLarge => 413,
            Self::TooManyHeaders => 431,
            Self::SlowCaller => 408,
            Self::RateLimited
            | Self::ConcurrencyLimited
            | Self::TokensLimited => 429,
            Self::UpstreamFailed => 502,
            Self::TimedOut => 504,
            Self::AlreadyClaimed => 409,
            Self::KeyReused => 422,
            Self::WouldBeLate
            | Self::NoUpstream
            | Self::NoUpstreamInBound
            | Self::EmptyBound
            | Self::UpstreamsCold
            | Self::UpstreamsResting
            | Self::UpstreamsLimited
            | Self::UpstreamsBrittle
            | Self::UnknownOrigin
            | Self::NoUpstreamOfVersion
            | Self::CrashesUpstreams
            | Self::PartCrashesUpstreams
            | Self::Stopping
            | Self::NotReady
            | Self::StoreDown => 503,
        }
    }

    /// Returns the error type that client libraries of the interface know.
    pub const fn kind(self) -> &'static str {
        match self.status() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            500.. => "server_error",
            _ => "invalid_request_error",
        }
    }
}

reasons! {
    /// Why an attempt was followed by another one.
    RetryReason {
        /// The upstream could not be connected to.
        ConnectFailed = "connect_failed",
        /// The upstream said that it did not run the request.
        RefusedByUpstream = "refused_by_upstream",
        /// The upstream failed before the caller had received anything.
        FailedBeforeOutput = "failed_before_output",
        /// The upstream is cold or in need, and the right to send to it was
        /// over.
        RightOver = "right_over",
        /// The upstream leaves, as was heard since it was chosen.
        UpstreamLeaving = "upstream_leaving",
        /// The upstream rests, as was heard since it was chosen.
        UpstreamResting = "upstream_resting",
        /// The upstream is brittle, and turned a request away since it was
        /// chosen.
        UpstreamBrittle = "upstream_brittle",
        /// A broken stream was resumed at the same upstream.
        StreamResumed = "stream_resumed",
        /// A call that may be repeated had no whole answer.
        RepeatableCall = "repeatable_call",
    }
}
