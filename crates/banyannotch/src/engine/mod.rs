//! The published protocol of the endpoints: wire types and a client.
//!
//! Policies do not use these types; the threads of the duties convert them. See "Protocols" in `docs/design.md`.

mod client;
mod wire;

pub use client::{EndpointClient, EndpointError};
pub use wire::{
    CacheEvent, CacheEventKind, CacheEvents, CacheName, CacheState, CallAnswer, CallRequest, EngineLoad,
    Input, Order, Output, Refusal, ServiceLoad, StepAnswer, StepRequest, Token,
};
