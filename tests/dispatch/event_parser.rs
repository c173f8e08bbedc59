//! Parsing of server-sent event streams.

use cv_dispatch::EventParser;
use proptest::prelude::*;

#[test]
fn an_event_is_complete_only_with_its_blank_line() {
    let mut parser = EventParser::default();
    parser.push(b"id: 1\ndata: one\n");
    assert!(parser.next_event().is_none());
    assert!(parser.has_partial_event());
    parser.push(b"\n");
    let event = parser.next_event().expect("a complete event");
    assert_eq!((event.id, event.data.as_slice()), (Some(1), b"one".as_slice()));
    assert!(!parser.has_partial_event());
}

#[test]
fn data_lines_are_joined_and_carriage_returns_removed() {
    let mut parser = EventParser::default();
    parser.push(b"id: 7\r\ndata: a\r\ndata:b\r\n\r\n");
    let event = parser.next_event().expect("a complete event");
    assert_eq!((event.id, event.data.as_slice()), (Some(7), b"a\nb".as_slice()));
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_change_events(cuts in proptest::collection::vec(0usize..120, 0..6)) {
        let stream: Vec<u8> = (1..=6)
            .flat_map(|number| format!("id: {number}\ndata: piece {number}\n\n").into_bytes())
            .collect();
        let mut boundaries: Vec<usize> = cuts.iter().map(|cut| cut % stream.len()).collect();
        boundaries.extend([0, stream.len()]);
        boundaries.sort_unstable();
        let mut parser = EventParser::default();
        let mut events = Vec::new();
        for pair in boundaries.windows(2) {
            parser.push(&stream[pair[0]..pair[1]]);
            while let Some(event) = parser.next_event() {
                events.push(event);
            }
        }
        let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.clone()).collect();
        prop_assert_eq!(raw, stream);
        let numbers: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
        prop_assert_eq!(numbers, (1..=6).collect::<Vec<u64>>());
    }
}

#[test]
fn bytes_without_an_event_are_not_buffered_without_end() {
    let mut parser = EventParser::default();
    let piece = vec![b'x'; 32 * 1024];
    let mut pieces = 0;
    while !parser.is_oversized() {
        parser.push(&piece);
        assert_eq!(parser.next_event(), None);
        pieces += 1;
        assert!(pieces <= 64, "2 MiB are buffered");
    }
}

// Guards against a target that sends blank lines without end, each of which ends an event.
#[test]
fn blank_events_without_end_are_oversized() {
    let mut parser = EventParser::default();
    parser.push(b"id: 1\ndata: a\n\n");
    assert!(parser.next_event().is_some_and(|event| !event.is_blank()));
    for _ in 0..3 {
        parser.push(&b"\n".repeat(32 * 1024));
        while parser.next_event().is_some() {}
    }
    assert!(parser.is_oversized());
    parser.push(b"id: 2\ndata: b\n\n");
    while parser.next_event().is_some() {}
    assert!(!parser.is_oversized());
}

// Guards against a search that begins anew with each read, whose time grows with the square of an
// event that does not end.
#[test]
fn an_event_that_arrives_byte_by_byte_is_found() {
    let stream = b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata: c\r\n\r\n";
    let mut parser = EventParser::default();
    let mut numbers = Vec::new();
    for byte in stream {
        parser.push(&[*byte]);
        while let Some(event) = parser.next_event() {
            numbers.extend(event.id);
        }
    }
    assert_eq!(numbers, [1, 2, 3]);
    assert!(!parser.has_partial_event());
}

// Guards against a target that sends events without ids, and without end.
#[test]
fn events_without_ids_and_without_end_are_oversized() {
    let mut parser = EventParser::default();
    let mut pushed = 0;
    while !parser.is_oversized() {
        let piece = b"data: x\n\n".repeat(1_000);
        pushed += piece.len();
        parser.push(&piece);
        while parser.next_event().is_some() {}
        assert!(pushed <= 2 * 1024 * 1024, "{pushed} bytes without an id");
    }
}
