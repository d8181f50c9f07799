//! Upstreams in need, which name how many requests a second they take.
//!
//! An upstream that is short of something names in its answers how many
//! requests it takes from all instances together, for as long as it says so.
//! Each instance keeps what it heard by upstream; words about one upstream are
//! numbered, so that all instances come to believe the same, in whatever order
//! they hear them.

use std::{cmp::Reverse, collections::BTreeMap};

use serde::{Deserialize, Serialize};

use super::identity::UpstreamStart;
use crate::time::Millis;

/// For how long after an upstream named its limit here another instance's word
/// that it is over is not believed, in ms: the word may be from before, and
/// nothing is on its way for longer.
const OBJECT_MS: u64 = 1_000;

/// The least rate that is kept to, in requests a second: an upstream that
/// takes nothing at all could never say that its need is over.
const LEAST_RATE: f64 = 0.05;

/// How many requests a second an upstream takes, from all instances together.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RequestRate {
    thousandths: u32,
}

impl RequestRate {
    /// Makes it of requests a second; `None` of what is no rate.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn of(requests_per_second: f64) -> Option<Self> {
        let is_rate =
            requests_per_second.is_finite() && requests_per_second >= 0.0;
        let thousandths = (requests_per_second * 1_000.0) as u32;
        is_rate.then_some(Self { thousandths })
    }

    /// Returns the requests a second that are to be kept to.
    pub fn per_second(self) -> f64 {
        (f64::from(self.thousandths) / 1_000.0).max(LEAST_RATE)
    }
}

/// What an answer says of the limit of the upstream that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatedLimit {
    /// Nothing: it takes what comes.
    No,
    /// Something that cannot be read, which changes nothing.
    Unreadable,
    /// The limit.
    Of(RequestRate),
}

impl StatedLimit {
    /// Puts together what several headers of an answer say, of which `None`
    /// cannot be read: the least limit counts.
    pub fn least(stated: impl Iterator<Item = Option<RequestRate>>) -> Self {
        stated.fold(Self::No, |least, rate| match (rate, least) {
            (Some(rate), Self::Of(known)) => Self::Of(known.min(rate)),
            (Some(rate), _) => Self::Of(rate),
            (None, Self::No) => Self::Unreadable,
            (None, known) => known,
        })
    }
}

/// What an instance knows of the limit of one start of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitWord {
    /// The start.
    pub start: UpstreamStart,
    /// Words with greater numbers are later.
    pub number: u64,
    /// The limit; `None` if it is over.
    pub limit: Option<RequestRate>,
}

impl LimitWord {
    /// Returns what orders words about one start. Of two that nobody can
    /// order the one that asks for less load counts.
    fn rank(&self) -> (u64, Option<Reverse<RequestRate>>) {
        (self.number, self.limit.map(Reverse))
    }
}

/// What came of another instance's word.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeardLimit {
    /// It says nothing new.
    Known,
    /// It is believed from now on.
    Believed,
    /// The upstream has just said otherwise here: the others are to hear this.
    Contradicted(LimitWord),
}

#[derive(Debug, Clone)]
struct Known {
    word: LimitWord,
    /// When an answer or a word last confirmed it.
    confirmed: Millis,
    /// When an answer to this instance last named the limit.
    named: Option<Millis>,
}

/// The limits of upstreams, as far as one instance knows.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLimits {
    known: BTreeMap<UpstreamStart, Known>,
}

impl UpstreamLimits {
    /// Takes in what an answer says to a request that was `sent` then; returns
    /// the word if it is new.
    ///
    /// That a limit is over is believed of an answer to a request that was
    /// sent after the limit was last heard of: others may be from before.
    pub fn answered(
        &mut self,
        start: &UpstreamStart,
        sent: Millis,
        stated: StatedLimit,
        now: Millis,
    ) -> Option<LimitWord> {
        let known = self.known.get_mut(start);
        let limit = match (stated, known.as_ref()) {
            (StatedLimit::Of(rate), _) => Some(rate),
            (StatedLimit::No, Some(known)) if sent > known.confirmed => None,
            (StatedLimit::No | StatedLimit::Unreadable, _) => return None,
        };
        let named = limit.map(|_| now);
        if let Some(known) = known
            && known.word.limit == limit
        {
            known.confirmed = now;
            known.named = named.or(known.named);
            return None;
        }
        let number = self.number(start).saturating_add(1);
        let word = LimitWord { start: start.clone(), number, limit };
        let known = Known { word: word.clone(), confirmed: now, named };
        self.known.insert(start.clone(), known);
        Some(word)
    }

    /// Takes in another instance's word.
    pub fn hear(&mut self, word: &LimitWord, now: Millis) -> HeardLimit {
        if let Some(known) = self.known.get_mut(&word.start) {
            if word.rank() <= known.word.rank() {
                return HeardLimit::Known;
            }
            let has_just_named =
                known.named.is_some_and(|at| now.since(at) < OBJECT_MS);
            if word.limit.is_none() && has_just_named {
                known.word.number = word.number.saturating_add(1);
                return HeardLimit::Contradicted(known.word.clone());
            }
        }
        let word = word.clone();
        let start = word.start.clone();
        let known = Known { word, confirmed: now, named: None };
        self.known.insert(start, known);
        HeardLimit::Believed
    }

    /// Returns the limit of a start, if it has one.
    pub fn rate(&self, start: &UpstreamStart) -> Option<RequestRate> {
        self.known.get(start)?.word.limit
    }

    /// Returns what is known of a start.
    pub fn word(&self, start: &UpstreamStart) -> Option<&LimitWord> {
        self.known.get(start).map(|known| &known.word)
    }

    /// Returns all that is known.
    pub fn words(&self) -> impl Iterator<Item = &LimitWord> {
        self.known.values().map(|known| &known.word)
    }

    /// Tells whether nothing was ever heard.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets starts that are not `known`.
    pub fn sweep(&mut self, known: impl Fn(&UpstreamStart) -> bool) {
        self.known.retain(|start, _| known(start));
    }

    fn number(&self, start: &UpstreamStart) -> u64 {
        self.word(start).map_or(0, |word| word.number)
    }
}
