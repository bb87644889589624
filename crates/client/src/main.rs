//! The client.

fn main() {}
