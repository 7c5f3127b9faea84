//! HTTP encoding of the engine's protocol.

use banyannotch::http::{Request, Response, json};
use serde_json::{Value, json as object};

use super::{Answer, Message, Refused};
use crate::process::{Codec, DecodeError, Result, decode_json, query_number};

/// Codec for the engine's protocol and its control interface.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineCodec;

impl Codec for EngineCodec {
    type Message = Message;
    type Answer = Answer;

    async fn decode(&self, request: &mut Request) -> Result<Message> {
        let decoded = match (request.method().as_str(), request.path()) {
            ("POST", "/v1/step") => Message::Step(decode_json(request).await?),
            ("POST", "/v1/cancel") => Message::Cancel(decode_json(request).await?),
            ("POST", "/v1/kv/export") => Message::Export(decode_json(request).await?),
            ("POST", "/v1/kv/import") => Message::Import(decode_json(request).await?),
            ("GET", "/v1/load") => Message::Load,
            ("GET", "/v1/cache-events") => Message::CacheEvents { from: query_number(request, "from", 0)? },
            ("POST", "/v1/orders") => Message::Order(decode_json(request).await?),
            ("POST", "/control/faults") => Message::SetFaults(decode_json(request).await?),
            ("GET", "/control/counts") => Message::Counts,
            ("GET", "/control/requests") => Message::Requests,
            _ => return Err(DecodeError::no_such_path(request)),
        };
        Ok(decoded)
    }

    fn encode(&self, answer: &Answer) -> Response {
        match answer {
            Answer::Step(answer) => json(200, answer),
            Answer::Refused(refused) => json(409, &refusal(refused)),
            Answer::Done => json(200, &object!({})),
            Answer::State(state) => json(200, state),
            Answer::Load(load) => json(200, load),
            Answer::CacheEvents(events) => json(200, events),
            Answer::Faults(faults) => json(200, faults),
            Answer::Counts(counts) => json(200, counts),
            Answer::Requests(requests) => json(200, &object!({ "requests": requests })),
        }
    }
}

fn refusal(refused: &Refused) -> Value {
    match refused {
        Refused::CacheMismatch { positions } => object!({ "error": "cache_mismatch", "expected": positions }),
        Refused::WrongLayers { held } => object!({ "error": "wrong_layers", "expected": held }),
        Refused::WrongVersion { held } => object!({ "error": "wrong_version", "expected": held }),
        Refused::UnknownModel { held } => object!({ "error": "unknown_model", "expected": held }),
        Refused::Leaving => object!({ "error": "leaving" }),
        Refused::Busy { reason } => object!({ "error": "busy", "expected": reason }),
        Refused::BadInput { expected } => object!({ "error": "bad_input", "expected": expected }),
        Refused::StaleFencing { current } => {
            object!({ "error": "stale_fencing", "current": current, "expected": current })
        }
        Refused::Fault { error } => object!({ "error": error }),
    }
}
