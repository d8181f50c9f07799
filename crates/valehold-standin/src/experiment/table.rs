//! Figures of runs, and tables of them.

use std::collections::BTreeMap;

/// The figures of one run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Figures {
    /// Requests answered in time.
    pub in_time: u64,
    /// Requests answered too late.
    pub late: u64,
    /// Requests refused, by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Loads and unloads.
    pub moves: u64,
    /// The length of the run, in seconds.
    pub length_s: f64,
    /// The accelerators.
    pub accelerators: u32,
    /// Whether an engine's memory was ever overcommitted.
    pub overcommitted: bool,
    first_ms: Vec<u64>,
}

impl Figures {
    pub(super) fn answered(&mut self, first_ms: u64, in_time: bool) {
        self.first_ms.push(first_ms);
        match in_time {
            true => self.in_time += 1,
            false => self.late += 1,
        }
    }

    pub(super) fn refused(&mut self, reason: &'static str) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    /// Returns how many requests there were.
    pub fn requests(&self) -> u64 {
        self.in_time + self.late + self.refusals.values().sum::<u64>()
    }

    /// Returns the share of requests that were answered in time.
    #[allow(clippy::cast_precision_loss)]
    pub fn attainment(&self) -> f64 {
        self.in_time as f64 / self.requests().max(1) as f64
    }

    /// Returns requests answered in time a second for each accelerator.
    #[allow(clippy::cast_precision_loss)]
    pub fn per_accelerator(&self) -> f64 {
        let seconds = self.length_s * f64::from(self.accelerators.max(1));
        self.in_time as f64 / seconds.max(f64::MIN_POSITIVE)
    }

    /// Returns the time to the first token that `part` of the answers kept.
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn first_token_ms(&self, part: f64) -> u64 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * part) as usize;
        let last = sorted.len().saturating_sub(1);
        sorted.get(index.min(last)).copied().unwrap_or(0)
    }
}

/// The figures of a policy in a scenario, over several seeds.
#[derive(Debug, Clone)]
pub struct Summary {
    /// The scenario's name.
    pub scenario: &'static str,
    /// The policy's name.
    pub policy: String,
    /// The figures, one for each seed.
    pub runs: Vec<Figures>,
}

impl Summary {
    /// Returns the mean of a figure and half of its spread.
    #[allow(clippy::cast_precision_loss)]
    pub fn mean(&self, figure: impl Fn(&Figures) -> f64) -> (f64, f64) {
        let values: Vec<f64> = self.runs.iter().map(figure).collect();
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        let most = values.iter().copied().fold(f64::MIN, f64::max);
        let least = values.iter().copied().fold(f64::MAX, f64::min);
        (mean, (most - least) / 2.0)
    }

    fn row(&self) -> String {
        let (in_time, spread) = self.mean(|f| f.attainment() * 100.0);
        let (each, each_spread) = self.mean(Figures::per_accelerator);
        #[allow(clippy::cast_precision_loss)]
        let whole =
            |figure: fn(&Figures) -> u64| self.mean(|f| figure(f) as f64).0;
        let reason = |name: &'static str| {
            #[allow(clippy::cast_precision_loss)]
            let (mean, _) = self
                .mean(|f| f.refusals.get(name).copied().unwrap_or(0) as f64);
            mean
        };
        format!(
            "| {} | {} | {in_time:.1} ± {spread:.1} | {each:.2} ± \
             {each_spread:.2} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |\n",
            self.scenario,
            self.policy,
            whole(|f| f.moves),
            reason("would_be_late"),
            reason("no_upstream"),
            whole(|f| f.first_token_ms(0.5)),
            whole(|f| f.first_token_ms(0.95)),
        )
    }
}

/// Makes a table of summaries.
pub fn table(summaries: &[Summary]) -> String {
    let mut out = String::from(
        "| scenario | policy | in time, % | in time /s /accelerator | moves \
         | refused: late | refused: none holds it | first token p50, ms | \
         p95, ms |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- \
         |\n",
    );
    for summary in summaries {
        out.push_str(&summary.row());
    }
    out
}
