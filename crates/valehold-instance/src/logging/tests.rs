//! Logging never waits, and tells what it dropped.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use googletest::prelude::*;

use super::queue::{Class, LineQueue};

/// How long a test waits for lines to be written.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Reader {
    text: Mutex<String>,
    stopped: Mutex<bool>,
    goes_on: Condvar,
}

impl Reader {
    fn stop(&self, stops: bool) {
        *self.stopped.lock().unwrap() = stops;
        self.goes_on.notify_all();
    }

    fn text(&self) -> String {
        self.text.lock().unwrap().clone()
    }
}

/// A pipe to a reader that may stop reading.
struct Pipe(Arc<Reader>);

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut stopped = self.0.stopped.lock().unwrap();
        while *stopped {
            stopped = self.0.goes_on.wait(stopped).unwrap();
        }
        let text = std::str::from_utf8(bytes).expect("a text");
        self.0.text.lock().unwrap().push_str(text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn queue(most: usize) -> (LineQueue, Arc<Reader>) {
    let reader = Arc::new(Reader::default());
    let out = Box::new(Pipe(reader.clone()));
    (LineQueue::start(out, most).expect("it starts"), reader)
}

#[gtest]
fn lines_are_written_in_order() {
    let (queue, reader) = queue(16);
    let lines = queue.lines();
    for number in 0..5 {
        lines.push(Class::Detail, format!("line {number}"));
    }
    queue.flush(PATIENCE);
    expect_that!(
        reader.text(),
        eq("line 0\nline 1\nline 2\nline 3\nline 4\n")
    );
}

#[gtest]
fn a_reader_that_stops_stalls_nothing_and_failures_are_dropped_last() {
    let (queue, reader) = queue(16);
    let lines = queue.lines();
    reader.stop(true);
    lines.push(Class::Change, "the one being written".to_owned());
    // The writer takes it, and waits for its reader.
    std::thread::sleep(Duration::from_millis(100));
    let began = Instant::now();
    for number in 0..1_000 {
        lines.push(Class::Detail, format!("detail {number}"));
        lines.push(Class::Change, format!("change {number}"));
    }
    for number in 0..4 {
        lines.push(Class::Failure, format!("failure {number}"));
    }
    expect_that!(began.elapsed(), lt(Duration::from_secs(1)));
    queue.flush(Duration::from_millis(20));
    reader.stop(false);
    queue.flush(PATIENCE);
    let text = reader.text();
    for number in 0..4 {
        expect_that!(text, contains_substring(format!("failure {number}\n")));
    }
    expect_that!(text.matches("detail ").count(), le(8));
    let summary = text.lines().last().expect("a line");
    let summary: serde_json::Value = serde_json::from_str(summary).unwrap();
    expect_that!(summary["event"].as_str(), some(eq("log_lines_dropped")));
    let count = |name: &str| summary[name].as_u64().unwrap_or(0);
    let dropped = count("details") + count("changes");
    let written = text.matches("detail ").count() as u64
        + text.matches("change ").count() as u64;
    expect_that!(dropped + written, eq(2_000));
    expect_that!(count("failures"), eq(0));
}
