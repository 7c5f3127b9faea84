//! Guards against events that are lost or merged because a chunk boundary falls inside an event, and against
//! malformed events that are accepted.

use super::EventParser;

const STREAM: &str = "event: token\ndata: {\"index\":0,\"id\":7,\"text\":\" ba\"}\n\n\
                      event: outcome\ndata: {\"outcome\":\"completed\",\"reason\":null,\"tokens\":1}\n\n";

#[test]
fn events_do_not_depend_on_chunk_size() {
    let whole = events(STREAM.len());
    insta::assert_debug_snapshot!(whole);
    for chunk_bytes in 1..STREAM.len() {
        assert_eq!(
            events(chunk_bytes),
            whole,
            "expected the same events in chunks of {chunk_bytes} bytes as in one chunk"
        );
    }
}

#[test]
fn malformed_event_is_an_error() {
    let mut parser = EventParser::default();
    parser.push(b"event: token\ndata: {\"index\":\"x\"}\n\n");
    insta::assert_debug_snapshot!(parser.next_event());
}

fn events(chunk_bytes: usize) -> Vec<super::Event> {
    let mut parser = EventParser::default();
    let mut events = Vec::new();
    for chunk in STREAM.as_bytes().chunks(chunk_bytes) {
        parser.push(chunk);
        while let Some(event) = parser.next_event().expect("the event is well-formed") {
            events.push(event);
        }
    }
    events
}
