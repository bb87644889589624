//! Operators' commands, sent to a router's operator port.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use mulberryyoke_command::api::{CommandError, ErrorCode, Request as Command, Response};
use tokio::time::sleep;

use super::call::Client;
use super::error::Error;

/// Bearer key of the launcher's operator.
pub const KEY: &str = "key-of-the-launchers-operator";
/// Most sendings of one command.
const MOST_SENDINGS: usize = 40;
/// Pause between two of them.
const PAUSE: Duration = Duration::from_millis(250);

/// Sends a command once.
///
/// # Errors
///
/// An answer that did not come or cannot be read.
///
/// # Panics
///
/// Never: every command has a JSON form and every address is one of a URI.
pub async fn send(
    client: &Client,
    router: SocketAddr,
    words: &[String],
    id: u64,
) -> Result<Response, String> {
    let command = Command {
        words: words.to_vec(),
        command: Some(id),
    };
    let body = serde_json::to_vec(&command).expect("commands have a JSON form");
    let request = Request::post(format!("http://{router}/v1/command"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("addresses make addresses");
    let answer = client
        .request(request)
        .await
        .map_err(|error| format!("{error:?}"))?;
    let body = answer.into_body().collect().await;
    let bytes = body.map_err(|error| error.to_string())?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|error| format!("{error}: {bytes:?}"))
}

/// Sends a command under one id until its result is known.
///
/// # Errors
///
/// A command whose result did not become known.
pub async fn execute(
    client: &Client,
    router: SocketAddr,
    words: &[String],
    id: u64,
) -> Result<Response, Error> {
    let mut reason = String::new();
    for _ in 0..MOST_SENDINGS {
        match send(client, router, words, id).await {
            Ok(Response {
                error:
                    Some(
                        refusal @ CommandError {
                            code: ErrorCode::Unavailable | ErrorCode::Unknown,
                            ..
                        },
                    ),
                ..
            }) => reason = refusal.to_string(),
            Ok(reply) => return Ok(reply),
            Err(error) => reason = error,
        }
        sleep(PAUSE).await;
    }
    let words = words.join(" ");
    Err(Error::Command { words, reason })
}

/// Splits a command into words.
#[must_use]
pub fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}
