//! Options of the commands for single requests.

use std::str::FromStr;

use banyannotch::pipeline::Address;
use bpaf::Bpaf;
use serde_json::Value;

/// Options of one generation.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(ask_options))]
pub struct Ask {
    /// Entry to send the request to; if its connection breaks, the next one is used
    #[bpaf(long("entry"), argument("IP:PORT"), some("at least one --entry is needed"))]
    pub entries: Vec<Address>,
    /// Token of the team
    #[bpaf(argument("TOKEN"))]
    pub token: String,
    /// Model to run
    #[bpaf(argument("MODEL"))]
    pub model: String,
    /// Number of layers of the model, for the reference answer
    #[bpaf(argument("N"))]
    pub layers: u16,
    /// Version of the model, for the reference answer
    #[bpaf(argument("V"), fallback(1), display_fallback)]
    pub version: u32,
    /// Prompt text
    #[bpaf(argument("TEXT"))]
    pub prompt: String,
    /// Maximum number of tokens
    #[bpaf(argument("N"))]
    pub max_tokens: u32,
    /// Time from sending to the deadline
    #[bpaf(argument("MS"))]
    pub deadline_ms: u64,
}

/// Options of one call of a plain service.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(call_options))]
pub struct Call {
    /// Entry to send the call to; if its connection breaks, the call is sent to the next one with the same
    /// key
    #[bpaf(long("entry"), argument("IP:PORT"), some("at least one --entry is needed"))]
    pub entries: Vec<Address>,
    /// Token of the team
    #[bpaf(argument("TOKEN"))]
    pub token: String,
    /// Service to call
    #[bpaf(argument("SERVICE"))]
    pub service: String,
    /// Operation of the service
    #[bpaf(argument("OPERATION"))]
    pub operation: String,
    /// Argument of the operation
    #[bpaf(argument::<JsonText>("JSON"), map(|text| text.0))]
    pub payload: Value,
    /// Key of a call that must not run twice
    #[bpaf(argument("KEY"), optional)]
    pub key: Option<String>,
    /// Creation time of the key in Unix milliseconds, or `now`
    #[bpaf(argument("MS"), optional)]
    pub key_time_ms: Option<KeyTime>,
    /// The call may run more than once
    pub idempotent: bool,
    /// Time from sending to the deadline
    #[bpaf(argument("MS"), fallback(10_000), display_fallback)]
    pub deadline_ms: u64,
}

/// Options of a POST request with JSON.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(post_options))]
pub struct Post {
    /// Address of the server
    #[bpaf(positional("IP:PORT"))]
    pub address: Address,
    /// Path of the request
    #[bpaf(positional("PATH"))]
    pub path: String,
    /// Body of the request
    #[bpaf(positional::<JsonText>("JSON"), map(|text| text.0))]
    pub body: Value,
}

/// Options of a GET request.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(get_options))]
pub struct Get {
    /// Address of the server
    #[bpaf(positional("IP:PORT"))]
    pub address: Address,
    /// Path of the request
    #[bpaf(positional("PATH"))]
    pub path: String,
}

/// Creation time of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyTime {
    /// The time of the call.
    Now,
    /// Unix time in milliseconds.
    UnixMs(u64),
}

impl FromStr for KeyTime {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "now" { Ok(Self::Now) } else { text.parse().map(Self::UnixMs) }
    }
}

/// JSON text given on the command line.
struct JsonText(Value);

impl FromStr for JsonText {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        serde_json::from_str(text).map(Self)
    }
}
