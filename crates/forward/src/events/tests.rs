use proptest::prelude::*;

use super::{Event, EventSplitter};

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nversion: 2\nid: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\nid: 4\nda";

fn read(chunks: &[&[u8]]) -> (Vec<Event>, Vec<u8>) {
    let (mut events, mut out) = (EventSplitter::default(), Vec::new());
    for chunk in chunks {
        events.push(chunk).unwrap();
        while let Some(event) = events.next_event() {
            out.push(event);
        }
    }
    (out, events.buf.to_vec())
}

#[test]
fn complete_events_are_returned_with_ids_and_a_partial_one_is_buffered() {
    let (events, rest) = read(&[STREAM]);
    let ids: Vec<_> = events.iter().map(|e| e.id).collect();
    assert_eq!(ids, [Some(1), Some(2), Some(3)]);
    assert_eq!(rest, b"id: 4\nda");
    let whole: Vec<u8> = events.iter().flat_map(|e| e.bytes.to_vec()).collect();
    assert_eq!([whole, rest].concat(), STREAM);
}

proptest! {
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        cuts in proptest::collection::vec(0..STREAM.len(), 0..8),
    ) {
        let mut cuts = cuts;
        cuts.extend([0, STREAM.len()]);
        cuts.sort_unstable();
        let chunks: Vec<&[u8]> = cuts.windows(2).map(|w| &STREAM[w[0]..w[1]]).collect();
        prop_assert_eq!(read(&chunks), read(&[STREAM]));
    }
}

/// Guards against relaying the head of another response, and against breaking off a stream whose
/// events have further fields or quote such a head.
#[test]
fn response_heads_are_detected_only_at_the_start_of_a_line() {
    let has_head = |text: &'static str| {
        let (events, _) = read(&[text.as_bytes()]);
        events.iter().any(Event::has_response_head)
    };
    assert!(has_head("HTTP/1.1 500 Internal Server Error\r\n\r\n"));
    assert!(has_head(
        "id: 3\ndata: e\nHTTP/1.0 200 OK\r\nDate: x\r\n\r\n"
    ));
    assert!(has_head(
        "data: eHTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\n"
    ));
    assert!(!has_head(
        "version: 2\ndata: HTTP/1.1 500 No\ndata: Content-Length: 3\n\n"
    ));
    assert!(!has_head(": comment\n\ndata: HTTP/1.1\n\n"));
}
