//! Budget of the bytes that a node holds for its callers: which responses are read on, which
//! callers are cut, and which request bodies are accepted.
//!
//! Request bodies and response bytes that callers have not taken yet share one budget. Responses
//! get what requests leave. Once half of it is used, it is divided equally among the customers that
//! hold unread bytes, and a customer's share equally among its responses; a response at or above
//! its share is not read on.
//! If the budget is exceeded nonetheless, the response that holds most, of the customer that holds
//! most, is cut; this response is always above its share.

mod account;
mod budget;
mod cause;
mod cut;
mod holder;

pub use self::account::AccountKey;
pub use self::budget::Budget;
pub use self::cause::Cause;
pub use self::cut::Cut;

/// Divisor of the memory of the process that gives the budget. At a node of 120 MB a quarter is
/// 30 MB: what the allocator needs beyond it, the connections and the process itself take about as
/// much each.
pub const BUDGET_DIVISOR: u64 = 4;

/// Divisor of the budget that gives the maximum that request bodies may take, so that responses
/// in progress do not lose theirs to new requests.
pub const REQUESTS_DIVISOR: u64 = 2;

/// Divisor of the requests' part up to which any customer's request body is accepted. Above it, a
/// customer gets an equal share.
pub const UNSHARED_DIVISOR: u64 = 2;

/// Minimum time after which a caller should retry a request that was refused for lack of room, in
/// milliseconds. Most request bodies are released within half a second, with the response head.
pub const RETRY_AFTER_MS: u64 = 250;

/// Divisor of the responses' part above which it is short, and shares apply.
pub const SHORT_DIVISOR: u64 = 2;

/// Time after which a caller that takes nothing is cut, in milliseconds. The kernel closes a
/// connection whose peer accepts nothing for three seconds, and servers cut off responses that are
/// not read for several seconds; neither tells why.
pub const STALL_MS: u64 = 2_500;
