//! The key-value service through the JSON gateway of etcd v3.

mod encoding;
mod method;
mod request;
mod response;
mod stream;
mod transport;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use self::method::Method;
use self::response::KeyValue;
use self::transport::Transport;
use crate::HttpError;
use crate::kv::{
    Call, Error, Expect, Kv, Lease, LeaseId, Listing, MAX_VALUE_BYTES, Options, Pair, Revision,
    Swap, Watch,
};

/// Client of the JSON gateway of etcd v3.
#[derive(Clone, Debug)]
pub struct Etcd {
    transport: Arc<Transport>,
    options: Options,
}

impl Etcd {
    /// Creates a client, which connects on the first call and tries the endpoints in turn.
    #[must_use]
    pub fn new(endpoints: Vec<SocketAddr>, options: Options) -> Self {
        Self {
            transport: Arc::new(Transport::new(endpoints, options)),
            options,
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let deadline = self.transport.deadline();
        let mut listing = Listing::default();
        let mut first = prefix.as_bytes().to_vec();
        loop {
            let limit = self.options.page_size;
            let body = request::range(&first, prefix, listing.revision, limit);
            let page: response::Range = self.transport.call(Method::Range, body, deadline).await?;
            if listing.revision == 0 {
                listing.revision = page.header.revision;
            }
            let last = page.kvs.last().map(|kv| kv.key.clone());
            let pairs = page.kvs.into_iter().filter_map(KeyValue::into_pair);
            listing.entries.extend(pairs);
            let Some(last) = last.filter(|_| page.more) else {
                return Ok(listing);
            };
            first = last;
            first.push(0);
        }
    }

    async fn read(&self, key: &str) -> Result<Option<Pair>, Error> {
        let deadline = self.transport.deadline();
        let body = request::get(key);
        let found: response::Range = self.transport.call(Method::Range, body, deadline).await?;
        Ok(found.kvs.into_iter().next().and_then(KeyValue::into_pair))
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Expect,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Result<Swap, Error> {
        let bytes = value.as_ref().map_or(0, Vec::len);
        if bytes > MAX_VALUE_BYTES {
            return Err(Error::TooLarge {
                bytes,
                limit: MAX_VALUE_BYTES,
            });
        }
        let deadline = self.transport.deadline();
        let body = request::swap(key, expected, value.as_deref(), lease);
        let txn: response::Txn = self.transport.call(Method::Txn, body, deadline).await?;
        if txn.succeeded {
            return Ok(Swap::Done(txn.header.revision));
        }
        let found = txn.responses.into_iter().next();
        let Some(found) = found.and_then(|operation| operation.response_range) else {
            let cause =
                HttpError::Malformed("transaction response lacks the current entry".to_owned());
            return Err(Error::Unknown(cause));
        };
        Ok(Swap::Conflict(
            found.kvs.into_iter().next().and_then(KeyValue::into_pair),
        ))
    }

    async fn open_watch(&self, prefix: &str, from: Revision) -> Result<Watch, Error> {
        let deadline = self.transport.deadline();
        let body = request::watch(prefix, from);
        let response = self.transport.send(Method::Watch, body, deadline).await?;
        let opened = stream::open(response, deadline, self.options).await;
        opened.map_err(|error| self.transport.record_failure(Method::Watch, error))
    }

    async fn grant(&self, ttl_ms: u64) -> Result<Lease, Error> {
        let started = Instant::now();
        let body = request::grant(ttl_ms.div_ceil(1_000));
        let deadline = self.transport.deadline();
        let lease: response::Lease = self
            .transport
            .call(Method::LeaseGrant, body, deadline)
            .await?;
        granted_lease(started, &lease)
    }

    async fn keep_alive(&self, id: LeaseId) -> Result<Lease, Error> {
        let started = Instant::now();
        let body = request::lease(id);
        let deadline = self.transport.deadline();
        let renewed: response::StreamItem<response::Lease> = self
            .transport
            .call(Method::LeaseKeepAlive, body, deadline)
            .await?;
        let Some(lease) = renewed.result else {
            let text = renewed
                .error
                .map_or(String::new(), |error| error.to_string());
            return Err(Error::Unknown(HttpError::Malformed(text)));
        };
        granted_lease(started, &lease)
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), Error> {
        let deadline = self.transport.deadline();
        let body = request::lease(id);
        let _: serde_json::Value = self
            .transport
            .call(Method::LeaseRevoke, body, deadline)
            .await?;
        Ok(())
    }
}

/// Converts a lease response. A TTL of 0 means that the lease has expired.
fn granted_lease(started: Instant, lease: &response::Lease) -> Result<Lease, Error> {
    if lease.ttl_s == 0 {
        return Err(Error::LeaseExpired);
    }
    Ok(Lease {
        id: LeaseId(lease.id),
        deadline: started + Duration::from_secs(lease.ttl_s),
    })
}

impl Kv for Etcd {
    fn range<'a>(&'a self, prefix: &'a str) -> Call<'a, Listing> {
        Box::pin(self.list(prefix))
    }

    fn get<'a>(&'a self, key: &'a str) -> Call<'a, Option<Pair>> {
        Box::pin(self.read(key))
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Expect,
        value: Option<Vec<u8>>,
        lease: Option<LeaseId>,
    ) -> Call<'a, Swap> {
        Box::pin(self.compare_and_swap(key, expected, value, lease))
    }

    fn watch<'a>(&'a self, prefix: &'a str, from: Revision) -> Call<'a, Watch> {
        Box::pin(self.open_watch(prefix, from))
    }

    fn lease_grant(&self, ttl_ms: u64) -> Call<'_, Lease> {
        Box::pin(self.grant(ttl_ms))
    }

    fn lease_keep_alive(&self, id: LeaseId) -> Call<'_, Lease> {
        Box::pin(self.keep_alive(id))
    }

    fn lease_revoke(&self, id: LeaseId) -> Call<'_, ()> {
        Box::pin(self.revoke(id))
    }
}
