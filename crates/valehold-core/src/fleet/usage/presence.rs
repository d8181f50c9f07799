//! Which part of a limit the gateways that hear one another may use.
//!
//! A gateway that falls silent may be gone, or only cut off and still serving
//! callers. So those that hear one another use the part that they are of all
//! that were there lately: parts of groups that cannot hear each other sum to
//! one at the most.

use std::collections::BTreeMap;

use crate::time::Millis;

/// After how long a gateway that most others do not hear is taken for gone,
/// in ms.
const FORGOTTEN_AFTER_MS: u64 = 60_000;

/// For how long gateways that hear no more than half of all use a part, in ms.
/// They stop well before the others take them for gone.
const FEW_USE_FOR_MS: u64 = 45_000;

/// One of how many of all have to be present for one to rule for all.
const FEWEST_RULED_PART: usize = 8;

/// Who is there, and who was lately. Gateways are told apart by `K`.
#[derive(Debug, Clone)]
pub struct Presence<K> {
    /// Who was there lately, and when last.
    seen: BTreeMap<K, Millis>,
    present: usize,
    /// How many others say that there were lately.
    told: usize,
    /// Since when no more than half are present.
    few_since: Option<Millis>,
}

impl<K: Ord> Presence<K> {
    /// Makes the presence of a gateway that has heard of nobody, among at
    /// least so many.
    pub fn new(among: usize) -> Self {
        Self {
            seen: BTreeMap::new(),
            present: 1,
            told: among,
            few_since: None,
        }
    }

    /// Takes in who is there now, this gateway among them, and how many the
    /// others say that there were lately.
    ///
    /// Those that said that they leave are not among them.
    pub fn update(
        &mut self,
        present: impl IntoIterator<Item = K>,
        left: impl IntoIterator<Item = K>,
        told: usize,
        now: Millis,
    ) {
        self.present = 0;
        for gateway in present {
            self.seen.insert(gateway, now);
            self.present += 1;
        }
        for gateway in left {
            self.seen.remove(&gateway);
        }
        self.told = told;
        let is_few = self.among() > 1 && self.present * 2 <= self.among();
        self.few_since = is_few.then(|| self.few_since.unwrap_or(now));
        if !is_few {
            let young = |at: Millis| now.since(at) < FORGOTTEN_AFTER_MS;
            self.seen.retain(|_, at| young(*at));
        }
    }

    /// Tells whether more than half of those that were there lately are.
    pub fn are_most(&self) -> bool {
        self.few_since.is_none()
    }

    /// Returns how many gateways are there now.
    pub fn present(&self) -> usize {
        self.present
    }

    /// Returns how many gateways this one knows to have been there lately,
    /// for others to hear.
    pub fn seen(&self) -> usize {
        self.seen.len()
    }

    /// Returns among how many gateways limits are divided.
    pub fn among(&self) -> usize {
        self.seen.len().max(self.told).max(1)
    }

    /// Tells whether so many are present that one of them rules for all.
    ///
    /// Where they are few, their part of a limit may be less than a single
    /// request counts as. A ruling would then refuse all for long after one;
    /// each goes by its own part instead, which lets a request through by
    /// chance.
    pub fn may_rule(&self) -> bool {
        self.present * FEWEST_RULED_PART >= self.among()
    }

    /// Returns the part of each limit that those that are present may use.
    pub fn part(&self, now: Millis) -> f64 {
        self.part_of(self.present, now)
    }

    /// Returns the part that this gateway may use by itself.
    pub fn own_part(&self, now: Millis) -> f64 {
        self.part_of(1, now)
    }

    #[allow(clippy::cast_precision_loss)]
    fn part_of(&self, gateways: usize, now: Millis) -> f64 {
        let is_over = |since| now.since(since) >= FEW_USE_FOR_MS;
        match self.few_since {
            Some(since) if is_over(since) => 0.0,
            _ => (gateways as f64 / self.among() as f64).min(1.0),
        }
    }
}
