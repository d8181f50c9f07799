//! Tests that only whole events are returned, in order, however the bytes are
//! split.

use googletest::prelude::*;
use proptest::prelude::*;

use crate::{
    fleet::event::{EventOrder, EventPosition, EventSplitter, StreamFault},
    testing::cases,
};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: word {id}\n\n")
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn events_are_split_correctly_for_any_chunks_of_bytes(
        count in 0_u64..8,
        cut in 0_usize..20,
        chunks in prop::collection::vec(1_usize..9, 1..80),
    ) {
        let whole: String = (1..=count).map(event).collect();
        let half = &event(count + 1)[..cut.min(event(1).len() - 1)];
        let bytes = format!("{whole}{half}");
        let mut splitter = EventSplitter::default();
        let mut passed = String::new();
        let mut ids = Vec::new();
        let mut rest = bytes.as_bytes();
        let mut sizes = chunks.iter().cycle();
        while !rest.is_empty() {
            let size = (*sizes.next().unwrap()).min(rest.len());
            let (chunk, later) = rest.split_at(size);
            splitter.push(chunk);
            rest = later;
            while let Some(event) = splitter.next_event().unwrap() {
                passed.push_str(std::str::from_utf8(&event.bytes).unwrap());
                ids.push(event.id.unwrap());
            }
        }
        prop_assert_eq!(passed, whole);
        prop_assert_eq!(ids, (1..=count).collect::<Vec<_>>());
        prop_assert_eq!(splitter.has_pending(), !half.is_empty());
    }

    #[test]
    fn exactly_the_events_that_are_returned_count_as_passed_on(
        ids in prop::collection::vec(1_u64..9, 0..12),
        sizes in prop::collection::vec(1_usize..60, 1..9),
    ) {
        let bytes: String = ids.iter().map(|id| event(*id)).collect();
        let mut splitter = EventSplitter::default();
        let mut order = EventOrder::after(Some(0));
        let (mut passed, mut has_fault) = (String::new(), false);
        let mut rest = bytes.as_bytes();
        let mut sizes = sizes.iter().cycle();
        while !rest.is_empty() && !has_fault {
            let size = (*sizes.next().unwrap()).min(rest.len());
            let (read, later) = rest.split_at(size);
            rest = later;
            splitter.push(read);
            let events = splitter.next_events(&mut order);
            passed.push_str(std::str::from_utf8(&events.bytes).unwrap());
            has_fault = events.fault.is_some();
        }
        let last = order.last().unwrap();
        let counted: String = (1..=last).map(event).collect();
        prop_assert_eq!(passed, counted);
    }

    #[test]
    fn each_event_is_passed_on_once_and_in_order(
        last in prop::option::of(0_u64..5),
        ids in prop::collection::vec(0_u64..12, 0..40),
    ) {
        let mut order = EventOrder::after(last);
        let mut passed: Vec<u64> = last.into_iter().collect();
        for id in ids {
            match order.advance(Some(id)) {
                EventPosition::Next => passed.push(id),
                EventPosition::Duplicate => {
                    prop_assert!(id <= *passed.last().unwrap());
                }
                EventPosition::Gap => {
                    prop_assert!(id > *passed.last().unwrap() + 1);
                }
                EventPosition::Unknown => prop_assert!(false),
            }
        }
        prop_assert!(passed.windows(2).all(|pair| pair[1] == pair[0] + 1));
        prop_assert_eq!(order.last(), passed.last().copied());
    }
}

#[gtest]
fn lines_may_end_in_lf_or_crlf() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 4\r\ndata: x\r\n\r\nid: 5\r\n");
    let event = splitter.next_event().unwrap().unwrap();
    expect_that!(event.id, some(eq(4)));
    expect_that!(splitter.next_event(), ok(none()));
    expect_true!(splitter.has_pending());
}

#[gtest]
fn an_event_beyond_the_maximum_size_is_an_error() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 2 << 20]);
    expect_that!(splitter.next_event(), err(anything()));
}

/// Bytes that are no event passed for the next event.
#[gtest]
fn bytes_without_a_number_are_no_event() {
    let mut splitter = EventSplitter::default();
    let mut order = EventOrder::after(None);
    let sound = "id: 1\ndata: x\n\n";
    splitter.push(sound.as_bytes());
    splitter.push(b"spoiled\n\nid: 2\ndata: y\n\n");
    let events = splitter.next_events(&mut order);
    expect_that!(events.bytes.as_ref(), eq(sound.as_bytes()));
    expect_that!(events.fault, some(eq(StreamFault::Unnumbered)));
    expect_that!(order.last(), some(eq(1)));
}
