//! Every decision of the fleet, as pure logic: time comes in as
//! [`mulberryyoke_model::Millis`], there is no input, output, thread or runtime.

pub mod account;
pub mod admission;
pub mod key;
