//! A response that is read incrementally.

use std::net::SocketAddr;

use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::Request;

/// A response that is read incrementally.
#[derive(Debug)]
pub(crate) struct Stream {
    incoming: Incoming,
    /// Value of the `x-request-id` header.
    pub(crate) id: String,
    /// Body received so far.
    pub(crate) received: String,
}

impl Stream {
    /// Sends a request and reads the head of the response, which must have status 200.
    pub(crate) async fn open(request: &Request, router: SocketAddr) -> Self {
        let response = request.open(router).await.unwrap();
        assert_eq!(response.status(), 200, "{}", request.op);
        let id = response.headers()["x-request-id"].to_str().unwrap();
        Self {
            id: id.to_owned(),
            incoming: response.into_body(),
            received: String::new(),
        }
    }

    /// Reads until `tokens` tokens have been received; panics if the response ends
    /// earlier.
    pub(crate) async fn read_tokens(&mut self, tokens: usize) {
        while self.token_count() < tokens {
            assert!(
                self.read_frame().await.unwrap(),
                "response ended after {}",
                self.received
            );
        }
    }

    /// Reads the rest of the response; fails if it is truncated.
    pub(crate) async fn read_to_end(mut self) -> Result<String, String> {
        while self.read_frame().await? {}
        Ok(self.received)
    }

    fn token_count(&self) -> usize {
        self.received.matches("\"content\"").count()
    }

    /// Reads one frame; `false` at the end of the response.
    async fn read_frame(&mut self) -> Result<bool, String> {
        let Some(frame) = self.incoming.frame().await else {
            return Ok(false);
        };
        let frame =
            frame.map_err(|error| format!("{error} after {} tokens", self.token_count()))?;
        if let Some(data) = frame.data_ref() {
            self.received += std::str::from_utf8(data).unwrap();
        }
        Ok(true)
    }
}
