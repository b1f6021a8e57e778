//! Event streams are cut into whole events, wherever the network cuts them.

use boragerill::stream::{
    event_data,
    event_id,
    split_events,
    EventSplitter,
    StreamFault, //
};
use proptest::prelude::*;

fn event(id: u64, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

/// Returns all events of a stream that arrives in pieces of the given lengths.
fn cut(text: &str, lengths: &[usize]) -> (Vec<u8>, EventSplitter) {
    let mut splitter = EventSplitter::default();
    let mut rest = text.as_bytes();
    let mut passed = Vec::new();
    for &length in lengths.iter().chain([&usize::MAX]) {
        let (piece, later) = rest.split_at(length.min(rest.len()));
        splitter.push(piece);
        rest = later;
        if let Some(chunk) = splitter.take().expect("sound stream") {
            passed.extend_from_slice(&chunk.bytes);
        }
    }
    (passed, splitter)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn pieces_make_no_difference(
        data in proptest::collection::vec("[a-z :]{0,12}", 1..20),
        lengths in proptest::collection::vec(1..40_usize, 0..40),
    ) {
        // arrange
        let text: String = (0..).zip(&data).map(|(id, data)| event(id, data)).collect();

        // act
        let (passed, splitter) = cut(&text, &lengths);

        // assert
        prop_assert_eq!(String::from_utf8_lossy(&passed), text);
        prop_assert_eq!(splitter.last(), Some(data.len() as u64 - 1));
        prop_assert!(splitter.finish().is_ok());
    }
}

#[test]
fn incomplete_event_is_kept_back_and_makes_the_stream_truncated() {
    // arrange
    let text = format!("{}id: 1\ndata: ha", event(0, "whole"));

    // act
    let (passed, splitter) = cut(&text, &[]);

    // assert
    assert_eq!(passed, event(0, "whole").as_bytes());
    assert_eq!(splitter.finish(), Err(StreamFault::Truncated));
}

#[test]
fn gap_and_repetition_are_faults() {
    for second in [0, 2] {
        // arrange
        let mut splitter = EventSplitter::default();
        splitter.push(event(0, "a").as_bytes());
        splitter.take().expect("first event");

        // act
        splitter.push(event(second, "b").as_bytes());

        // assert
        assert_eq!(splitter.take(), Err(StreamFault::Disordered));
    }
}

#[test]
fn resumed_run_goes_on_after_the_last_whole_event() {
    // arrange: the first run breaks off within an event
    let mut splitter = EventSplitter::default();
    splitter.push(event(4, "a").as_bytes());
    splitter.push(b"id: 5\nda");
    splitter.take().expect("first run");

    // act
    let last = splitter.last();
    splitter.discard_partial();
    splitter.push(event(5, "b").as_bytes());

    // assert
    assert_eq!(last, Some(4));
    let chunk = splitter.take().expect("second run").expect("event");
    assert_eq!(chunk.bytes, event(5, "b").as_bytes());
}

#[test]
fn carriage_returns_and_other_fields_are_understood() {
    // arrange
    let text = "weight-versions: 2\r\nid: 7\r\ndata: a\r\ndata: b\r\n\r\n";

    // act
    let events = split_events(text.as_bytes());

    // assert
    assert_eq!(events.len(), 1);
    assert_eq!(event_id(events[0]), Some(7));
    assert_eq!(event_data(events[0]), b"a\nb");
}

#[test]
fn endless_event_is_a_fault() {
    // arrange
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 1024 * 1024 + 1]);

    // act and assert
    assert_eq!(splitter.take(), Err(StreamFault::Oversized));
}
