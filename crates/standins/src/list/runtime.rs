//! HTTP codec of the instance list's protocol.

use banyannotch::http::{Request, Response, json};
use serde_json::json as object;

use super::{Answer, Message};
use crate::process::{Codec, DecodeError, Result, decode_json};

/// Codec of the instance list's protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListCodec;

impl Codec for ListCodec {
    type Message = Message;
    type Answer = Answer;

    async fn decode(&self, request: &mut Request) -> Result<Message> {
        match (request.method().as_str(), request.path()) {
            ("GET", "/v1/instances") => Ok(Message::Read),
            ("POST", "/control/instances") => Ok(Message::Change(decode_json(request).await?)),
            ("POST", "/control/faults") => Ok(Message::SetFaults(decode_json(request).await?)),
            _ => Err(DecodeError::no_such_path(request)),
        }
    }

    fn encode(&self, answer: &Answer) -> Response {
        match answer {
            Answer::Instances(instances) => json(200, instances),
            Answer::Done => json(200, &object!({})),
            Answer::Down => json(503, &object!({ "error": "the instance list is down" })),
            Answer::Faults(faults) => json(200, faults),
        }
    }
}
