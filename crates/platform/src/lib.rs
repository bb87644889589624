//! The platform's edge: the key-value service and the VM list, one trait each.

mod backoff;
pub mod http;
mod http_error;
pub mod kv;
pub mod retry_after;
pub mod vm;

use std::pin::Pin;

pub use self::backoff::Backoff;
pub use self::http_error::HttpError;

/// An asynchronous call that a trait object can return.
pub type Call<'a, T, E> = Pin<Box<dyn Future<Output = Result<T, E>> + Send + 'a>>;
