//! Finding the upstream for a send, and waiting for it a little.

use std::time::Duration;

use valehold_core::{
    Millis,
    fleet::{BoundVariant, Variant, cold::SendPermit},
    reason::RefusalReason,
};

use super::{
    super::{
        choose::{
            Chosen, NoChoice, able_elsewhere, bound_now, choose_with_right,
            holders, usable,
        },
        refusal::Refusal,
    },
    Exchange,
    giving_up::NO_UPSTREAM_COME_BACK_MS,
};

/// How often a request that waits for an adapter looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(8);

/// After how many looks the wish is repeated.
const WISH_EVERY: u32 = 12;

/// How long an engine takes from an order about an adapter to having it.
const ADAPTER_SETTLES: Duration = Duration::from_millis(30);

/// The part of its objective that a request may wait for its model.
const WAIT_PART: f64 = 0.22;

/// In how many ms to come back for an adapter that is not loaded.
const ADAPTER_COME_BACK_MS: u64 = 800;

/// In how many ms to come back for a model that is not loaded: a load from
/// the weight store takes about so long.
const MODEL_COME_BACK_MS: u64 = 3_500;

/// In how many ms to come back while nobody may give orders.
const NO_HOLDER_COME_BACK_MS: u64 = 3_500;

/// In how many ms to come back to a bound without upstreams: one has to start
/// there and to be listed.
const NONE_IN_BOUND_COME_BACK_MS: u64 = 3_500;

/// In how many ms to come back where no region is allowed: operators have to
/// change the configuration.
const EMPTY_BOUND_COME_BACK_MS: u64 = 30_000;

impl Exchange {
    /// Refuses a request that no region may serve before its workspace is
    /// charged for it.
    pub(super) fn refuse_if_unservable(&self) -> Result<(), Refusal> {
        let view = self.app.shared.view.load();
        match bound_now(&view, &self.job).is_empty() {
            true => Err(self.refuse_for_empty_bound()),
            false => Ok(()),
        }
    }

    fn refuse_for_empty_bound(&self) -> Refusal {
        let come_back = Some(EMPTY_BOUND_COME_BACK_MS);
        self.give_up(RefusalReason::EmptyBound, come_back)
    }

    /// Chooses an upstream; waits a little for a model that is not held.
    pub(super) async fn choose_or_wait(
        &mut self,
    ) -> Result<(Chosen, Option<SendPermit>), Refusal> {
        let objective = Duration::from_millis(self.job.route.begin_within_ms);
        let wait = Millis::from(objective.mul_f64(WAIT_PART)).get();
        let until = (self.app.now() + wait).min(self.job.deadline);
        let mut looks: u32 = 0;
        loop {
            let choosing =
                choose_with_right(&self.app, &self.job, &self.tried);
            let no_choice = match choosing.await {
                Ok(chosen) => {
                    if looks > 0 {
                        tokio::time::sleep(ADAPTER_SETTLES).await;
                    }
                    return Ok(chosen);
                }
                Err(no_choice) => no_choice,
            };
            match no_choice {
                NoChoice::WouldBeLate { predicted_ms, come_back_ms } => {
                    self.record.predicted(predicted_ms);
                    let reason = RefusalReason::WouldBeLate;
                    return Err(self.give_up(reason, Some(come_back_ms)));
                }
                NoChoice::EmptyBound => {
                    return Err(self.refuse_for_empty_bound());
                }
                NoChoice::NoneInBound => {
                    let reason = RefusalReason::NoUpstreamInBound;
                    let come_back = Some(NONE_IN_BOUND_COME_BACK_MS);
                    return Err(self.give_up(reason, come_back));
                }
                NoChoice::AllCold { next_ms }
                    if self.app.now() + next_ms >= until =>
                {
                    let reason = RefusalReason::UpstreamsCold;
                    return Err(self.give_up(reason, Some(next_ms)));
                }
                NoChoice::AllLimited { next_ms }
                    if self.app.now() + next_ms >= until =>
                {
                    return Err(self.refuse_for_limit(next_ms));
                }
                NoChoice::AllResting { next_ms }
                    if self.app.now() + next_ms >= until =>
                {
                    return Err(self.refuse_for_rest(next_ms));
                }
                NoChoice::AllCold { .. }
                | NoChoice::AllLimited { .. }
                | NoChoice::AllResting { .. } => {}
                NoChoice::NoUpstream if self.tried.is_empty() => {}
                NoChoice::NoUpstream => {
                    // The holder of the lease looks after those that failed.
                    self.wish(0);
                    return Err(self.refuse_as_failed(None));
                }
                NoChoice::NotHeld => self.wish(looks),
            }
            if self.app.now() >= until {
                let reason = self.lack();
                let come_back = self.come_back_ms(no_choice);
                return Err(self.give_up(reason, Some(come_back)));
            }
            looks += 1;
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }

    /// Returns what keeps a request waiting in vain: its bound where others
    /// outside could take it, so that operators can tell that from a lack of
    /// upstreams altogether.
    fn lack(&self) -> RefusalReason {
        let view = self.app.shared.view.load();
        let is_held = holders(&self.app, &view, &self.job).next().is_some();
        let elsewhere = able_elsewhere(&self.app, &view, &self.job);
        match !is_held && elsewhere > 0 {
            true => RefusalReason::NoUpstreamInBound,
            false => RefusalReason::NoUpstream,
        }
    }

    /// Returns in how many ms what is missing may be there.
    fn come_back_ms(&self, no_choice: NoChoice) -> u64 {
        if no_choice != NoChoice::NotHeld {
            return NO_UPSTREAM_COME_BACK_MS;
        }
        let view = self.app.shared.view.load();
        let variant = self.job.request.variant.as_ref();
        let holds_model = variant.is_some_and(|variant| {
            let model = Variant::plain(variant.model.as_str());
            let mut usable = usable(&self.app, &view, &self.job);
            usable.any(|upstream| upstream.holding.can_run(&model))
        });
        match (view.has_holder, holds_model) {
            (false, _) => NO_HOLDER_COME_BACK_MS,
            (true, true) => ADAPTER_COME_BACK_MS,
            (true, false) => MODEL_COME_BACK_MS,
        }
    }

    fn wish(&self, looks: u32) {
        if !looks.is_multiple_of(WISH_EVERY) {
            return;
        }
        let Some(asked) = self.job.asked() else { return };
        let view = self.app.shared.view.load();
        let bound = bound_now(&view, &self.job).into_owned();
        self.app.shared.wish(&BoundVariant { bound, ..asked });
    }
}
