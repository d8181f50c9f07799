//! Lines on their way to be written.
//!
//! Whoever logs never waits for the reader of the log: lines go into a
//! bounded queue, and a thread writes them. While the queue fills, lines are
//! dropped by class, details first and failures last. When there is room
//! again, one line says how many of each class were dropped.

use std::{
    collections::VecDeque,
    io::Write,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

/// How long the writer gathers lines before it writes them together: each
/// write costs a system call, and each wait a wake-up.
const GATHER: Duration = Duration::from_millis(40);

/// How many bytes are written at once at the most, unless one line is longer:
/// a pipe takes so many whole or not at all (`PIPE_BUF` of POSIX on Linux).
const MOST_AT_ONCE: usize = 4_096;

/// How often the end of a process looks whether all is written.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// Which lines are dropped first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// What went as it should; dropped first.
    Detail,
    /// What changed what the process believes.
    Change,
    /// A request that failed, or an error; dropped last.
    Failure,
}

impl Class {
    /// Returns the class of lines of a level.
    pub const fn of(level: log::Level) -> Self {
        match level {
            log::Level::Error | log::Level::Warn => Self::Failure,
            log::Level::Info => Self::Change,
            log::Level::Debug | log::Level::Trace => Self::Detail,
        }
    }

    /// Returns how many lines may wait when one of this class is taken.
    const fn room(self, most: usize) -> usize {
        match self {
            Self::Detail => most / 2,
            Self::Change => most / 4 * 3,
            Self::Failure => most,
        }
    }
}

/// How many lines of each class were dropped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Dropped {
    details: u64,
    changes: u64,
    failures: u64,
}

impl Dropped {
    fn count(&mut self, class: Class) {
        match class {
            Class::Detail => self.details += 1,
            Class::Change => self.changes += 1,
            Class::Failure => self.failures += 1,
        }
    }

    fn line(self) -> String {
        json!({
            "event": "log_lines_dropped",
            "details": self.details,
            "changes": self.changes,
            "failures": self.failures,
        })
        .to_string()
    }
}

#[derive(Debug, Default)]
struct Waiting {
    lines: VecDeque<String>,
    dropped: Dropped,
    is_writing: bool,
}

#[derive(Debug)]
struct Inner {
    waiting: Mutex<Waiting>,
    came: Condvar,
    most: usize,
}

impl Inner {
    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        // Lines and counts: any state that a panic left is a valid one.
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for lines, and takes all of them.
    fn take(&self) -> VecDeque<String> {
        let mut waiting = self.waiting();
        waiting.is_writing = false;
        while waiting.lines.is_empty() {
            waiting = self
                .came
                .wait(waiting)
                .unwrap_or_else(PoisonError::into_inner);
        }
        waiting.is_writing = true;
        let dropped = std::mem::take(&mut waiting.dropped);
        let mut lines = std::mem::take(&mut waiting.lines);
        drop(waiting);
        if dropped != Dropped::default() {
            lines.push_back(dropped.line());
        }
        lines
    }
}

/// Where lines are put.
#[derive(Debug, Clone)]
pub struct Lines {
    inner: Arc<Inner>,
}

impl Lines {
    /// Puts a line into the queue, or drops it if its class has no room.
    pub fn push(&self, class: Class, line: String) {
        let mut waiting = self.inner.waiting();
        if waiting.lines.len() >= class.room(self.inner.most) {
            waiting.dropped.count(class);
            return;
        }
        waiting.lines.push_back(line);
        let is_first = waiting.lines.len() == 1;
        drop(waiting);
        if is_first {
            self.inner.came.notify_one();
        }
    }
}

/// A bounded queue of lines and the thread that writes them.
#[derive(Debug)]
pub struct LineQueue {
    inner: Arc<Inner>,
}

impl LineQueue {
    /// Starts the thread that writes to `out`; `most` lines may wait.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
    pub fn start(
        out: Box<dyn Write + Send>,
        most: usize,
    ) -> std::io::Result<Self> {
        let inner = Arc::new(Inner {
            waiting: Mutex::default(),
            came: Condvar::new(),
            most,
        });
        let writing = inner.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&writing, out))?;
        Ok(Self { inner })
    }

    /// Returns where lines are put.
    pub fn lines(&self) -> Lines {
        Lines { inner: self.inner.clone() }
    }

    /// Waits until all lines are written, for so long at the most.
    pub fn flush(&self, most: Duration) {
        let end = Instant::now() + most;
        while Instant::now() < end {
            let waiting = self.inner.waiting();
            if waiting.lines.is_empty() && !waiting.is_writing {
                return;
            }
            drop(waiting);
            thread::sleep(LOOK_EVERY);
        }
    }
}

/// Puts lines together into texts of whole lines that are written at once.
fn together(lines: VecDeque<String>) -> Vec<String> {
    let mut texts: Vec<String> = Vec::new();
    for line in lines {
        match texts.last_mut() {
            Some(text) if text.len() + line.len() < MOST_AT_ONCE => {
                text.push_str(&line);
                text.push('\n');
            }
            _ => texts.push(line + "\n"),
        }
    }
    texts
}

/// Writes lines until the process ends. A log that cannot be written is
/// nothing that could be told to anyone: its lines are lost.
fn write_all(inner: &Inner, mut out: Box<dyn Write + Send>) {
    loop {
        for text in together(inner.take()) {
            let written = out.write_all(text.as_bytes());
            if written.and_then(|()| out.flush()).is_err() {
                inner.waiting().dropped.failures += 1;
            }
        }
        thread::sleep(GATHER);
    }
}
