//! Clients of the platform's key-value service and VM list, behind one trait each.

mod backoff;
pub mod http;
mod http_error;
mod informational;
pub mod kv;
pub mod retry_after;
pub mod vm;

use std::pin::Pin;

pub use self::backoff::Backoff;
pub use self::http_error::HttpError;
pub use self::informational::Informational;

/// Boxed future of a call, for object-safe traits.
pub type Call<'a, T, E> = Pin<Box<dyn Future<Output = Result<T, E>> + Send + 'a>>;
