//! The queue of datagrams that do not fit into the socket's buffer.
//!
//! A hub sends to its whole group at once, which is more than the socket's
//! buffer and a slow link take in one moment. The remaining datagrams are
//! queued and sent in order as the socket becomes writable. Datagrams that are
//! sent only once have precedence over periodic ones. A datagram that would
//! wait for more than a second of the link's bandwidth is dropped, since its
//! content would be stale on arrival.

use std::{collections::VecDeque, net::SocketAddr};

use bytes::Bytes;

/// The size of the queue, as the time that the link takes to send it, in ms.
const MAX_WAIT_MS: f64 = 1_000.0;

/// The most bytes in the queue, however fast the link is.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// The urgency with which a datagram is queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// The datagram is not repeated, or it is a reply.
    Once,
    /// The datagram is periodic, so the next one makes up for a loss.
    Regular,
}

/// A datagram for one gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The heartbeat address of the gateway.
    pub to: SocketAddr,
    /// The content.
    pub bytes: Bytes,
    /// The label of the message in the metrics of sent bytes.
    pub label: &'static str,
}

/// The outcome of an attempt to send a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The socket accepted the datagram.
    Accepted,
    /// The socket's buffer is full.
    WouldBlock,
    /// The datagram cannot be sent.
    Failed,
}

/// The queue of datagrams that wait for the socket.
#[derive(Debug)]
pub struct Outbox {
    once: VecDeque<Datagram>,
    regular: VecDeque<Datagram>,
    bytes: usize,
    max_bytes: usize,
}

impl Outbox {
    /// Creates an empty queue for a link of this bandwidth.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn new(link_mbps: f64) -> Self {
        let bytes_per_ms = link_mbps * 1_000.0 / 8.0;
        let max_bytes = (bytes_per_ms * MAX_WAIT_MS) as usize;
        Self {
            once: VecDeque::new(),
            regular: VecDeque::new(),
            bytes: 0,
            max_bytes: max_bytes.min(MAX_BYTES),
        }
    }

    /// Returns whether no datagram waits.
    pub fn is_empty(&self) -> bool {
        self.once.is_empty() && self.regular.is_empty()
    }

    /// Returns the number of bytes in the queue.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sends a datagram or queues it. Returns `false` if the datagram was
    /// dropped, because sending failed or the queue is full.
    pub fn send(
        &mut self,
        datagram: Datagram,
        urgency: Urgency,
        mut send: impl FnMut(&Datagram) -> SendOutcome,
    ) -> bool {
        let is_next = match urgency {
            Urgency::Once => self.once.is_empty(),
            Urgency::Regular => self.is_empty(),
        };
        let outcome =
            if is_next { send(&datagram) } else { SendOutcome::WouldBlock };
        match outcome {
            SendOutcome::Accepted => true,
            SendOutcome::Failed => false,
            SendOutcome::WouldBlock => self.push(datagram, urgency),
        }
    }

    fn push(&mut self, datagram: Datagram, urgency: Urgency) -> bool {
        let bytes = self.bytes + datagram.bytes.len();
        if bytes > self.max_bytes {
            return false;
        }
        self.bytes = bytes;
        match urgency {
            Urgency::Once => self.once.push_back(datagram),
            Urgency::Regular => self.regular.push_back(datagram),
        }
        true
    }

    /// Sends queued datagrams until the socket's buffer is full. Datagrams
    /// that cannot be sent are dropped.
    pub fn flush(&mut self, mut send: impl FnMut(&Datagram) -> SendOutcome) {
        for queue in [&mut self.once, &mut self.regular] {
            while let Some(next) = queue.front() {
                if send(next) == SendOutcome::WouldBlock {
                    return;
                }
                self.bytes -= next.bytes.len();
                queue.pop_front();
            }
        }
    }
}
