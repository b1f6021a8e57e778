//! Tests of the splitting of event streams into complete events.

use boragerill::{
    job::JobProgress,
    stream::{
        event_data,
        event_id,
        split_events,
        EventId,
        EventSplitter,
        StreamFault, //
    }, //
};
use compact_str::CompactString;
use proptest::prelude::*;

fn event(id: u64, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

/// Splits a stream that is received in pieces of the given lengths, and returns the events' bytes.
fn split(text: &str, lengths: &[usize]) -> (Vec<u8>, EventSplitter) {
    let mut splitter = EventSplitter::default();
    let mut rest = text.as_bytes();
    let mut events = Vec::new();
    for &length in lengths.iter().chain([&usize::MAX]) {
        let (piece, later) = rest.split_at(length.min(rest.len()));
        splitter.push(piece);
        rest = later;
        if let Some(chunk) = splitter.take().expect("valid stream") {
            events.extend_from_slice(&chunk.bytes);
        }
    }
    (events, splitter)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn events_do_not_depend_on_piece_boundaries(
        data in proptest::collection::vec("[a-z :]{0,12}", 1..20),
        lengths in proptest::collection::vec(1..40_usize, 0..40),
    ) {
        // arrange
        let text: String = (0..).zip(&data).map(|(id, data)| event(id, data)).collect();

        // act
        let (events, splitter) = split(&text, &lengths);

        // assert
        prop_assert_eq!(String::from_utf8_lossy(&events), text);
        prop_assert_eq!(splitter.last(), Some(data.len() as u64 - 1));
        prop_assert!(splitter.finish().is_ok());
    }
}

/// How an event of a stream is written.
#[derive(Clone, Debug)]
struct EventForm {
    lines: Vec<String>, // Of its data.
    line_end: &'static str,
    blank_end: &'static str,
    is_id_last: bool,
    has_space: bool,
    other_field: bool,
    comment: bool, // A comment precedes the event.
}

impl EventForm {
    fn text(&self, id: EventId) -> String {
        let space = if self.has_space { " " } else { "" };
        let end = self.line_end;
        let mut lines: Vec<String> = self
            .lines
            .iter()
            .map(|line| format!("data:{space}{line}{end}"))
            .collect();
        let id = format!("id:{space}{id}{end}");
        match self.is_id_last {
            true => lines.push(id),
            false => lines.insert(0, id),
        }
        if self.other_field {
            lines.insert(0, format!("weight-versions: 2{end}"));
        }
        let comment = match self.comment {
            true => format!(": wait{end}{}", self.blank_end),
            false => String::new(),
        };
        format!("{comment}{}{}", lines.concat(), self.blank_end)
    }
}

fn event_forms() -> impl Strategy<Value = Vec<EventForm>> {
    let line_end = prop_oneof![Just("\n"), Just("\r\n")];
    let form = (
        proptest::collection::vec("[a-z:é]([a-z :é]{0,6}[a-z:é])?", 1..4),
        line_end.clone(),
        line_end,
        any::<[bool; 4]>(),
    );
    let form = form.prop_map(|(lines, line_end, blank_end, flags)| EventForm {
        lines,
        line_end,
        blank_end,
        is_id_last: flags[0],
        has_space: flags[1],
        other_field: flags[2],
        comment: flags[3],
    });
    proptest::collection::vec(form, 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(51), failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against ORDER: servers cut events anywhere, send several events and the end in one segment, end lines in
    // either way, and write data in several lines.
    #[test]
    fn text_of_an_item_does_not_depend_on_pieces_or_line_ends(
        forms in event_forms(),
        lengths in proptest::collection::vec(1..30_usize, 0..60),
    ) {
        // arrange
        let stream: String = (0..).zip(&forms).map(|(id, form)| form.text(id)).collect();
        let ids = [CompactString::const_new("item")];
        let mut progress = JobProgress::new(ids.iter());
        let run = progress.start_item(0, 1).expect("waiting item").number;

        // act
        let mut splitter = EventSplitter::after(None);
        let mut rest = stream.as_bytes();
        for &length in lengths.iter().chain([&usize::MAX]) {
            let (piece, later) = rest.split_at(length.min(rest.len()));
            splitter.push(piece);
            rest = later;
            if let Some(chunk) = splitter.take().expect("valid stream") {
                progress.extend(0, run, &chunk.bytes).expect("events in sequence");
            }
        }

        // assert
        let data: Vec<String> = forms.iter().map(|form| form.lines.join("\n")).collect();
        let output = progress.checkpoint().outputs.remove(0);
        prop_assert_eq!(output.text, data.join("\n"));
        prop_assert_eq!(output.last, forms.len() as u64 - 1);
        prop_assert!(splitter.finish().is_ok());
    }

    // Guards against ORDER: a stream that is cut within an event counts no more than the events before it.
    #[test]
    fn stream_that_is_cut_anywhere_has_its_complete_events(
        forms in event_forms(),
        cut in any::<proptest::sample::Index>(),
    ) {
        // arrange
        let events: Vec<String> = (0..).zip(&forms).map(|(id, form)| form.text(id)).collect();
        let stream = events.concat();
        let cut = cut.index(stream.len());
        let mut whole = 0;
        let complete = events.iter().take_while(|event| {
            whole += event.len();
            whole <= cut
        });
        let complete = complete.count() as u64;

        // act
        let mut splitter = EventSplitter::default();
        splitter.push(&stream.as_bytes()[..cut]);
        splitter.take().expect("valid stream");

        // assert
        prop_assert_eq!(splitter.last(), complete.checked_sub(1));
    }
}

#[test]
fn incomplete_event_is_not_returned_and_truncates_the_stream() {
    // arrange
    let text = format!("{}id: 1\ndata: ha", event(0, "complete"));

    // act
    let (events, splitter) = split(&text, &[]);

    // assert
    assert_eq!(events, event(0, "complete").as_bytes());
    assert_eq!(splitter.finish(), Err(StreamFault::Truncated));
}

#[test]
fn gap_or_repetition_of_event_numbers_is_a_fault() {
    for second in [0, 2] {
        // arrange
        let mut splitter = EventSplitter::default();
        splitter.push(event(0, "a").as_bytes());
        splitter.take().expect("first event");

        // act
        splitter.push(event(second, "b").as_bytes());

        // assert
        assert_eq!(splitter.take(), Err(StreamFault::OutOfSequence));
    }
}

#[test]
fn resumed_run_continues_after_the_last_complete_event() {
    // arrange: the first run is broken off within an event
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

// Guards against ORDER: the first event of a run that goes on wasn't checked against the event that it goes on after.
#[test]
fn run_that_goes_on_begins_with_the_next_event() {
    for (first, is_next) in [(4, false), (5, true), (6, false)] {
        // arrange
        let mut splitter = EventSplitter::after(Some(4));

        // act
        splitter.push(event(first, "a").as_bytes());

        // assert
        assert_eq!(splitter.take().is_ok(), is_next, "event {first}");
    }
}

#[test]
fn carriage_returns_and_unknown_fields_are_parsed() {
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
fn oversized_event_is_a_fault() {
    // arrange
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; 1024 * 1024 + 1]);

    // act and assert
    assert_eq!(splitter.take(), Err(StreamFault::Oversized));
}

/// Guards against resuming a stream after an event that was never returned.
#[test]
fn fault_after_a_complete_event_does_not_skip_the_event() {
    // arrange
    let valid = event(1, "second");
    let faults = [
        "garbage\n\n".to_owned(),
        format!("garbage\n\n{}", event(2, "third")),
        event(3, "fourth"),
        format!("id: 2\ndata: {}", "x".repeat(300 * 1024)),
    ];

    for fault in faults {
        let mut splitter = EventSplitter::default();
        splitter.push(event(0, "first").as_bytes());
        splitter.take().expect("valid event");

        // act
        splitter.push(format!("{valid}{fault}").as_bytes());
        let returned = splitter.take().expect("valid event").expect("event");
        let failure = splitter.take();

        // assert
        assert_eq!(returned.bytes, valid.as_bytes());
        assert!(failure.is_err());
        assert_eq!(splitter.last(), Some(1));
    }
}
