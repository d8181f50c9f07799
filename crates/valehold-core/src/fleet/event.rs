//! Cutting a stream of events into whole ones, and keeping their order.
//!
//! An answer that streams is a series of events, each ended by an empty
//! line, with rising numbers in a line `id: N`. Only whole events are passed
//! on, so that an upstream that breaks off inside one can be replaced.

use bytes::{Bytes, BytesMut};

/// The most bytes that one event may have.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event without its number, or one that is too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotAnEvent;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its bytes, with the empty line.
    pub bytes: Bytes,
}

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Takes in bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    ///
    /// # Errors
    ///
    /// If what came is too long for an event.
    pub fn next_event(&mut self) -> Result<Option<Event>, NotAnEvent> {
        let Some(length) = self.event_length() else {
            return match self.pending.len() > MAX_EVENT_BYTES {
                true => Err(NotAnEvent),
                false => Ok(None),
            };
        };
        self.searched = 0;
        let bytes = self.pending.split_to(length).freeze();
        Ok(Some(Event { id: event_id(&bytes), bytes }))
    }

    /// Tells whether a part of an event is left over.
    pub fn has_rest(&self) -> bool {
        !self.pending.is_empty()
    }

    fn event_length(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let end = end_of_event(&self.pending[from..]);
        match end {
            Some(end) => Some(from + end),
            None => {
                self.searched = self.pending.len();
                None
            }
        }
    }
}

fn end_of_event(bytes: &[u8]) -> Option<usize> {
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let rest = &bytes[at + 1..];
        if rest.starts_with(b"\n") {
            return Some(at + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(at + 3);
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}

/// What to do with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventPassage {
    /// It is the next one.
    Pass,
    /// It was passed on before.
    Repeated,
    /// One before it is missing.
    Missing,
}

/// Keeps the order of a stream's events over several upstreams.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventOrder {
    last: Option<u64>,
}

impl EventOrder {
    /// Starts after the event that the caller has already, if any.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the number of the last event that was passed on.
    pub fn last(self) -> Option<u64> {
        self.last
    }

    /// Judges an event by its number, and takes it in if it is next.
    ///
    /// The first event of all may have any number; events without one are
    /// passed on.
    pub fn judge(&mut self, id: Option<u64>) -> EventPassage {
        let Some(id) = id else { return EventPassage::Pass };
        match self.last {
            Some(last) if id <= last => return EventPassage::Repeated,
            Some(last) if id > last + 1 => return EventPassage::Missing,
            _ => {}
        }
        self.last = Some(id);
        EventPassage::Pass
    }
}
