//! The charts that this project ships, and the enums that follow them.

use std::sync::OnceLock;

use super::{Chart, ChartFile, Label};
use crate::{chart_labels, error::Error};

/// Every shipped chart: its name, and the text of its file.
///
/// Instances have no disk, so the files are part of the program. They are
/// read and checked when it starts.
pub const FILES: &[(&str, &str)] = &[
    ("request", include_str!("../../../../charts/request.toml")),
    ("upstream", include_str!("../../../../charts/upstream.toml")),
    ("residency", include_str!("../../../../charts/residency.toml")),
    ("order", include_str!("../../../../charts/order.toml")),
    ("lease", include_str!("../../../../charts/lease.toml")),
    ("once_call", include_str!("../../../../charts/once_call.toml")),
    ("instance_life", include_str!("../../../../charts/instance_life.toml")),
];

macro_rules! bound_chart {
    ($(#[$doc:meta])* $function:ident, $file:literal, $s:ty, $e:ty) => {
        $(#[$doc])*
        ///
        /// # Panics
        ///
        /// If the shipped file does not fit the code; [`check_all`] finds
        /// that out when the program starts.
        pub fn $function() -> &'static Chart<$s, $e> {
            static CHART: OnceLock<Chart<$s, $e>> = OnceLock::new();
            CHART.get_or_init(|| bind($file).expect($file))
        }
    };
}

chart_labels! {
    /// The states of a caller's request.
    RequestState {
        /// Read, not yet admitted.
        Arrived = "arrived",
        /// Waits for an attempt.
        Admitted = "admitted",
        /// An attempt is on its way.
        Sent = "sent",
        /// The caller has received a part.
        Streaming = "streaming",
        /// The whole answer went out.
        Answered = "answered",
        /// The caller has its refusal.
        Refused = "refused",
        /// Broken off visibly.
        Broken = "broken",
        /// The caller went away.
        Cancelled = "cancelled",
    }
}

chart_labels! {
    /// The events of a caller's request.
    RequestEvent {
        /// Admission let it in.
        Admit = "admit",
        /// Admission or a limit refused it.
        Refuse = "refuse",
        /// An attempt began.
        Send = "send",
        /// The first part of the answer came.
        FirstOutput = "first_output",
        /// The upstream's end mark came.
        EndMark = "end_mark",
        /// The stream broke and cannot be resumed.
        BreakOff = "break_off",
        /// The attempt failed and another may follow.
        Retry = "retry",
        /// No other attempt will follow.
        GiveUp = "give_up",
        /// The caller closed its connection.
        CallerGone = "caller_gone",
    }
}

chart_labels! {
    /// The states of an upstream's life.
    UpstreamState {
        /// Not heard of yet.
        Unknown = "unknown",
        /// Takes work.
        Live = "live",
        /// Missed some reports.
        Suspect = "suspect",
        /// Takes no new work.
        Leaving = "leaving",
        /// Silent for the whole bound.
        Dead = "dead",
    }
}

chart_labels! {
    /// The events of an upstream's life.
    UpstreamEvent {
        /// A report came.
        Heard = "heard",
        /// No report for the first bound.
        Missed = "missed",
        /// No report for the second bound.
        Silent = "silent",
        /// It, or the platform's list, said that it leaves.
        SaidLeaving = "said_leaving",
        /// The platform's list has it no more.
        ListedGone = "listed_gone",
    }
}

chart_labels! {
    /// The states of an artifact on an engine.
    ResidencyState {
        /// Not there, and no order could make it.
        Absent = "absent",
        /// A load was ordered.
        Ordered = "ordered",
        /// The engine loads it.
        Loading = "loading",
        /// Takes requests.
        Resident = "resident",
        /// An unload was ordered.
        Draining = "draining",
        /// A load was taken back before it was seen.
        Unloading = "unloading",
    }
}

chart_labels! {
    /// The events of an artifact on an engine.
    ResidencyEvent {
        /// A load was recorded.
        OrderLoad = "order_load",
        /// An unload was recorded.
        OrderUnload = "order_unload",
        /// The engine reported that it loads.
        ReportedLoading = "reported_loading",
        /// The engine reported it resident.
        ReportedResident = "reported_resident",
        /// The engine reported it absent.
        ReportedAbsent = "reported_absent",
    }
}

chart_labels! {
    /// The states of an order.
    OrderState {
        /// Not yet in the platform.
        Intended = "intended",
        /// In the platform.
        Recorded = "recorded",
        /// Sent at least once.
        Sent = "sent",
        /// Reported done.
        Confirmed = "confirmed",
        /// No copy can still have an effect.
        Settled = "settled",
        /// A newer order stands in its place.
        Replaced = "replaced",
    }
}

chart_labels! {
    /// The events of an order.
    OrderEvent {
        /// The platform has it.
        Recorded = "recorded",
        /// It was sent.
        Sent = "sent",
        /// The engine reported it done.
        Confirmed = "confirmed",
        /// Late copies are ruled out.
        HoldOver = "hold_over",
        /// A newer order was decided.
        Replaced = "replaced",
    }
}

chart_labels! {
    /// The states of a part in a lease.
    LeaseState {
        /// Another may hold it.
        Watching = "watching",
        /// Asked for it.
        Taking = "taking",
        /// Holds it.
        Holding = "holding",
    }
}

chart_labels! {
    /// The events of a part in a lease.
    LeaseEvent {
        /// The row stood still for a whole term.
        RowUnchangedForTerm = "row_unchanged_for_term",
        /// Another wrote the row.
        RowChanged = "row_changed",
        /// The row is ours.
        TakeWon = "take_won",
        /// Another was first.
        TakeLost = "take_lost",
        /// The renewal took effect.
        RenewWon = "renew_won",
        /// The renewal found another's row.
        RenewLost = "renew_lost",
        /// The term less its margin is over.
        MarginReached = "margin_reached",
        /// This instance stops.
        StepDown = "step_down",
    }
}

chart_labels! {
    /// The states of a call that may not be repeated.
    OnceState {
        /// Nothing recorded.
        Unclaimed = "unclaimed",
        /// Recorded as begun.
        Claimed = "claimed",
        /// Ran; its answer is kept.
        Recorded = "recorded",
        /// May have run.
        Uncertain = "uncertain",
        /// Another attempt has the claim.
        Taken = "taken",
        /// Did not run.
        Refused = "refused",
    }
}

chart_labels! {
    /// The events of a call that may not be repeated.
    OnceEvent {
        /// The claim is in the table.
        ClaimWon = "claim_won",
        /// Another's claim is in the table.
        ClaimLost = "claim_lost",
        /// The table could not be asked.
        StoreDown = "store_down",
        /// No byte was taken, or the service said it did not run.
        NotSent = "not_sent",
        /// The service answered.
        Answered = "answered",
        /// No whole answer came.
        AnswerLost = "answer_lost",
    }
}

chart_labels! {
    /// The states of an instance's life.
    InstanceState {
        /// Has no configuration.
        Starting = "starting",
        /// In the directory.
        Serving = "serving",
        /// Out of the directory, still accepting.
        Draining = "draining",
        /// Accepts no connection.
        Finishing = "finishing",
        /// Nothing runs.
        Stopped = "stopped",
    }
}

chart_labels! {
    /// The events of an instance's life.
    InstanceEvent {
        /// A configuration is in force.
        Configured = "configured",
        /// It was told to stop.
        StopAsked = "stop_asked",
        /// No handed-out address is kept any more.
        AddressesExpired = "addresses_expired",
        /// The last request finished.
        AllFinished = "all_finished",
    }
}

bound_chart! {
    /// Returns the chart of a caller's request.
    request, "request", RequestState, RequestEvent
}
bound_chart! {
    /// Returns the chart of an upstream's life.
    upstream, "upstream", UpstreamState, UpstreamEvent
}
bound_chart! {
    /// Returns the chart of an artifact on an engine.
    residency, "residency", ResidencyState, ResidencyEvent
}
bound_chart! {
    /// Returns the chart of an order.
    order, "order", OrderState, OrderEvent
}
bound_chart! {
    /// Returns the chart of a part in a lease.
    lease, "lease", LeaseState, LeaseEvent
}
bound_chart! {
    /// Returns the chart of a call that may not be repeated.
    once_call, "once_call", OnceState, OnceEvent
}
bound_chart! {
    /// Returns the chart of an instance's life.
    instance_life, "instance_life", InstanceState, InstanceEvent
}

/// Reads a shipped chart by name.
///
/// # Errors
///
/// If there is no such chart, or its file does not hold together.
pub fn file(name: &str) -> Result<ChartFile, Error> {
    let found = FILES.iter().find(|(known, _)| *known == name);
    let (_, text) = found.ok_or_else(|| {
        let known: Vec<&str> = FILES.iter().map(|(name, _)| *name).collect();
        let known = known.join(", ");
        Error::new(format!("no chart {name:?}; there are: {known}"))
    })?;
    ChartFile::from_toml(&format!("charts/{name}.toml"), text)
}

/// Checks every shipped chart against the code that follows it.
///
/// # Errors
///
/// If a file does not hold together or does not fit the code.
pub fn check_all() -> Result<(), Error> {
    bind::<RequestState, RequestEvent>("request")?;
    bind::<UpstreamState, UpstreamEvent>("upstream")?;
    bind::<ResidencyState, ResidencyEvent>("residency")?;
    bind::<OrderState, OrderEvent>("order")?;
    bind::<LeaseState, LeaseEvent>("lease")?;
    bind::<OnceState, OnceEvent>("once_call")?;
    bind::<InstanceState, InstanceEvent>("instance_life")?;
    Ok(())
}

fn bind<S: Label, E: Label>(name: &str) -> Result<Chart<S, E>, Error> {
    Chart::try_from_file(&file(name)?)
}
