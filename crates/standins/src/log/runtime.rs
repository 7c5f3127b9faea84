//! HTTP codec of the log service's protocol.

use banyannotch::http::{Request, Response, ServerSettings, json, read_body};
use banyannotch::ids::LogOffset;
use serde_json::json as object;

use super::{Answer, Message, ReadRequest, Refused};
use crate::process::{Codec, DecodeError, Result, decode_json, query_number, segments};

/// Records in a page if the reader does not set `max`.
const DEFAULT_PAGE_RECORDS: u64 = 100;

/// Maximum number of records in a page.
const MAX_PAGE_RECORDS: u64 = 1_000;

/// Maximum wait of a reader for the first record, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

/// Codec of the log service's protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogCodec;

impl Codec for LogCodec {
    type Message = Message;
    type Answer = Answer;

    async fn decode(&self, request: &mut Request) -> Result<Message> {
        let path = request.path().to_owned();
        match (request.method().as_str(), segments(&path).as_slice()) {
            ("POST", ["v1", "streams", stream, "records"]) => {
                let body = read_body(request, &ServerSettings::default()).await?;
                let data = String::from_utf8(body.to_vec()).map_err(|_| DecodeError::NotText)?;
                Ok(Message::Append { stream: (*stream).to_owned(), data })
            }
            ("GET", ["v1", "streams", stream, "records"]) => {
                Ok(Message::Read(read_request(request, stream)?))
            }
            ("POST", ["control", "faults"]) => Ok(Message::SetFaults(decode_json(request).await?)),
            ("GET", ["control", "counts"]) => Ok(Message::Counts),
            _ => Err(DecodeError::no_such_path(request)),
        }
    }

    fn encode(&self, answer: &Answer) -> Response {
        match answer {
            Answer::Appended(appended) => json(200, appended),
            Answer::Records(records) => json(200, records),
            Answer::Refused(refused) => {
                let status = match refused {
                    Refused::OverRate => 429,
                    Refused::Down => 503,
                };
                json(status, &object!({ "error": refused.to_string() }))
            }
            Answer::Faults(faults) => json(200, faults),
            Answer::Counts(counts) => json(200, counts),
        }
    }
}

fn read_request(request: &Request, stream: &str) -> Result<ReadRequest> {
    let max = query_number(request, "max", DEFAULT_PAGE_RECORDS)?.clamp(1, MAX_PAGE_RECORDS);
    Ok(ReadRequest {
        stream: stream.to_owned(),
        from: LogOffset(query_number(request, "from", 1)?),
        max: usize::try_from(max).unwrap_or(1),
        wait_ms: query_number(request, "wait_ms", 0)?.min(MAX_WAIT_MS),
    })
}
