//! Options of the single requests.

use std::str::FromStr;

use banyannotch::pipeline::Address;
use bpaf::Bpaf;
use serde_json::Value;

/// One generation.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(ask_options))]
pub struct Ask {
    /// Entry to ask; the next one is asked when a connection breaks
    #[bpaf(long("entry"), argument("IP:PORT"), some("at least one --entry is needed"))]
    pub entries: Vec<Address>,
    /// Token of the team
    #[bpaf(argument("TOKEN"))]
    pub token: String,
    /// Model to run
    #[bpaf(argument("MODEL"))]
    pub model: String,
    /// Layers of the model, for the reference answer
    #[bpaf(argument("N"))]
    pub layers: u16,
    /// Version of the model, for the reference answer
    #[bpaf(argument("V"), fallback(1), display_fallback)]
    pub version: u32,
    /// Prompt text
    #[bpaf(argument("TEXT"))]
    pub prompt: String,
    /// Most tokens
    #[bpaf(argument("N"))]
    pub max_tokens: u32,
    /// Time to the deadline
    #[bpaf(argument("MS"))]
    pub deadline_ms: u64,
}

/// One call of a plain service.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(call_options))]
pub struct Call {
    /// Entry to call; the call is sent to the next one with the same key when a connection breaks
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
    /// When the key was made, in Unix milliseconds, or `now`
    #[bpaf(argument("MS"), optional)]
    pub key_time_ms: Option<KeyTime>,
    /// The call may run more than once
    pub idempotent: bool,
    /// Time to the deadline
    #[bpaf(argument("MS"), fallback(10_000), display_fallback)]
    pub deadline_ms: u64,
}

/// Posts JSON.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(post_options))]
pub struct Post {
    /// Address
    #[bpaf(positional("IP:PORT"))]
    pub address: Address,
    /// Path
    #[bpaf(positional("PATH"))]
    pub path: String,
    /// Body
    #[bpaf(positional::<JsonText>("JSON"), map(|text| text.0))]
    pub body: Value,
}

/// Fetches a path.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(get_options))]
pub struct Get {
    /// Address
    #[bpaf(positional("IP:PORT"))]
    pub address: Address,
    /// Path
    #[bpaf(positional("PATH"))]
    pub path: String,
}

/// When a key was made.
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

/// JSON on the command line.
struct JsonText(Value);

impl FromStr for JsonText {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        serde_json::from_str(text).map(Self)
    }
}
