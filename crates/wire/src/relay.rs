//! Relay of key-value service contents between gateways.

mod batch;
mod encoded;
mod encoder;
mod write;

pub use self::batch::Batch;
pub use self::encoded::Encoded;
use self::encoder::Encoder;
pub use self::write::Write;

/// Path that lists all keys.
pub const LIST: &str = "/relay/list";

/// Path that returns writes after a revision, with the query
/// `era=ERA&after=REVISION&wait_ms=MILLISECONDS`.
pub const CHANGES: &str = "/relay/changes";

/// Response header with the time in milliseconds for which the source of the gateway that answers
/// still counts as having current data; 0 if it does not. Earlier releases do not send it.
pub const CURRENT_FOR: &str = "mulberryyoke-current-for-ms";
