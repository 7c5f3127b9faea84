//! HTTP encoding of the plain services' protocol.

use banyannotch::http::{Request, Response, json};
use serde_json::json as object;

use super::{Answer, Message, Refused};
use crate::process::{Codec, DecodeError, Result, decode_json};

/// Codec for the plain services' protocol and its control interface.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceCodec;

impl Codec for ServiceCodec {
    type Message = Message;
    type Answer = Answer;

    async fn decode(&self, request: &mut Request) -> Result<Message> {
        match (request.method().as_str(), request.path()) {
            ("POST", "/v1/call") => Ok(Message::Call(decode_json(request).await?)),
            ("GET", "/v1/load") => Ok(Message::Load),
            ("POST", "/control/faults") => Ok(Message::SetFaults(decode_json(request).await?)),
            ("GET", "/control/counts") => Ok(Message::Counts),
            _ => Err(DecodeError::no_such_path(request)),
        }
    }

    fn encode(&self, answer: &Answer) -> Response {
        match answer {
            Answer::Called(answer) => json(200, answer),
            Answer::Refused(Refused::UnknownOperation { operations }) => {
                json(409, &object!({ "error": "refused", "expected": operations }))
            }
            Answer::Refused(refused) => {
                json(409, &object!({ "error": "refused", "expected": refused.to_string() }))
            }
            Answer::Load(load) => json(200, load),
            Answer::Faults(faults) => json(200, faults),
            Answer::Counts(counts) => json(200, counts),
        }
    }
}
