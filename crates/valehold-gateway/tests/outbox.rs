//! Datagrams that find no room at once, and messages that need several.

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

/// A socket with room for so many bytes.
struct Socket {
    room: usize,
    taken: Vec<u16>,
}

impl Socket {
    fn send(&mut self, datagram: &Datagram) -> SendOutcome {
        let Some(room) = self.room.checked_sub(datagram.bytes.len()) else {
            return SendOutcome::WouldBlock;
        };
        self.room = room;
        self.taken.push(datagram.to.port());
        SendOutcome::Accepted
    }
}

// A hub tells its group in one go. What found no room in the socket was
// dropped, and the group is walked in the same order each time: beyond some
// 200 KB the same gateways heard nothing, time and again.
#[gtest]
fn a_hub_tells_all_of_its_group_although_the_socket_takes_a_few_at_once() {
    let mut outbox = Outbox::new(20.0);
    let mut socket = Socket { room: 200_000, taken: Vec::new() };
    let group = 330;
    for number in 0..group {
        let sent =
            outbox.send(datagram(number, 1_000), Urgency::Regular, |one| {
                socket.send(one)
            });
        expect_true!(sent);
    }
    expect_that!(socket.taken.len(), eq(200));
    expect_that!(outbox.bytes(), eq(130_000));
    socket.room = 200_000;
    outbox.flush(|one| socket.send(one));
    expect_true!(outbox.is_empty());
    expect_that!(outbox.bytes(), eq(0));
    expect_that!(socket.taken, eq(&Vec::from_iter(0..group)));
}

#[gtest]
fn what_is_told_once_goes_before_what_is_told_again() {
    let mut outbox = Outbox::new(20.0);
    let mut socket = Socket { room: 0, taken: Vec::new() };
    for (number, urgency) in
        [(1, Urgency::Regular), (2, Urgency::Once), (3, Urgency::Once)]
    {
        outbox.send(datagram(number, 10), urgency, |one| socket.send(one));
    }
    socket.room = 20;
    outbox.flush(|one| socket.send(one));
    expect_that!(socket.taken, eq(&vec![2, 3]));
    socket.room = 20;
    // One that comes now goes first as well.
    outbox.send(datagram(4, 10), Urgency::Once, |one| socket.send(one));
    outbox.flush(|one| socket.send(one));
    expect_that!(socket.taken, eq(&vec![2, 3, 4, 1]));
}

#[gtest]
fn no_more_waits_than_the_link_carries_in_a_second() {
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

// What was larger than a datagram was logged and dropped: what some thousand
// engines hold after a data centre came back.
#[gtest]
fn a_message_of_any_size_arrives() {
    for count in [1, 1_000, 8_000, 40_000] {
        let message = holdings(count);
        let datagrams = message.encode_in_fragments(7).unwrap();
        expect_true!(datagrams.iter().all(|one| fits(one)));
        expect_that!(arrived(&datagrams), some(eq(&message)));
    }
}

fn fits(datagram: &[u8]) -> bool {
    // A hub passes it on inside another one, and only as a whole.
    let relay = Message::Relay(datagram.to_vec());
    let written = relay.encode_in_fragments(8).unwrap();
    written.len() == 1 && written[0].len() <= MAX_DATAGRAM
}

/// Returns the message that some datagrams carry, in this order.
fn arrived(datagrams: &[Vec<u8>]) -> Option<Message> {
    let mut fragments = Reassembler::default();
    let mut arrived = None;
    for bytes in datagrams {
        match Message::decode(bytes).unwrap() {
            Message::Fragment(one) => {
                if let Some(bytes) = fragments.push(one) {
                    arrived = Some(Message::decode(&bytes).unwrap());
                }
            }
            whole => arrived = Some(whole),
        }
    }
    arrived
}

#[gtest]
fn fragments_may_come_in_any_order_and_twice_but_not_be_lost() {
    let message = holdings(8_000);
    let datagrams = message.encode_in_fragments(7).unwrap();
    expect_that!(datagrams.len(), ge(3));
    let mut turned: Vec<Vec<u8>> = datagrams.iter().rev().cloned().collect();
    turned.push(datagrams[0].clone());
    expect_that!(arrived(&turned), some(eq(&message)));
    expect_that!(arrived(&datagrams[1..]), none());
}

#[gtest]
fn fragments_that_never_come_are_given_up_for_later_messages() {
    let mut fragments = Reassembler::default();
    let fragment = |number: u64, index: usize| {
        let datagrams = holdings(8_000).encode_in_fragments(number).unwrap();
        match Message::decode(&datagrams[index]).unwrap() {
            Message::Fragment(one) => one,
            other => panic!("{}", other.label()),
        }
    };
    for number in 0..20 {
        expect_that!(fragments.push(fragment(number, 0)), none());
    }
    let count = holdings(8_000).encode_in_fragments(0).unwrap().len();
    // The newest is still put together, the oldest is not.
    let last =
        (1..count).map(|index| fragments.push(fragment(19, index))).last();
    expect_that!(last, some(some(anything())));
    let first =
        (1..count).map(|index| fragments.push(fragment(0, index))).last();
    expect_that!(first, some(none()));
}
