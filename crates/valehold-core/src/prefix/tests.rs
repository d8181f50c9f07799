//! Hints age, are bounded, and are dropped on a gap.

use googletest::prelude::*;

use super::{BLOCK_BYTES, PrefixHints, block_hashes};
use crate::{Millis, id::UpstreamId};

fn prompt(blocks: usize, last: u8) -> Vec<u8> {
    let mut prompt = vec![b'a'; BLOCK_BYTES * blocks];
    let end = prompt.len() - 1;
    prompt[end] = last;
    prompt
}

#[gtest]
fn blocks_cover_all_that_stands_before_them() {
    let left = block_hashes(&prompt(3, b'x'));
    let right = block_hashes(&prompt(3, b'y'));
    expect_that!(left[..2], eq(&right[..2]));
    expect_that!(left[2], not(eq(right[2])));
}

#[gtest]
fn hints_age() {
    let engine = UpstreamId::new("e");
    let blocks = block_hashes(&prompt(3, b'x'));
    let mut hints = PrefixHints::new(100, 10);
    hints.note(&engine, &blocks[..2], Millis::new(0));
    let cached = |at| hints.cached_blocks(&engine, &blocks, Millis::new(at));
    expect_that!(cached(99), eq(2));
    expect_that!(cached(100), eq(0));
}

#[gtest]
fn hints_are_bounded_and_the_oldest_go_first() {
    let engine = UpstreamId::new("e");
    let mut hints = PrefixHints::new(1_000, 2);
    hints.note(&engine, &[1], Millis::new(0));
    hints.note(&engine, &[2], Millis::new(1));
    hints.note(&engine, &[3], Millis::new(2));
    expect_that!(hints.len(), eq(2));
    let now = Millis::new(3);
    expect_that!(hints.cached_blocks(&engine, &[1], now), eq(0));
    expect_that!(hints.cached_blocks(&engine, &[2, 3], now), eq(2));
}

#[gtest]
fn a_gap_drops_one_engines_hints_only() {
    let (one, other) = (UpstreamId::new("e"), UpstreamId::new("f"));
    let mut hints = PrefixHints::new(1_000, 10);
    hints.note(&one, &[1], Millis::new(0));
    hints.note(&other, &[1], Millis::new(0));
    hints.forget(&one);
    let now = Millis::new(1);
    expect_that!(hints.cached_blocks(&one, &[1], now), eq(0));
    expect_that!(hints.cached_blocks(&other, &[1], now), eq(1));
}
