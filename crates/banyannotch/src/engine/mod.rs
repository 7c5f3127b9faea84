//! The endpoints' published protocol: wire types and the client that speaks it.
//!
//! Decisions do not use these types; the threads translate. See "Protocols" in `docs/design.md`.

mod client;
mod wire;

pub use client::{EndpointClient, StepError};
pub use wire::{
    CacheEvent, CacheEventKind, CacheEvents, CacheName, CacheState, CallAnswer, CallRequest, EngineLoad,
    Input, Order, Output, Refusal, ServiceLoad, StepAnswer, StepRequest, Token,
};
