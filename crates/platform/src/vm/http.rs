//! HTTP client of the VM list.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use metrics::counter;
use serde::Deserialize;

use crate::vm::{Call, Error, Vm, Vms};
use crate::{HttpError, http};

/// Path of the list.
const PATH: &str = "/vms";

/// Connect timeout, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Timeout of a call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// HTTP client of the VM list.
#[derive(Debug)]
pub struct Http {
    http: http::Http,
    endpoint: SocketAddr,
}

#[derive(Deserialize)]
struct List {
    vms: Vec<Vm>,
}

impl Http {
    /// Creates a client, which connects on the first call.
    #[must_use]
    pub fn new(endpoint: SocketAddr) -> Self {
        Self {
            http: http::Http::new(CONNECT_TIMEOUT_MS),
            endpoint,
        }
    }

    async fn fetch(&self) -> Result<Vec<Vm>, Error> {
        let deadline = Instant::now() + Duration::from_millis(CALL_TIMEOUT_MS);
        let request = http::request(Method::GET, self.endpoint, PATH, Bytes::new());
        let response = self.http.call(request, MAX_RESPONSE_BYTES, deadline).await;
        let body = response.map_err(|failure| Error::Read(failure.cause))?;
        let list: List = serde_json::from_slice(&body)
            .map_err(|error| Error::Read(HttpError::Malformed(error.to_string())))?;
        Ok(list.vms)
    }

    async fn fetch_counted(&self) -> Result<Vec<Vm>, Error> {
        counter!("vm_calls_total").increment(1);
        let list = self.fetch().await;
        if list.is_err() {
            counter!("vm_failures_total").increment(1);
        }
        list
    }
}

impl Vms for Http {
    fn list(&self) -> Call<'_, Vec<Vm>> {
        Box::pin(self.fetch_counted())
    }
}
