//! Detection of prompt parts that crash servers.

mod fleet;
mod replay;
mod table;
