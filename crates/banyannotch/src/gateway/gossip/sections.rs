//! Optional sections after the message of a datagram.
//!
//! Gateways of earlier versions ignore bytes after the message, so that gateways of several versions can run beside each
//! other. Each section is a tag, a length and its content; sections with an unknown tag or unreadable content are skipped.

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Message;
use crate::gateway::dispatch::Sections;

/// Tag of the section with the era of the store.
const STORE_ERA_TAG: u8 = 1;

/// Tag of the section with what the gateway is as a helper.
const HELPER_TAG: u8 = 3;

/// Result of encoding or decoding a datagram.
pub type Result<T> = std::result::Result<T, postcard::Error>;

/// Appends the encoded sections.
///
/// # Errors
/// Returns the error of the encoder.
pub fn encode_sections(sections: &Sections, out: &mut Vec<u8>) -> Result<()> {
    if let Some(store_era) = sections.store_era {
        append(STORE_ERA_TAG, &store_era, out)?;
    }
    if let Some(helper) = sections.helper {
        append(HELPER_TAG, &helper, out)?;
    }
    Ok(())
}

/// Decodes the sections after a message. What cannot be read counts as absent.
pub fn decode_sections(mut bytes: &[u8]) -> Sections {
    let mut sections = Sections::default();
    while let Ok(((tag, content), rest)) = postcard::take_from_bytes::<(u8, &[u8])>(bytes) {
        if tag == STORE_ERA_TAG {
            sections.store_era = read(content).or(sections.store_era);
        } else if tag == HELPER_TAG {
            sections.helper = read(content).or(sections.helper);
        }
        bytes = rest;
    }
    sections
}

fn append<T: Serialize>(tag: u8, content: &T, out: &mut Vec<u8>) -> Result<()> {
    let content = postcard::to_allocvec(content)?;
    out.extend(postcard::to_allocvec(&(tag, content.as_slice()))?);
    Ok(())
}

fn read<T: DeserializeOwned>(content: &[u8]) -> Option<T> {
    match postcard::from_bytes(content) {
        Ok(value) => Some(value),
        Err(error) => {
            log::debug!("event=datagram_section_unreadable bytes={} error=\"{error}\"", content.len());
            None
        }
    }
}

/// Encodes a message and its sections.
///
/// # Errors
/// Returns the error of the encoder.
pub fn encode_datagram(message: &Message) -> Result<Vec<u8>> {
    let mut bytes = postcard::to_allocvec(message)?;
    encode_sections(&message.state().sections, &mut bytes)?;
    Ok(bytes)
}

/// Decodes a message and its sections, and sets the era of the positions in the message.
///
/// # Errors
/// Returns the error of the decoder if the message cannot be read.
pub fn decode_datagram(bytes: &[u8]) -> Result<Message> {
    let (mut message, rest) = postcard::take_from_bytes::<Message>(bytes)?;
    let sections = decode_sections(rest);
    message.set_era(sections.store_era.unwrap_or_default());
    message.state_mut().sections = sections;
    Ok(message)
}
