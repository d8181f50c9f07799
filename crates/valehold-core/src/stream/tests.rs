//! Whatever becomes of frames, what passes is a part of the answer from its
//! beginning, and an end only after all of it.

use proptest::prelude::*;

use super::{EndMark, FinishReason, Frame, Passage, Payload, StreamGate};
use crate::{id::RequestId, testing::cases};

const OTHER: &str = "other";

/// A frame that arrives: of this answer, or of another request's.
#[derive(Debug, Clone)]
struct Arrival {
    own: bool,
    sequence: u64,
}

fn payload(sequence: u64, length: u64) -> Payload {
    if sequence + 1 < length {
        return Payload::Text(format!("{sequence};"));
    }
    Payload::End(EndMark {
        finish: FinishReason::Stop,
        prompt_tokens: 1,
        completion_tokens: length,
    })
}

fn arrival() -> impl Strategy<Value = Arrival> {
    (prop::bool::weighted(0.8), 0_u64..8)
        .prop_map(|(own, sequence)| Arrival { own, sequence })
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn what_passes_is_the_answers_beginning(
        length in 1_u64..8,
        arrivals in prop::collection::vec(arrival(), 0..60),
    ) {
        let mut gate = StreamGate::new(RequestId::new("own"));
        let mut passed = Vec::new();
        for arrival in arrivals {
            if arrival.sequence >= length {
                continue;
            }
            let name = if arrival.own { "own" } else { OTHER };
            let payload = match arrival.own {
                true => payload(arrival.sequence, length),
                false => Payload::Text("not yours".to_owned()),
            };
            let frame = Frame {
                request: RequestId::new(name),
                sequence: arrival.sequence,
                payload,
            };
            if let Passage::Pass(payload) = gate.accept(frame) {
                passed.push(payload);
            }
        }
        let wanted: Vec<Payload> =
            (0..length).map(|n| payload(n, length)).collect();
        prop_assert!(passed.len() as u64 <= length);
        prop_assert_eq!(&passed[..], &wanted[..passed.len()]);
        prop_assert_eq!(gate.ended(), passed.len() as u64 == length);
    }
}
