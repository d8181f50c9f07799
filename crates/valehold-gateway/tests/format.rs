//! What gateways of two versions make of each other's bytes.

use googletest::prelude::*;
use valehold_core::fleet::{BoundVariant, RegionBound, Variant};
use valehold_gateway::peers::{
    Message,
    message::{FORMAT, MAX_DATAGRAM, MessageError},
    state::PeerState,
};
use valehold_ports::PortErrorKind;

#[gtest]
fn a_datagram_is_read_as_it_was_written() {
    let wish = Message::Wish(BoundVariant {
        bound: RegionBound::within(["north"]),
        variant: Variant::adapted("alpha", "a1"),
    });
    let bytes = wish.encode().unwrap();
    expect_that!(bytes[0], eq(FORMAT));
    expect_that!(Message::decode(&bytes).unwrap(), eq(&wish));
}

#[gtest]
fn another_format_is_told_from_a_broken_datagram() {
    let mut bytes = Message::Relay(vec![1, 2, 3]).encode().unwrap();
    expect_that!(Message::decode(&[]), err(pat!(MessageError::Empty)));
    expect_that!(
        Message::decode(&bytes[..2]),
        err(pat!(MessageError::Malformed(_)))
    );
    bytes[0] = FORMAT + 1;
    expect_that!(
        Message::decode(&bytes),
        err(pat!(MessageError::OtherFormat { format: eq(&(FORMAT + 1)) }))
    );
    // The first byte of the datagrams before there was a format.
    for first in 0..8 {
        expect_true!(Message::decode(&[first, 0, 0]).is_err());
    }
}

#[gtest]
fn what_is_too_large_for_a_datagram_says_so() {
    let large = Message::Relay(vec![0; MAX_DATAGRAM]);
    expect_that!(large.encode(), err(pat!(MessageError::TooLarge { .. })));
}

#[gtest]
fn a_state_in_another_format_is_malformed() {
    let state = PeerState::default();
    let mut bytes = state.encode().unwrap();
    expect_that!(PeerState::decode(&bytes).unwrap(), eq(&state));
    bytes[0] = FORMAT + 1;
    let error = PeerState::decode(&bytes).unwrap_err();
    expect_that!(error.kind(), eq(PortErrorKind::Malformed));
}
