//! Sending commands to routers.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use std::{env, fs};

use bytes::Bytes;
use mulberryyoke_command::api::{CommandError, ErrorCode, Output, Request, Response};
use tokio::time::{sleep, timeout_at};

use crate::args::Args;
use crate::error::Error;
use crate::http;

/// Default address of the operator port.
const DEFAULT_ROUTER: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 7003);

/// Environment variable with the operator's bearer key.
const KEY_VAR: &str = "MULBERRYYOKE_KEY";

/// Environment variable with comma-separated addresses of operator ports.
const ROUTER_VAR: &str = "MULBERRYYOKE_ROUTER";

/// Delay before the routers are tried again after all of them failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Routers, bearer key, command ID and deadline of a run of the client.
#[derive(Debug)]
pub(crate) struct Session {
    routers: Vec<SocketAddr>,
    key: String,
    command_id: u64,
    deadline: Instant,
}

impl Session {
    /// Creates a session from the options and the environment.
    ///
    /// # Errors
    ///
    /// [`Error::Key`] or [`Error::NoKey`] if the bearer key is unreadable or missing,
    /// [`Error::Usage`] if the environment has invalid addresses.
    pub(crate) fn from_args(args: &Args) -> Result<Self, Error> {
        Ok(Self {
            routers: router_addresses(args)?,
            key: bearer_key(args)?,
            command_id: args.command.unwrap_or_else(rand::random),
            deadline: Instant::now() + Duration::from_secs(args.timeout),
        })
    }

    pub(crate) const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Sends the command of the run. After a lost response it is sent to the next router
    /// with the same command ID, until the deadline.
    ///
    /// # Errors
    ///
    /// [`Error::Command`] if the command failed, [`Error::Unreachable`] if no router
    /// responded, [`Error::Protocol`] if the response is invalid.
    pub(crate) async fn send(&self, words: &[String]) -> Result<Output, Error> {
        self.send_with_retries(words, Some(self.command_id)).await
    }

    /// Sends a query without the command ID of the run.
    ///
    /// # Errors
    ///
    /// As [`Session::send`].
    pub(crate) async fn query(&self, words: &[String]) -> Result<Output, Error> {
        self.send_with_retries(words, None).await
    }

    async fn send_with_retries(
        &self,
        words: &[String],
        command_id: Option<u64>,
    ) -> Result<Output, Error> {
        let request = Request {
            words: words.to_vec(),
            command: command_id,
        };
        let body = serde_json::to_vec(&request)
            .map_err(|e| Error::Protocol(format!("could not serialize request: {e}")))?;
        let body = Bytes::from(body);
        let mut last_error = None;
        loop {
            for router in &self.routers {
                match self.post(*router, &body).await {
                    Ok(output) => return Ok(output),
                    Err(error) if is_permanent(&error) => return Err(error),
                    Err(error) => last_error = Some(error),
                }
            }
            if Instant::now() + RETRY_DELAY >= self.deadline {
                let no_router = || Error::Unreachable("no router configured".to_owned());
                return Err(last_error.unwrap_or_else(no_router));
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn post(&self, router: SocketAddr, body: &Bytes) -> Result<Output, Error> {
        let post = http::post(router, &self.key, body.clone());
        let timed_out =
            |_| Error::Unreachable(format!("{router}: timed out waiting for a response"));
        let result = timeout_at(self.deadline.into(), post).await;
        let body = result.map_err(timed_out)?.map_err(Error::Unreachable)?;
        let response: Response = serde_json::from_slice(&body)
            .map_err(|e| Error::Protocol(format!("could not parse response: {e}")))?;
        match (response.answer, response.error) {
            (Some(output), _) => Ok(output),
            (None, Some(error)) => Err(Error::Command(error)),
            (None, None) => Err(Error::Protocol(
                "response has neither output nor error".to_owned(),
            )),
        }
    }
}

/// Whether the command is not retried after this error.
fn is_permanent(error: &Error) -> bool {
    match error {
        Error::Unreachable(_) => false,
        Error::Command(CommandError { code, conflict, .. }) => {
            *code != ErrorCode::Unknown || conflict.is_some()
        }
        _ => true,
    }
}

fn router_addresses(args: &Args) -> Result<Vec<SocketAddr>, Error> {
    if !args.router.is_empty() {
        return Ok(args.router.clone());
    }
    let Ok(text) = env::var(ROUTER_VAR) else {
        return Ok(vec![SocketAddr::from(DEFAULT_ROUTER)]);
    };
    let addresses = text.split(',').map(|address| address.trim().parse());
    let addresses = addresses.collect::<Result<Vec<SocketAddr>, _>>();
    addresses.map_err(|e| Error::Usage(format!("{ROUTER_VAR}: {text}: {e}; expected IP:PORT,...")))
}

fn bearer_key(args: &Args) -> Result<String, Error> {
    let Some(path) = &args.key_file else {
        return env::var(KEY_VAR).map_err(|_| Error::NoKey);
    };
    let read_error = |source| Error::Key {
        path: path.clone(),
        source,
    };
    let text = fs::read_to_string(path).map_err(read_error)?;
    Ok(text.trim().to_owned())
}
