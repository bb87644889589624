//! Client of the routers' operator API.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use mulberryyoke_command::api::{CommandError, ErrorCode, Request as Command, Response};
use tokio::time::sleep;

use super::call::Client;
use super::error::Error;

/// Bearer token of the launcher.
pub const KEY: &str = "key-of-the-launchers-operator";
/// Maximum number of attempts of a command.
const MAX_ATTEMPTS: usize = 40;
/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Sends a command once with the given ID.
///
/// # Errors
///
/// If there is no response or it cannot be decoded.
///
/// # Panics
///
/// Never: commands can be encoded as JSON, and socket addresses are valid URI authorities.
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
    let body = serde_json::to_vec(&command).expect("commands can be encoded as JSON");
    let request = Request::post(format!("http://{router}/v1/command"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("the address is a valid authority");
    let response = client
        .request(request)
        .await
        .map_err(|error| format!("{error:?}"))?;
    let body = response.into_body().collect().await;
    let bytes = body.map_err(|error| error.to_string())?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|error| format!("{error}: {bytes:?}"))
}

/// Sends a command, retrying with the same ID until its outcome is known.
///
/// # Errors
///
/// If the outcome is still unknown after the last attempt.
pub async fn execute(
    client: &Client,
    router: SocketAddr,
    words: &[String],
    id: u64,
) -> Result<Response, Error> {
    let mut reason = String::new();
    for _ in 0..MAX_ATTEMPTS {
        match send(client, router, words, id).await {
            Ok(Response {
                error:
                    Some(
                        error @ CommandError {
                            code: ErrorCode::Unavailable | ErrorCode::Unknown,
                            ..
                        },
                    ),
                ..
            }) => reason = error.to_string(),
            Ok(response) => return Ok(response),
            Err(error) => reason = error,
        }
        sleep(RETRY_DELAY).await;
    }
    let words = words.join(" ");
    Err(Error::Command { words, reason })
}

/// Splits a command into words.
#[must_use]
pub fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}
