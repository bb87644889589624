//! The VM list over HTTP.

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

/// Longest time to connect, in milliseconds.
const CONNECT_MS: u64 = 500;

/// Longest time of a call, in milliseconds.
const CALL_MS: u64 = 3_000;

/// Largest list that is read, in bytes.
const LIST_BYTES: usize = 16 << 20;

/// A client of the VM list.
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
    /// Opens a client. It connects when the first call is made.
    #[must_use]
    pub fn new(endpoint: SocketAddr) -> Self {
        Self {
            http: http::Http::new(CONNECT_MS),
            endpoint,
        }
    }

    async fn read(&self) -> Result<Vec<Vm>, Error> {
        let deadline = Instant::now() + Duration::from_millis(CALL_MS);
        let request = http::request(Method::GET, self.endpoint, PATH, Bytes::new());
        let answered = self.http.call(request, LIST_BYTES, deadline).await;
        let body = answered.map_err(|failure| Error::Read(failure.cause))?;
        let list: List = serde_json::from_slice(&body)
            .map_err(|error| Error::Read(HttpError::Malformed(error.to_string())))?;
        Ok(list.vms)
    }

    async fn read_counted(&self) -> Result<Vec<Vm>, Error> {
        counter!("vm_calls_total").increment(1);
        let list = self.read().await;
        if list.is_err() {
            counter!("vm_failures_total").increment(1);
        }
        list
    }
}

impl Vms for Http {
    fn list(&self) -> Call<'_, Vec<Vm>> {
        Box::pin(self.read_counted())
    }
}
