//! The queue of outgoing datagrams, and messages in several fragments.

use std::net::SocketAddr;

use bytes::Bytes;
use googletest::prelude::*;
use valehold_core::{
    fleet::{EngineHolding, Holding},
    id::UpstreamId,
    order::Stamp,
};
use valehold_gateway::peers::{
    Message,
    fragments::Reassembler,
    message::MAX_DATAGRAM,
    outbox::{Datagram, Outbox, SendOutcome, Urgency},
};

fn to(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn datagram(number: u16, bytes: usize) -> Datagram {
    let bytes = Bytes::from(vec![0; bytes]);
    Datagram { to: to(number), bytes, label: "summary" }
}

/// A socket whose buffer has a number of free bytes.
struct Socket {
    free_bytes: usize,
    sent_to: Vec<u16>,
}

impl Socket {
    fn send(&mut self, datagram: &Datagram) -> SendOutcome {
        let Some(free_bytes) =
            self.free_bytes.checked_sub(datagram.bytes.len())
        else {
            return SendOutcome::WouldBlock;
        };
        self.free_bytes = free_bytes;
        self.sent_to.push(datagram.to.port());
        SendOutcome::Accepted
    }
}

// A hub sends to its whole group at once, in the same order each time.
// Datagrams that did not fit into the socket's buffer were dropped, so beyond
// some 200 KB the same gateways never received anything.
#[gtest]
fn a_hub_reaches_its_whole_group_although_the_socket_buffer_is_small() {
    let mut outbox = Outbox::new(20.0);
    let mut socket = Socket { free_bytes: 200_000, sent_to: Vec::new() };
    let group = 330;
    for number in 0..group {
        let sent =
            outbox.send(datagram(number, 1_000), Urgency::Regular, |one| {
                socket.send(one)
            });
        expect_true!(sent);
    }
    expect_that!(socket.sent_to.len(), eq(200));
    expect_that!(outbox.bytes(), eq(130_000));
    socket.free_bytes = 200_000;
    outbox.flush(|one| socket.send(one));
    expect_true!(outbox.is_empty());
    expect_that!(outbox.bytes(), eq(0));
    expect_that!(socket.sent_to, eq(&Vec::from_iter(0..group)));
}

#[gtest]
fn datagrams_sent_once_go_before_periodic_ones() {
    let mut outbox = Outbox::new(20.0);
    let mut socket = Socket { free_bytes: 0, sent_to: Vec::new() };
    for (number, urgency) in
        [(1, Urgency::Regular), (2, Urgency::Once), (3, Urgency::Once)]
    {
        outbox.send(datagram(number, 10), urgency, |one| socket.send(one));
    }
    socket.free_bytes = 20;
    outbox.flush(|one| socket.send(one));
    expect_that!(socket.sent_to, eq(&vec![2, 3]));
    socket.free_bytes = 20;
    // A later datagram that is sent once also goes first.
    outbox.send(datagram(4, 10), Urgency::Once, |one| socket.send(one));
    outbox.flush(|one| socket.send(one));
    expect_that!(socket.sent_to, eq(&vec![2, 3, 4, 1]));
}

#[gtest]
fn the_queue_holds_no_more_than_the_link_carries_in_a_second() {
    let mut outbox = Outbox::new(1.0);
    let mut waiting = 0;
    for number in 0..1_000 {
        let sent =
            outbox.send(datagram(number, 1_000), Urgency::Regular, |_| {
                SendOutcome::WouldBlock
            });
        waiting += usize::from(sent);
    }
    expect_that!(waiting, eq(125));
    expect_that!(outbox.bytes(), le(125_000));
}

fn holdings(count: usize) -> Message {
    let holdings = (0..count).map(|number| EngineHolding {
        engine: UpstreamId::new(format!("engine-{number}")),
        started_at_ms: Some(1_700_000_000_000),
        holding: Holding::default(),
        stamp: Stamp::default(),
    });
    Message::Holdings(holdings.collect())
}

// Messages larger than a datagram were logged and dropped, such as the holdings
// of some thousand engines after a data centre recovered.
#[gtest]
fn a_message_of_any_size_arrives() {
    for count in [1, 1_000, 8_000, 40_000] {
        let message = holdings(count);
        let datagrams = message.encode_in_fragments(7).unwrap();
        expect_true!(datagrams.iter().all(|one| fits(one)));
        expect_that!(received(&datagrams), some(eq(&message)));
    }
}

fn fits(datagram: &[u8]) -> bool {
    // A hub wraps the datagram in a relay, which is not fragmented itself.
    let relay = Message::Relay(datagram.to_vec());
    let written = relay.encode_in_fragments(8).unwrap();
    written.len() == 1 && written[0].len() <= MAX_DATAGRAM
}

/// Returns the message that a receiver decodes from datagrams in this order;
/// `None` if it stays incomplete.
fn received(datagrams: &[Vec<u8>]) -> Option<Message> {
    let mut reassembler = Reassembler::default();
    let mut received = None;
    for bytes in datagrams {
        match Message::decode(bytes).unwrap() {
            Message::Fragment(one) => {
                if let Some(bytes) = reassembler.push(one) {
                    received = Some(Message::decode(&bytes).unwrap());
                }
            }
            whole => received = Some(whole),
        }
    }
    received
}

#[gtest]
fn fragments_may_be_reordered_and_duplicated_but_not_lost() {
    let message = holdings(8_000);
    let datagrams = message.encode_in_fragments(7).unwrap();
    expect_that!(datagrams.len(), ge(3));
    let mut reordered: Vec<Vec<u8>> =
        datagrams.iter().rev().cloned().collect();
    reordered.push(datagrams[0].clone());
    expect_that!(received(&reordered), some(eq(&message)));
    expect_that!(received(&datagrams[1..]), none());
}

#[gtest]
fn incomplete_messages_are_evicted_by_later_ones() {
    let mut reassembler = Reassembler::default();
    let fragment = |number: u64, index: usize| {
        let datagrams = holdings(8_000).encode_in_fragments(number).unwrap();
        match Message::decode(&datagrams[index]).unwrap() {
            Message::Fragment(one) => one,
            other => panic!("{}", other.label()),
        }
    };
    for number in 0..20 {
        expect_that!(reassembler.push(fragment(number, 0)), none());
    }
    let count = holdings(8_000).encode_in_fragments(0).unwrap().len();
    // The newest message can still be completed, the oldest was evicted.
    let newest =
        (1..count).map(|index| reassembler.push(fragment(19, index))).last();
    expect_that!(newest, some(some(anything())));
    let oldest =
        (1..count).map(|index| reassembler.push(fragment(0, index))).last();
    expect_that!(oldest, some(none()));
}
