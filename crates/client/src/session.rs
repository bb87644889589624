//! Commands of one run of the client.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use std::{env, fs};

use bytes::Bytes;
use mulberryyoke_command::api::{CommandError, ErrorCode, Output, Request, Response};
use tokio::time::{sleep, timeout_at};

use crate::args::Args;
use crate::error::Error;
use crate::http;

/// Where an operator port is when none is named.
const DEFAULT: (Ipv4Addr, u16) = (Ipv4Addr::LOCALHOST, 7003);

/// Variable with the operator's key.
const KEY: &str = "MULBERRYYOKE_KEY";

/// Variable with operator ports, separated by commas.
const ROUTER: &str = "MULBERRYYOKE_ROUTER";

/// Pause after all routers have failed.
const PAUSE: Duration = Duration::from_millis(200);

/// Routers, key and deadline of one run.
#[derive(Debug)]
pub(crate) struct Session {
    routers: Vec<SocketAddr>,
    key: String,
    command: u64,
    deadline: Instant,
}

impl Session {
    /// Opens what the options name.
    ///
    /// # Errors
    ///
    /// [`Error::Key`] and [`Error::NoKey`] without an operator's key,
    /// [`Error::Usage`] with addresses that are none.
    pub(crate) fn open(args: &Args) -> Result<Self, Error> {
        Ok(Self {
            routers: routers(args)?,
            key: key(args)?,
            command: args.command.unwrap_or_else(rand::random),
            deadline: Instant::now() + Duration::from_secs(args.timeout),
        })
    }

    /// When the run gives up.
    pub(crate) const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Sends the run's command. It is sent again, under the same identity, to
    /// the next router when an answer was lost, until the deadline.
    ///
    /// # Errors
    ///
    /// [`Error::Command`] by a router, [`Error::Unreachable`] without an answer.
    pub(crate) async fn send(&self, words: &[String]) -> Result<Output, Error> {
        self.ask(words, Some(self.command)).await
    }

    /// Sends a query beside the run's command.
    ///
    /// # Errors
    ///
    /// As [`Session::send`].
    pub(crate) async fn query(&self, words: &[String]) -> Result<Output, Error> {
        self.ask(words, None).await
    }

    async fn ask(&self, words: &[String], command: Option<u64>) -> Result<Output, Error> {
        let words = words.to_vec();
        let request = Request { words, command };
        let body = serde_json::to_vec(&request)
            .map_err(|e| Error::Protocol(format!("could not serialize request: {e}")))?;
        let body = Bytes::from(body);
        let mut last = None;
        loop {
            for router in &self.routers {
                match self.post(*router, &body).await {
                    Ok(answer) => return Ok(answer),
                    Err(error) if is_final(&error) => return Err(error),
                    Err(error) => last = Some(error),
                }
            }
            if Instant::now() + PAUSE >= self.deadline {
                return Err(
                    last.unwrap_or_else(|| Error::Unreachable("no router configured".to_owned()))
                );
            }
            sleep(PAUSE).await;
        }
    }

    async fn post(&self, router: SocketAddr, body: &Bytes) -> Result<Output, Error> {
        let post = http::post(router, &self.key, body.clone());
        let late = |_| Error::Unreachable(format!("{router}: timed out waiting for a response"));
        let bytes = timeout_at(self.deadline.into(), post).await.map_err(late)?;
        let bytes = bytes.map_err(Error::Unreachable)?;
        let response: Response = serde_json::from_slice(&bytes)
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

/// Whether asking again cannot help.
fn is_final(error: &Error) -> bool {
    match error {
        Error::Unreachable(_) => false,
        Error::Command(CommandError { code, conflict, .. }) => {
            *code != ErrorCode::Unknown || conflict.is_some()
        }
        _ => true,
    }
}

fn routers(args: &Args) -> Result<Vec<SocketAddr>, Error> {
    if !args.router.is_empty() {
        return Ok(args.router.clone());
    }
    let Ok(text) = env::var(ROUTER) else {
        return Ok(vec![SocketAddr::from(DEFAULT)]);
    };
    let routers = text.split(',').map(|address| address.trim().parse());
    let routers = routers.collect::<Result<Vec<SocketAddr>, _>>();
    routers.map_err(|e| Error::Usage(format!("{ROUTER}: {text}: {e}; expected IP:PORT,...")))
}

fn key(args: &Args) -> Result<String, Error> {
    let Some(path) = &args.key_file else {
        return env::var(KEY).map_err(|_| Error::NoKey);
    };
    let read = |source| Error::Key {
        path: path.clone(),
        source,
    };
    let text = fs::read_to_string(path).map_err(read)?;
    Ok(text.trim().to_owned())
}
