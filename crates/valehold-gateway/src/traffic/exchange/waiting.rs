//! Chooses the upstream for a send, and waits briefly if none is available.

use std::{rc::Rc, time::Duration};

use valehold_core::{
    Millis,
    fleet::{BoundVariant, Variant, cold::SendPermit},
    reason::RefusalReason,
};

use super::{
    super::{
        choose::{
            Chosen, NoChoice, choose_with_permit, current_bound, holders,
            holders_outside_bound, usable,
        },
        origins,
        refusal::Refusal,
        route::wait_until_started,
    },
    Exchange,
    refusals::NO_UPSTREAM_RETRY_AFTER_MS,
};

/// The interval at which a waiting request tries again to choose an upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(8);

/// The number of polls after which the load request is repeated.
const POLLS_PER_LOAD_REQUEST: u32 = 12;

/// The time that an engine takes to load an adapter after the order.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(30);

/// The maximum time that a request waits for an upstream, as a fraction of the
/// objective for the beginning of the answer.
const MAX_WAIT_FRACTION: f64 = 0.22;

/// The time after which to retry a request for an adapter that is not loaded,
/// in ms.
const ADAPTER_RETRY_AFTER_MS: u64 = 800;

/// The time after which to retry a request for a model that is not loaded, in
/// ms. A load from the weight store takes about this long.
const MODEL_RETRY_AFTER_MS: u64 = 3_500;

/// The time after which to retry while no gateway holds the lease, so that no
/// engine is ordered to load the model, in ms.
const NO_HOLDER_RETRY_AFTER_MS: u64 = 3_500;

/// The time after which to retry while no upstream is inside the region bound,
/// in ms. An upstream has to start there and to be listed.
const NONE_IN_BOUND_RETRY_AFTER_MS: u64 = 3_500;

/// The time after which to retry a request whose region bound allows no
/// region, in ms. Operators have to change the configuration first.
const EMPTY_BOUND_RETRY_AFTER_MS: u64 = 30_000;

/// The time after which to retry a request that continues a stream of unknown
/// origin, in ms. Gateways that know it may be cut off for a moment.
const UNKNOWN_ORIGIN_RETRY_AFTER_MS: u64 = 1_000;

/// The time after which to retry while no upstream runs the software version
/// of the stream, in ms. An upstream that ended may start again.
const NO_VERSION_RETRY_AFTER_MS: u64 = 3_500;

impl Exchange {
    /// Refuses a request whose region bound allows no region. Called before
    /// the workspace is charged, so that the request costs nothing.
    pub(super) fn refuse_if_unservable(&self) -> Result<(), Refusal> {
        let view = self.app.shared.view.load();
        match current_bound(&view, &self.job).is_empty() {
            true => Err(self.refuse_for_empty_bound()),
            false => Ok(()),
        }
    }

    /// Binds a request that continues a stream to the software version that
    /// began the stream. Refuses the request if the version is unknown: an
    /// upstream of another version would continue a different text.
    pub(super) async fn bind_to_origin(&mut self) -> Result<(), Refusal> {
        if !self.job.continues_stream() {
            return Ok(());
        }
        // A gateway that has just started knows neither the upstreams nor the
        // gateways to ask.
        wait_until_started(&self.app).await;
        let Some(origin) = origins::find(&self.app, &self.job).await else {
            let retry_after = Some(UNKNOWN_ORIGIN_RETRY_AFTER_MS);
            return Err(
                self.give_up(RefusalReason::UnknownOrigin, retry_after)
            );
        };
        match Rc::make_mut(&mut self.job).bind_to(origin) {
            true => Ok(()),
            false => Err(self.refuse_for_version()),
        }
    }

    /// Returns the refusal for a request that continues a stream of a software
    /// version that no upstream runs.
    fn refuse_for_version(&self) -> Refusal {
        let is_certain = self.app.shared.is_software_known(self.app.now());
        let retry_after = Some(match is_certain {
            true => NO_VERSION_RETRY_AFTER_MS,
            false => UNKNOWN_ORIGIN_RETRY_AFTER_MS,
        });
        self.give_up(RefusalReason::NoUpstreamOfVersion, retry_after)
    }

    /// Returns the refusal for a request whose region bound allows no region.
    fn refuse_for_empty_bound(&self) -> Refusal {
        let retry_after = Some(EMPTY_BOUND_RETRY_AFTER_MS);
        self.give_up(RefusalReason::EmptyBound, retry_after)
    }

