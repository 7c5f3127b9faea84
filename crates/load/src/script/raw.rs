//! Plain HTTP requests whose answer is printed as it is.

use std::io::Write;

use banyannotch::http::{Answer, Client, ClientSettings};

use super::ask::print;
use super::{Get, Post};
use crate::{Result, Verdict};

/// Longest time of a request.
const LIMIT_MS: u64 = 10_000;

/// Posts JSON and prints the answer's body; an answer with an error status fails.
///
/// # Errors
/// Returns [`crate::LoadError`] when there is no answer, or nothing can be printed.
pub async fn post(post: &Post, output: &mut impl Write) -> Result<Verdict> {
    let client = Client::new(ClientSettings::default());
    show(&client.post(post.address, &post.path, &post.body, LIMIT_MS).await?, output)
}

/// Fetches a path and prints the answer's body; an answer with an error status fails.
///
/// # Errors
/// Returns [`crate::LoadError`] when there is no answer, or nothing can be printed.
pub async fn get(get: &Get, output: &mut impl Write) -> Result<Verdict> {
    let client = Client::new(ClientSettings::default());
    show(&client.get(get.address, &get.path, LIMIT_MS).await?, output)
}

fn show(answer: &Answer, output: &mut impl Write) -> Result<Verdict> {
    let body = String::from_utf8_lossy(&answer.body);
    print(output, &format!("{}\n", body.trim_end()))?;
    let success = (200..300).contains(&answer.status);
    if !success {
        log::error!("event=answered status={}", answer.status);
    }
    Ok(Verdict::of(success))
}
