//! Parting streams into events.

use cv_dispatch::EventParser;
use proptest::prelude::*;

#[test]
fn an_event_is_whole_only_with_its_empty_line() {
    let mut splitter = EventParser::default();
    splitter.push(b"id: 1\ndata: one\n");
    assert!(splitter.next_event().is_none());
    assert!(splitter.has_partial_event());
    splitter.push(b"\n");
    let event = splitter.next_event().expect("a whole event");
    assert_eq!((event.id, event.data.as_slice()), (Some(1), b"one".as_slice()));
    assert!(!splitter.has_partial_event());
}

#[test]
fn data_lines_are_joined_and_returns_are_taken_off() {
    let mut splitter = EventParser::default();
    splitter.push(b"id: 7\r\ndata: a\r\ndata:b\r\n\r\n");
    let event = splitter.next_event().expect("a whole event");
    assert_eq!((event.id, event.data.as_slice()), (Some(7), b"a\nb".as_slice()));
}

proptest! {
    #[test]
    fn cuts_change_nothing(cuts in proptest::collection::vec(0usize..120, 0..6)) {
        let stream: Vec<u8> = (1..=6)
            .flat_map(|number| format!("id: {number}\ndata: piece {number}\n\n").into_bytes())
            .collect();
        let mut places: Vec<usize> = cuts.iter().map(|cut| cut % stream.len()).collect();
        places.extend([0, stream.len()]);
        places.sort_unstable();
        let mut splitter = EventParser::default();
        let mut events = Vec::new();
        for pair in places.windows(2) {
            splitter.push(&stream[pair[0]..pair[1]]);
            while let Some(event) = splitter.next_event() {
                events.push(event);
            }
        }
        let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.clone()).collect();
        prop_assert_eq!(raw, stream);
        let numbers: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
        prop_assert_eq!(numbers, (1..=6).collect::<Vec<u64>>());
    }
}