    /// Chooses an upstream. If none is available or none holds the model,
    /// waits for a fraction of the objective before the request is refused.
    pub(super) async fn choose_or_wait(
        &mut self,
    ) -> Result<(Chosen, Option<SendPermit>), Refusal> {
        let objective = Duration::from_millis(self.job.route.begin_within_ms);
        let wait = Millis::from(objective.mul_f64(MAX_WAIT_FRACTION)).get();
        let waits_until = (self.app.now() + wait).min(self.job.deadline);
        let mut polls: u32 = 0;
        let mut is_loading = false;
        loop {
            // The gateway may begin to stop while the request waits.
            let until = self.app.request_end(waits_until);
            let choosing =
                choose_with_permit(&self.app, &self.job, &self.tried);
            let no_choice = match choosing.await {
                Ok(chosen) => {
                    if is_loading {
                        tokio::time::sleep(ADAPTER_LOAD_TIME).await;
                    }
                    return Ok(chosen);
                }
                Err(no_choice) => no_choice,
            };
            match no_choice {
                NoChoice::WouldBeLate { predicted_ms, retry_after_ms } => {
                    self.record.record_prediction(predicted_ms);
                    let reason = RefusalReason::WouldBeLate;
                    return Err(self.give_up(reason, Some(retry_after_ms)));
                }
                NoChoice::NoneOfVersion if self.is_list_certain(until) => {
                    return Err(self.refuse_for_version());
                }
                NoChoice::EmptyBound => {
                    return Err(self.refuse_for_empty_bound());
                }
                NoChoice::NoneInBound => {
                    let reason = RefusalReason::NoUpstreamInBound;
                    let retry_after = Some(NONE_IN_BOUND_RETRY_AFTER_MS);
                    return Err(self.give_up(reason, retry_after));
                }
                NoChoice::AllCold { retry_after_ms }
                    if self.app.now() + retry_after_ms >= until =>
                {
                    let reason = RefusalReason::UpstreamsCold;
                    return Err(self.give_up(reason, Some(retry_after_ms)));
                }
                NoChoice::AllLimited { retry_after_ms }
                    if self.app.now() + retry_after_ms >= until =>
                {
                    return Err(self.refuse_for_limit(retry_after_ms));
                }
                NoChoice::AllBackingOff { retry_after_ms }
                    if self.app.now() + retry_after_ms >= until =>
                {
                    return Err(self.refuse_for_backoff(retry_after_ms));
                }
                NoChoice::AllBrittle { retry_after_ms }
                    if retry_after_ms
                        .is_some_and(|ms| self.app.now() + ms >= until) =>
                {
                    return Err(self.refuse_for_room(retry_after_ms));
                }
                NoChoice::AllBrittle { retry_after_ms }
                    if self.app.now() >= until =>
                {
                    return Err(self.refuse_for_room(retry_after_ms));
                }
                NoChoice::AllBrittle { .. }
                | NoChoice::AllCold { .. }
                | NoChoice::AllLimited { .. }
                | NoChoice::AllBackingOff { .. }
                | NoChoice::NoneOfVersion => {}
                NoChoice::NoUpstream if self.tried.is_empty() => {}
                NoChoice::NoUpstream => {
                    // The lease holder, which receives the load request,
                    // deals with the upstreams that failed.
                    self.request_load(0);
                    return Err(self.refuse_as_failed(None));
                }
                NoChoice::NotHeld => {
                    is_loading = true;
                    self.request_load(polls);
                }
            }
            if self.app.now() >= until {
                let reason = self.unavailable_reason();
                let retry_after = self.retry_after_ms(no_choice);
                return Err(self.give_up(reason, Some(retry_after)));
            }
            polls += 1;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether no upstream that this gateway has not heard of yet may
    /// run the software version of the stream, or there is no time left to hear
    /// of one.
    fn is_list_certain(&self, until: Millis) -> bool {
        let now = self.app.now();
        self.app.shared.is_software_known(now) || now >= until
    }

    /// Returns the reason to refuse a request that waited without success.
    ///
    /// The reason is the region bound if only upstreams outside the bound hold
    /// the model, so that operators can distinguish this case from a general
    /// lack of upstreams.
    fn unavailable_reason(&self) -> RefusalReason {
        let view = self.app.shared.view.load();
        let is_held = holders(&self.app, &view, &self.job).next().is_some();
        let outside = holders_outside_bound(&self.app, &view, &self.job);
        match !is_held && outside > 0 {
            true => RefusalReason::NoUpstreamInBound,
            false => RefusalReason::NoUpstream,
        }
    }

    /// Returns the time after which an upstream may be available, in ms.
    fn retry_after_ms(&self, no_choice: NoChoice) -> u64 {
        if no_choice != NoChoice::NotHeld {
            return NO_UPSTREAM_RETRY_AFTER_MS;
        }
        let view = self.app.shared.view.load();
        let variant = self.job.request.variant.as_ref();
        let holds_model = variant.is_some_and(|variant| {
            let model = Variant::plain(variant.model.as_str());
            let mut usable = usable(&self.app, &view, &self.job);
            usable.any(|upstream| upstream.holding.can_run(&model))
        });
        match (view.has_holder, holds_model) {
            (false, _) => NO_HOLDER_RETRY_AFTER_MS,
            (true, true) => ADAPTER_RETRY_AFTER_MS,
            (true, false) => MODEL_RETRY_AFTER_MS,
        }
    }

    /// Asks the control thread to have the requested variant loaded. A waiting
    /// request repeats this every [`POLLS_PER_LOAD_REQUEST`] polls.
    fn request_load(&self, polls: u32) {
        if !polls.is_multiple_of(POLLS_PER_LOAD_REQUEST) {
            return;
        }
        let Some(variant) = self.job.bound_variant() else { return };
        let view = self.app.shared.view.load();
        let bound = current_bound(&view, &self.job).into_owned();
        self.app.shared.request_load(&BoundVariant { bound, ..variant });
    }
}
