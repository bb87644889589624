//! HTTP requests and responses of the operator API.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use mulberryyoke_command::api::{self, CommandError, ErrorCode, Output};
use mulberryyoke_event::{Event, log};
use slog::Logger;

use super::access::Access;
use super::author::Author;
use super::executor::{self, Executor};
use super::gauges;
use super::router_state::RouterState;
use crate::{clock, metric};

/// Maximum size of a command body.
const MAX_COMMAND_BYTES: usize = 256 << 10;

/// Handles HTTP requests of the operator API.
pub(crate) struct Handler {
    pub(crate) access: Access,
    pub(crate) executor: Executor,
    pub(crate) router: Arc<dyn RouterState>,
    pub(crate) logger: Logger,
}

impl Handler {
    pub(crate) async fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let path = request.uri().path().to_owned();
        let response = match (request.method(), path.as_str()) {
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") if self.router.is_ready() => text(StatusCode::OK, "ready\n"),
            (&Method::GET, "/readyz") => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            (&Method::GET, "/metrics") => {
                gauges::update(&*self.router);
                text(StatusCode::OK, metric::render())
            }
            (&Method::POST, "/v1/command") => self.command(request, peer).await,
            (_, "/healthz" | "/readyz" | "/metrics" | "/v1/command") => {
                text(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n")
            }
            _ => text(StatusCode::NOT_FOUND, "not found\n"),
        };
        Ok(response)
    }

    async fn command(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Full<Bytes>> {
        let Some(operator) = self.access.operator(request.headers()) else {
            log!(self.logger, Event::OperatorDenied, "peer" => peer.to_string());
            let error = CommandError::new(ErrorCode::Denied, "bearer key of an operator required");
            return reply(Err(error));
        };
        let operator = operator.to_owned();
        let request = match parse_request(request.into_body()).await {
            Ok(request) => request,
            Err(error) => return reply(Err(error)),
        };
        let author = Author {
            command: request.command.unwrap_or_else(rand::random),
            operator,
            words: executor::redacted_words(&request),
            at: clock::now(),
        };
        let result = self.executor.run(&request, &author).await;
        self.audit(&author, &result);
        reply(result)
    }

    fn audit(&self, author: &Author, result: &Result<Output, CommandError>) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(error) => error.code.as_str(),
        };
        let revision = match result {
            Ok(Output::Written(written)) => written.revision,
            _ => 0,
        };
        metrics::counter!("operator_commands_total", "result" => outcome).increment(1);
        log!(
            self.logger, Event::Commanded,
            "operator" => &author.operator,
            "command" => format!("{:016x}", author.command),
            "words" => &author.words,
            "result" => outcome,
            "revision" => revision
        );
    }
}

async fn parse_request(body: Incoming) -> Result<api::Request, CommandError> {
    let usage = |reason: String| CommandError::new(ErrorCode::Usage, format!("body: {reason}"));
    let body = Limited::new(body, MAX_COMMAND_BYTES).collect().await;
    let bytes = body.map_err(|e| usage(e.to_string()))?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|e| usage(e.to_string()))
}

fn reply(result: Result<Output, CommandError>) -> Response<Full<Bytes>> {
    let status = match &result {
        Ok(_) => StatusCode::OK,
        Err(error) => status(error.code),
    };
    let mut body = serde_json::to_vec(&api::Response::from(result)).unwrap_or_default();
    body.push(b'\n');
    respond(status, "application/json", Bytes::from(body))
}

fn status(code: ErrorCode) -> StatusCode {
    StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn text(status: StatusCode, text: impl Into<String>) -> Response<Full<Bytes>> {
    respond(
        status,
        "text/plain; charset=utf-8",
        Bytes::from(text.into()),
    )
}

fn respond(status: StatusCode, kind: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
