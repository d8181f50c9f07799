//! Splits a streamed answer into whole events, and checks the order of the
//! events.
//!
//! A streamed answer is a series of events. Each event ends with an empty line
//! and has a number in a line `id: N`; the numbers rise by one. Only whole
//! events are passed on to the caller, so that another upstream can continue
//! the stream if one breaks off inside an event.

use bytes::{Bytes, BytesMut};

/// The maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why the events of a stream do not go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamFault {
    /// An event exceeds the maximum size.
    #[error("an event exceeds the maximum size")]
    EventTooLong,
    /// At least one event is missing.
    #[error("an event is missing")]
    Gap,
    /// An event has no valid number.
    #[error("an event has no number")]
    Unnumbered,
}

/// Whole events to pass on, and what follows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NextEvents {
    /// The bytes of the events, in order. They count as passed on.
    pub bytes: Bytes,
    /// The fault that follows the events, if any. Nothing of the upstream's
    /// stream is passed on after it.
    pub fault: Option<StreamFault>,
}

/// A whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The number of the event, or `None` if the event has no valid number.
    pub id: Option<u64>,
    /// The bytes of the event, including the empty line at the end.
    pub bytes: Bytes,
}

/// Buffers received bytes and splits them into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes the whole events from the buffer, and returns those that follow
    /// the last event that was passed on. Exactly the events that are returned
    /// are recorded in `order`, also if a fault follows them.
    pub fn next_events(&mut self, order: &mut EventOrder) -> NextEvents {
        let mut bytes = BytesMut::new();
        let fault = loop {
            let event = match self.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break None,
                Err(fault) => break Some(fault),
            };
            match order.advance(event.id) {
                EventPosition::Next => bytes.extend_from_slice(&event.bytes),
                EventPosition::Duplicate => {}
                EventPosition::Gap => break Some(StreamFault::Gap),
                EventPosition::Unknown => {
                    break Some(StreamFault::Unnumbered);
                }
            }
        };
        NextEvents { bytes: bytes.freeze(), fault }
    }

    /// Removes and returns the next whole event, or `None` if the buffer
    /// contains no whole event.
    ///
    /// # Errors
    ///
    /// If the buffer exceeds the maximum size of an event and contains no
    /// whole event.
    pub fn next_event(&mut self) -> Result<Option<Event>, StreamFault> {
        let Some(length) = self.event_length() else {
            return match self.pending.len() > MAX_EVENT_BYTES {
                true => Err(StreamFault::EventTooLong),
                false => Ok(None),
            };
        };
        self.searched = 0;
        let bytes = self.pending.split_to(length).freeze();
        Ok(Some(Event { id: event_id(&bytes), bytes }))
    }

    /// Reports whether the buffer contains bytes that were not returned.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the number of bytes in the buffer.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
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

/// The position of an event relative to the last event that was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventPosition {
    /// The event is the next one.
    Next,
    /// The event was passed on before.
    Duplicate,
    /// At least one event before this event is missing.
    Gap,
    /// The event has no number.
    Unknown,
}

/// Tracks the order of a stream's events across several upstreams.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventOrder {
    last: Option<u64>,
}

impl EventOrder {
    /// Creates the order of a stream that continues after event `last`, or
    /// that starts at the beginning if the caller has no event yet.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the number of the last event that was passed on, or `None` if
    /// there is none.
    pub fn last(self) -> Option<u64> {
        self.last
    }

    /// Returns the position of an event by its number, and records the event
    /// as passed on if it is the next one.
    ///
    /// The first event may have any number.
    pub fn advance(&mut self, id: Option<u64>) -> EventPosition {
        let Some(id) = id else { return EventPosition::Unknown };
        match self.last {
            Some(last) if id <= last => return EventPosition::Duplicate,
            Some(last) if id > last + 1 => return EventPosition::Gap,
            _ => {}
        }
        self.last = Some(id);
        EventPosition::Next
    }
}
