//! Guards against events that are lost or merged when their bytes arrive in other pieces.

use super::EventParser;

const STREAM: &str = "event: token\ndata: {\"index\":0,\"id\":7,\"text\":\" ba\"}\n\n\
                      event: outcome\ndata: {\"outcome\":\"completed\",\"reason\":null,\"tokens\":1}\n\n";

#[test]
fn events_are_the_same_in_pieces_of_any_size() {
    let whole = events(STREAM.len());
    insta::assert_debug_snapshot!(whole);
    for size in 1..STREAM.len() {
        assert_eq!(events(size), whole, "pieces of {size} bytes");
    }
}

#[test]
fn what_is_not_an_event_is_an_error() {
    let mut parser = EventParser::default();
    parser.push(b"event: token\ndata: {\"index\":\"x\"}\n\n");
    insta::assert_debug_snapshot!(parser.next_event());
}

fn events(size: usize) -> Vec<super::Event> {
    let mut parser = EventParser::default();
    let mut events = Vec::new();
    for piece in STREAM.as_bytes().chunks(size) {
        parser.push(piece);
        while let Some(event) = parser.next_event().expect("events of the protocol") {
            events.push(event);
        }
    }
    events
}
