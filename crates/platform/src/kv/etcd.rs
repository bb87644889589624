//! The key-value service met by the JSON gateway of etcd v3.

mod answer;
mod link;
mod method;
mod request;
mod stream;
mod text;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use self::link::Link;
use self::method::Method;
use crate::HttpError;
use crate::kv::{
    Call, Error, Expect, Kv, Lease, LeaseId, Listing, MAX_VALUE_BYTES, Options, Pair, Revision,
    Swap, Watch,
};

/// A client of the JSON gateway of etcd v3.
#[derive(Clone, Debug)]
pub struct Etcd {
    link: Arc<Link>,
    options: Options,
}

impl Etcd {
    /// Opens a client. It connects when the first call is made, and tries the
    /// endpoints in turn.
    #[must_use]
    pub fn new(endpoints: Vec<SocketAddr>, options: Options) -> Self {
        Self {
            link: Arc::new(Link::new(endpoints, options)),
            options,
        }
    }

    async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        let deadline = self.link.deadline();
        let mut listing = Listing::default();
        let mut first = prefix.to_owned();
        loop {
            let limit = self.options.page_size;
            let body = request::range(&first, prefix, listing.revision, limit);
            let page: answer::Range = self.link.call(Method::Range, body, deadline).await?;
            if listing.revision == 0 {
                listing.revision = page.header.revision;
            }
            listing.entries.extend(page.kvs.into_iter().map(Pair::from));
            let Some(last) = listing.entries.last().filter(|_| page.more) else {
                return Ok(listing);
            };
            first = format!("{}\0", last.key);
        }
    }

    async fn read(&self, key: &str) -> Result<Option<Pair>, Error> {
        let deadline = self.link.deadline();
        let body = request::get(key);
        let found: answer::Range = self.link.call(Method::Range, body, deadline).await?;
        Ok(found.kvs.into_iter().next().map(Pair::from))
    }

    async fn write(
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
        let deadline = self.link.deadline();
        let body = request::swap(key, expected, value.as_deref(), lease);
        let answer: answer::Txn = self.link.call(Method::Txn, body, deadline).await?;
        if answer.succeeded {
            return Ok(Swap::Done(answer.header.revision));
        }
        let found = answer.responses.into_iter().next();
        let Some(found) = found.and_then(|response| response.response_range) else {
            let cause = HttpError::Malformed("transaction without what is there now".to_owned());
            return Err(Error::Unknown(cause));
        };
        Ok(Swap::Conflict(found.kvs.into_iter().next().map(Pair::from)))
    }

    async fn open_watch(&self, prefix: &str, from: Revision) -> Result<Watch, Error> {
        let deadline = self.link.deadline();
        let body = request::watch(prefix, from);
        let answer = self.link.send(Method::Watch, body, deadline).await?;
        let opened = stream::open(answer, deadline, self.options).await;
        opened.map_err(|error| self.link.fail(Method::Watch, error))
    }

    async fn grant(&self, ttl_ms: u64) -> Result<Lease, Error> {
        let begun = Instant::now();
        let body = request::grant(ttl_ms.div_ceil(1_000));
        let deadline = self.link.deadline();
        let lease: answer::Lease = self.link.call(Method::LeaseGrant, body, deadline).await?;
        held(begun, &lease)
    }

    async fn keep(&self, id: LeaseId) -> Result<Lease, Error> {
        let begun = Instant::now();
        let body = request::lease(id);
        let deadline = self.link.deadline();
        let kept: answer::Streamed<answer::Lease> =
            self.link.call(Method::LeaseKeep, body, deadline).await?;
        let Some(lease) = kept.result else {
            let text = kept.error.map_or(String::new(), |error| error.to_string());
            return Err(Error::Unknown(HttpError::Malformed(text)));
        };
        held(begun, &lease)
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), Error> {
        let deadline = self.link.deadline();
        let body = request::lease(id);
        let _: serde_json::Value = self.link.call(Method::LeaseRevoke, body, deadline).await?;
        Ok(())
    }
}

/// The lease that an answer speaks of; one without time left has lapsed.
fn held(begun: Instant, lease: &answer::Lease) -> Result<Lease, Error> {
    if lease.ttl_s == 0 {
        return Err(Error::LeaseExpired);
    }
    Ok(Lease {
        id: LeaseId(lease.id),
        deadline: begun + Duration::from_secs(lease.ttl_s),
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
        Box::pin(self.write(key, expected, value, lease))
    }

    fn watch<'a>(&'a self, prefix: &'a str, from: Revision) -> Call<'a, Watch> {
        Box::pin(self.open_watch(prefix, from))
    }

    fn lease_grant(&self, ttl_ms: u64) -> Call<'_, Lease> {
        Box::pin(self.grant(ttl_ms))
    }

    fn lease_keep_alive(&self, id: LeaseId) -> Call<'_, Lease> {
        Box::pin(self.keep(id))
    }

    fn lease_revoke(&self, id: LeaseId) -> Call<'_, ()> {
        Box::pin(self.revoke(id))
    }
}
