//! The `post` and `get` commands: plain HTTP requests whose response body is printed.

use std::io::Write;

use banyannotch::http::{Answer, Client, ClientSettings};

use super::ask::print;
use super::{Get, Post};
use crate::{Result, Verdict};

/// Timeout of a request.
const REQUEST_TIMEOUT_MS: u64 = 10_000;

/// Sends a POST request with JSON and prints the response body. A status other than 2xx fails the command.
///
/// # Errors
/// Returns [`crate::LoadError`] when there is no response or the output cannot be written.
pub async fn post(post: &Post, output: &mut impl Write) -> Result<Verdict> {
    let client = Client::new(ClientSettings::default());
    print_response(&client.post(post.address, &post.path, &post.body, REQUEST_TIMEOUT_MS).await?, output)
}

/// Sends a GET request and prints the response body. A status other than 2xx fails the command.
///
/// # Errors
/// Returns [`crate::LoadError`] when there is no response or the output cannot be written.
pub async fn get(get: &Get, output: &mut impl Write) -> Result<Verdict> {
    let client = Client::new(ClientSettings::default());
    print_response(&client.get(get.address, &get.path, REQUEST_TIMEOUT_MS).await?, output)
}

fn print_response(answer: &Answer, output: &mut impl Write) -> Result<Verdict> {
    let body = String::from_utf8_lossy(&answer.body);
    print(output, &format!("{}\n", body.trim_end()))?;
    let success = (200..300).contains(&answer.status);
    if !success {
        log::error!("event=answered status={}", answer.status);
    }
    Ok(Verdict::of(success))
}
