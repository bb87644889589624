//! Exchange of usage between routers.

mod cursor;
mod ledger;

pub use cursor::Cursor;
pub use ledger::Ledger;
