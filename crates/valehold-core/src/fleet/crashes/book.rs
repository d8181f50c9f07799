//! What one instance knows of crashes.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
};

use xxhash_rust::xxh3::Xxh3;

use super::{
    AnsweredWord, Crash, CrashWord, CrashWords, REFUSED_AFTER, RefusedWord,
    RequestContent, judge,
};
use crate::{id::UpstreamTag, time::Millis};

/// The most requests that are kept over all crashes: 32 KB, so that all of it
/// is told in one datagram.
const MOST_UNDER_WAY: usize = 4_096;

/// The most crashes that are kept: 6 KB in a datagram.
const MOST_CRASHES: usize = 512;

/// The most requests that the store names which are kept: 6 KB in a datagram.
const MOST_REFUSED: usize = 512;

/// For how much longer than it counts something is kept, in ms: for others,
/// who heard of it later, it counts a little longer, and from them it would
/// come back here, and from here to them, for ever.
const ECHOES_FOR_MS: u64 = 60_000;

/// What one instance knows of crashes, and of the requests that were there.
///
/// Everything counts until some moment; of several words of the same the one
/// that ends first holds, since words take time on their way.
#[derive(Debug, Clone)]
pub struct CrashBook {
    keep_ms: u64,
    crashes: BTreeMap<UpstreamTag, Crash>,
    answered: BTreeMap<RequestContent, Millis>,
    /// Those that the store names.
    recorded: BTreeMap<RequestContent, Millis>,
    /// Those of them that the store may not name any more.
    record_lost: BTreeSet<RequestContent>,
    /// What follows from all this: who is refused, and until when.
    refused: BTreeMap<RequestContent, Millis>,
    /// What this instance noted since it was last told.
    news: BTreeSet<News>,
    changes: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum News {
    Crash(UpstreamTag),
    Answered(RequestContent),
}

impl CrashBook {
    /// Makes the book of an instance that knows nothing, and keeps what it
    /// hears for so many ms.
    pub fn new(keep_ms: u64) -> Self {
        Self {
            keep_ms,
            crashes: BTreeMap::new(),
            answered: BTreeMap::new(),
            recorded: BTreeMap::new(),
            record_lost: BTreeSet::new(),
            refused: BTreeMap::new(),
            news: BTreeSet::new(),
            changes: 0,
        }
    }

    /// Tells whether nothing is known, so that no request need be looked up.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.recorded.is_empty()
    }

    /// Counts the changes of who is refused.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns for how much longer a request is refused, in ms; `None` if it
    /// is not.
    pub fn refused_ms(
        &self,
        content: &RequestContent,
        now: Millis,
    ) -> Option<u64> {
        let until = self.refused.get(content)?;
        Some(until.since(now)).filter(|left_ms| *left_ms > 0)
    }

    /// Tells whether a request would be refused if one more upstream crashed
    /// under it.
    pub fn is_close(&self, content: &RequestContent) -> bool {
        let crashes = self.crashes.values();
        let under_it = crashes.filter(|one| one.under_way.contains(content));
        under_it.count() + 1 >= REFUSED_AFTER
    }

    /// Returns who is refused and is not named by the store yet.
    pub fn unrecorded(&self, now: Millis) -> Vec<RefusedWord> {
        let refused = self.refused.iter().filter(|(content, until)| {
            let is_named = self.recorded.contains_key(content)
                && !self.record_lost.contains(content);
            now < **until && !is_named
        });
        let words = refused.map(|(content, until)| RefusedWord {
            content: *content,
            left_ms: until.since(now),
        });
        words.collect()
    }

    /// Returns whom the store names although an upstream answered it.
    pub fn recorded_in_vain(&self) -> Vec<RequestContent> {
        let recorded = self.recorded.keys().copied();
        recorded
            .filter(|content| self.answered.contains_key(content))
            .collect()
    }

    /// Tells whether it is known that an upstream crashed.
    pub fn has_crashed(&self, upstream: UpstreamTag) -> bool {
        self.crashes.contains_key(&upstream)
    }

