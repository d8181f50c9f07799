//! Datagrams that wait for room in the socket.
//!
//! A hub tells its whole group at once, which is more than a socket and a slow
//! link take in one moment. What finds no room waits here and goes out as
//! room comes, in the order in which it was said; what is told only once goes
//! before what is told again and again. What would wait for longer than a
//! second of the link is dropped: by then it is old.

use std::{collections::VecDeque, net::SocketAddr};

use bytes::Bytes;

/// For how long of its link a gateway lets datagrams wait, in ms.
const WAIT_MS: f64 = 1_000.0;

/// How many bytes wait at the most, however fast the link is.
const MOST_BYTES: usize = 16 * 1024 * 1024;

/// How urgent a datagram is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// It is told once, or asked for.
    Once,
    /// It is told again and again.
    Regular,
}

/// A datagram for one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The gateway.
    pub to: SocketAddr,
    /// What it is sent.
    pub bytes: Bytes,
    /// Under which its bytes are counted.
    pub label: &'static str,
}

/// What became of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// The socket took it.
    Taken,
    /// The socket has no room for now.
    NoRoom,
    /// It cannot be sent.
    Failed,
}

/// Datagrams that wait for room in the socket.
#[derive(Debug)]
pub struct Outbox {
    once: VecDeque<Datagram>,
    regular: VecDeque<Datagram>,
    bytes: usize,
    most_bytes: usize,
}

impl Outbox {
    /// Makes an empty one before a link.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn new(link_mbps: f64) -> Self {
        let bytes_each_ms = link_mbps * 1_000.0 / 8.0;
        let most_bytes = (bytes_each_ms * WAIT_MS) as usize;
        Self {
            once: VecDeque::new(),
            regular: VecDeque::new(),
            bytes: 0,
            most_bytes: most_bytes.min(MOST_BYTES),
        }
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.once.is_empty() && self.regular.is_empty()
    }

    /// Returns how many bytes wait.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sends a datagram, or lets it wait; tells whether it was sent or waits.
    pub fn send(
        &mut self,
        datagram: Datagram,
        urgency: Urgency,
        mut send: impl FnMut(&Datagram) -> Sent,
    ) -> bool {
        let is_next = match urgency {
            Urgency::Once => self.once.is_empty(),
            Urgency::Regular => self.is_empty(),
        };
        let sent = if is_next { send(&datagram) } else { Sent::NoRoom };
        match sent {
            Sent::Taken => true,
            Sent::Failed => false,
            Sent::NoRoom => self.push(datagram, urgency),
        }
    }

    fn push(&mut self, datagram: Datagram, urgency: Urgency) -> bool {
        let bytes = self.bytes + datagram.bytes.len();
        if bytes > self.most_bytes {
            return false;
        }
        self.bytes = bytes;
        match urgency {
            Urgency::Once => self.once.push_back(datagram),
            Urgency::Regular => self.regular.push_back(datagram),
        }
        true
    }

    /// Sends what waits until there is no room.
    pub fn flush(&mut self, mut send: impl FnMut(&Datagram) -> Sent) {
        for queue in [&mut self.once, &mut self.regular] {
            while let Some(next) = queue.front() {
                if send(next) == Sent::NoRoom {
                    return;
                }
                self.bytes -= next.bytes.len();
                queue.pop_front();
            }
        }
    }
}
