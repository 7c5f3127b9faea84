//! Tests that a truncated body is never taken for a complete one, and that ambiguous framing, which would
//! allow request smuggling, is rejected.

use bytes::BytesMut;

use super::{BodyDecoder, Decoded, Framing, HttpError, parse_request, parse_response};

fn decode(framing: Framing, input: &str) -> String {
    let mut buffer = BytesMut::from(input);
    let mut decoder = BodyDecoder::new(framing);
    let mut text = String::new();
    loop {
        match decoder.decode(&mut buffer) {
            Ok(Decoded::Data(data)) => text.push_str(&String::from_utf8_lossy(&data)),
            Ok(Decoded::NeedMore) => {
                let open = if decoder.ends_with_connection() { "ends with connection" } else { "incomplete" };
                return format!("{text:?} {open}, {} bytes left", buffer.len());
            }
            Ok(Decoded::End) => return format!("{text:?} complete, {} bytes left", buffer.len()),
            Err(error) => return format!("{text:?} {error}"),
        }
    }
}

#[test]
fn body_is_complete_only_when_its_framing_ends() {
    let cases = [
        (Framing::Length(3), "abc"),
        (Framing::Length(3), "ab"),
        (Framing::Length(3), "abcHTTP/1.1 200 OK"),
        (Framing::Chunked, "3\r\nabc\r\n0\r\n\r\n"),
        (Framing::Chunked, "3\r\nabc\r\n0\r\n"),
        (Framing::Chunked, "3\r\nabcd\r\n0\r\n\r\n"),
        (Framing::Chunked, "3;x=y\r\nabc\r\n0\r\nTrailer: 1\r\n\r\nrest"),
        (Framing::Chunked, "-3\r\nabc\r\n"),
        (Framing::Chunked, "zz\r\n"),
        (Framing::UntilClose, "abc"),
    ];
    let results: Vec<_> = cases
        .iter()
        .map(|(framing, input)| format!("{framing:?} {input:?}: {}", decode(*framing, input)))
        .collect();
    insta::assert_snapshot!(results.join("\n"));
}

fn request(text: &str) -> String {
    match parse_request(&mut BytesMut::from(text), 256) {
        Ok(Some(head)) => {
            format!("{} {} {:?}", head.method, head.target, head.framing().map_err(|e| e.to_string()))
        }
        Ok(None) => "incomplete".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn request_head_with_ambiguous_framing_is_rejected() {
    let long = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(300));
    let cases = [
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
        "GET /a HTTP/1.1\r\n",
        "\u{1}\u{2} /a\r\n\r\n",
        &long,
    ];
    let results: Vec<_> = cases.iter().map(|case| request(case)).collect();
    insta::assert_snapshot!(results.join("\n"));
}

/// A status that HTTP does not have would reach the caller in a status line that it cannot read, or as a response whose meaning
/// it has to guess.
#[test]
fn a_status_that_http_does_not_have_is_rejected() {
    let invalid = [
        "000", "001", "099", "600", "999", "1000", "2000", "0200", "20", "2", "", "+200", "-200", "+20",
        "2O0", "abc", " 200", "20 0", "2.0", "0x2", "\t200",
    ];
    let valid = ["100", "101", "200", "503", "599"];
    let cases = invalid.map(|status| (status, false)).into_iter().chain(valid.map(|status| (status, true)));
    for (status, is_valid) in cases {
        for reason in [" Any", " ", ""] {
            let mut buffer = BytesMut::from(&*format!("HTTP/1.1 {status}{reason}\r\n\r\n"));
            let parsed = parse_response(&mut buffer, 256);
            assert_eq!(matches!(parsed, Ok(Some(_))), is_valid, "{status:?}{reason:?}: {parsed:?}");
            assert_eq!(
                matches!(parsed, Err(HttpError::Malformed(_))),
                !is_valid,
                "{status:?}{reason:?}: {parsed:?}"
            );
        }
    }
}

#[test]
fn invalid_response_head_is_rejected_and_valid_head_is_parsed() {
    let mut buffer = BytesMut::from("garbage in place of an answer\r\n\r\n");
    assert!(matches!(parse_response(&mut buffer, 256), Err(HttpError::Malformed(_))));
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=7, max=3\r\n\r\nabc");
    let head = parse_response(&mut buffer, 256).unwrap().unwrap();
    assert_eq!(
        (head.status, head.keep_alive_timeout_ms(), head.framing().unwrap()),
        (200, Some(7_000), Framing::UntilClose)
    );
}