    /// Notes that an upstream was seen to have crashed, with requests that
    /// were there and had no output.
    pub fn crashed(
        &mut self,
        upstream: UpstreamTag,
        under_way: impl IntoIterator<Item = RequestContent>,
        now: Millis,
    ) {
        if self.add_crash(upstream, now + self.keep_ms, under_way) {
            self.news.insert(News::Crash(upstream));
            self.judge(now);
        }
    }

    /// Notes that an upstream answered a request, or began to.
    pub fn answered(&mut self, content: RequestContent, now: Millis) {
        let mut crashes = self.crashes.values();
        let is_suspect = crashes.any(|one| one.under_way.contains(&content));
        let until = now + self.keep_ms;
        if is_suspect && add(&mut self.answered, content, until) {
            self.news.insert(News::Answered(content));
            self.judge(now);
        }
    }

    /// Notes that the store came back from a copy: it may not name any more
    /// whom it named.
    pub fn record_may_be_lost(&mut self) {
        self.record_lost = self.recorded.keys().copied().collect();
    }

    /// Takes in which requests the store names.
    pub fn recorded(&mut self, refused: Vec<RefusedWord>, now: Millis) {
        for word in &refused {
            self.record_lost.remove(&word.content);
        }
        let words = CrashWords { refused, ..CrashWords::default() };
        self.hear(&words, now);
    }

    /// Takes in what another instance tells.
    pub fn hear(&mut self, words: &CrashWords, now: Millis) {
        let mut is_news = false;
        for word in words.crashes.iter().take(MOST_CRASHES) {
            let until = now + word.left_ms.min(self.keep_ms);
            let under_way = word.under_way.iter().take(MOST_UNDER_WAY);
            let under_way = under_way.copied();
            is_news |= self.add_crash(word.upstream, until, under_way);
        }
        for word in words.answered.iter().take(MOST_UNDER_WAY) {
            let until = now + word.left_ms.min(self.keep_ms);
            is_news |= add(&mut self.answered, word.content, until);
        }
        for word in words.refused.iter().take(MOST_REFUSED) {
            let until = now + word.left_ms.min(self.keep_ms);
            is_news |= add(&mut self.recorded, word.content, until);
        }
        if is_news {
            self.judge(now);
        }
    }

    /// Returns all that counts.
    pub fn words(&self, now: Millis) -> CrashWords {
        let crashes = self.crashes.keys();
        let answered = self.answered.keys();
        CrashWords {
            crashes: crashes
                .filter_map(|one| self.crash_word(*one, now))
                .collect(),
            answered: answered
                .filter_map(|one| self.answered_word(*one, now))
                .collect(),
            refused: self
                .recorded
                .iter()
                .filter(|(_, until)| now < **until)
                .map(|(content, until)| RefusedWord {
                    content: *content,
                    left_ms: until.since(now),
                })
                .collect(),
        }
    }

    /// Takes what this instance noted since it was last told.
    pub fn take_news(&mut self, now: Millis) -> CrashWords {
        let mut words = CrashWords::default();
        for one in std::mem::take(&mut self.news) {
            match one {
                News::Crash(upstream) => {
                    words.crashes.extend(self.crash_word(upstream, now));
                }
                News::Answered(content) => {
                    words.answered.extend(self.answered_word(content, now));
                }
            }
        }
        words
    }

    fn crash_word(
        &self,
        upstream: UpstreamTag,
        now: Millis,
    ) -> Option<CrashWord> {
        let crash = self.crashes.get(&upstream)?;
        (now < crash.until).then(|| CrashWord {
            upstream,
            left_ms: crash.until.since(now),
            under_way: crash.under_way.iter().copied().collect(),
        })
    }

    fn answered_word(
        &self,
        content: RequestContent,
        now: Millis,
    ) -> Option<AnsweredWord> {
        let until = *self.answered.get(&content)?;
        (now < until)
            .then(|| AnsweredWord { content, left_ms: until.since(now) })
    }

