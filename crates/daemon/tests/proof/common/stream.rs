//! An answer that a caller reads piece by piece.

use std::net::SocketAddr;

use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::Request;

/// An answer that a caller reads piece by piece.
#[derive(Debug)]
pub(crate) struct Stream {
    body: Incoming,
    /// The fleet's name of the request.
    pub(crate) id: String,
    /// What was read so far.
    pub(crate) text: String,
}

impl Stream {
    /// Sends a request and reads the head of its answer, which must be a good one.
    pub(crate) async fn open(request: &Request, router: SocketAddr) -> Self {
        let response = request.open(router).await.unwrap();
        assert_eq!(response.status(), 200, "{}", request.op);
        let id = response.headers()["x-request-id"].to_str().unwrap();
        Self {
            id: id.to_owned(),
            body: response.into_body(),
            text: String::new(),
        }
    }

    /// Reads until a number of tokens have come; fails when the answer ends before.
    pub(crate) async fn read(&mut self, tokens: usize) {
        while self.tokens() < tokens {
            assert!(self.next().await.unwrap(), "ended after {}", self.text);
        }
    }

    /// Reads to the end; an error says that it is not whole.
    pub(crate) async fn finish(mut self) -> Result<String, String> {
        while self.next().await? {}
        Ok(self.text)
    }

    fn tokens(&self) -> usize {
        self.text.matches("\"content\"").count()
    }

    async fn next(&mut self) -> Result<bool, String> {
        let Some(frame) = self.body.frame().await else {
            return Ok(false);
        };
        let frame = frame.map_err(|error| format!("{error} after {} tokens", self.tokens()))?;
        if let Some(data) = frame.data_ref() {
            self.text += std::str::from_utf8(data).unwrap();
        }
        Ok(true)
    }
}