    /// Returns a number that is the same for instances that know the same, and
    /// 0 for those that know nothing.
    pub fn digest(&self, now: Millis) -> u64 {
        let words = self.words(now);
        if words.is_empty() {
            return 0;
        }
        let mut hasher = Xxh3::new();
        for word in &words.crashes {
            (word.upstream, &word.under_way).hash(&mut hasher);
        }
        for word in &words.answered {
            word.content.hash(&mut hasher);
        }
        for word in &words.refused {
            word.content.hash(&mut hasher);
        }
        hasher.finish().max(1)
    }

    /// Forgets what is over.
    pub fn sweep(&mut self, now: Millis) {
        let is_kept = |until: Millis| now.since(until) < ECHOES_FOR_MS;
        self.crashes.retain(|_, crash| is_kept(crash.until));
        self.answered.retain(|_, until| is_kept(*until));
        self.recorded.retain(|_, until| is_kept(*until));
        self.record_lost.retain(|one| self.recorded.contains_key(one));
        if self.refused.values().any(|until| now >= *until) {
            self.judge(now);
        }
    }

    /// Adds a crash, or requests to one; tells whether anything was added.
    fn add_crash(
        &mut self,
        upstream: UpstreamTag,
        until: Millis,
        under_way: impl IntoIterator<Item = RequestContent>,
    ) -> bool {
        let is_new = !self.crashes.contains_key(&upstream);
        let crash = self
            .crashes
            .entry(upstream)
            .or_insert_with(|| Crash { until, under_way: BTreeSet::new() });
        crash.until = crash.until.min(until);
        let before = crash.under_way.len();
        crash.under_way.extend(under_way);
        let is_news = is_new || crash.under_way.len() > before;
        if is_news {
            self.make_room();
        }
        is_news
    }

    /// Forgets the oldest crashes where there are too many, those last at
    /// which a request was that is refused.
    fn make_room(&mut self) {
        loop {
            let under_way = self.crashes.values().map(|c| c.under_way.len());
            let is_full = under_way.sum::<usize>() > MOST_UNDER_WAY
                || self.crashes.len() > MOST_CRASHES;
            if !is_full {
                break;
            }
            let is_explained = |crash: &Crash| {
                crash.under_way.iter().any(|c| self.refused.contains_key(c))
            };
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, crash)| (is_explained(crash), crash.until));
            let Some(oldest) = oldest.map(|(tag, _)| *tag) else { break };
            self.crashes.remove(&oldest);
        }
        while self.recorded.len() > MOST_REFUSED {
            let oldest = self.recorded.iter().min_by_key(|(_, until)| **until);
            let Some(oldest) = oldest.map(|(content, _)| *content) else {
                break;
            };
            self.recorded.remove(&oldest);
        }
    }

    /// Works out anew who is refused.
    fn judge(&mut self, now: Millis) {
        let is_answered =
            |content: &RequestContent| self.answered.contains_key(content);
        let crashes = self.crashes.iter().filter(|(_, c)| now < c.until);
        let crashes = crashes.map(|(tag, one)| (*tag, one.clone())).collect();
        let recorded = self.recorded.iter();
        let recorded: BTreeMap<RequestContent, Millis> = recorded
            .filter(|(content, until)| now < **until && !is_answered(content))
            .map(|(content, until)| (*content, *until))
            .collect();
        let mut refused =
            judge(&crashes, recorded.keys().copied(), is_answered);
        refused.extend(recorded);
        if !refused.keys().eq(self.refused.keys()) {
            self.changes += 1;
        }
        self.refused = refused;
    }
}

/// Adds something that counts until a moment; tells whether it is new.
fn add(
    all: &mut BTreeMap<RequestContent, Millis>,
    content: RequestContent,
    until: Millis,
) -> bool {
    let is_new = !all.contains_key(&content);
    let known = all.entry(content).or_insert(until);
    *known = until.min(*known);
    is_new
}
