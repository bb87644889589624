//! Encoding of the key-value service's contents between gateways.

use bytes::Bytes;
use googletest::prelude::*;
use mulberryyoke_wire::relay::{Batch, Write};

/// Size of a value that is shared, in bytes.
const LARGE: usize = 100_000;

fn write(key: &str, value: Option<Vec<u8>>, revision: u64) -> Write {
    Write {
        key: key.to_owned(),
        value: value.map(Bytes::from),
        revision,
    }
}

fn batch(writes: Vec<Write>) -> Batch {
    Batch {
        known_ms: -70_000,
        revision: 900,
        writes,
        era: 3,
    }
}

#[gtest]
fn chunks_are_the_encoding_of_postcard() {
    let batches = [
        batch(Vec::new()),
        batch(vec![write("gone", None, 7)]),
        batch(vec![
            write("small", Some(b"value".to_vec()), 1),
            write("empty", Some(Vec::new()), 2),
            write("large", Some(vec![5; LARGE]), 300),
            write("gone", None, 301),
            write("last", Some(vec![6; LARGE]), 302),
        ]),
    ];
    for batch in batches {
        let known = Batch::encode_known_ms(batch.known_ms);
        let encoded = [known, batch.encode().chunks.concat().into()].concat();
        let plain = postcard::to_stdvec(&batch).expect("messages are encoded");
        expect_that!(encoded, eq(&plain));
        expect_that!(Batch::decode(&encoded), some(eq(&batch)));
    }
}

#[gtest]
fn a_large_value_is_not_copied() {
    let large = write("large", Some(vec![5; LARGE]), 2);
    let value = large.value.clone().expect("a value");
    let encoded = batch(vec![write("small", Some(b"value".to_vec()), 1), large]).encode();
    let shared = encoded.chunks.iter().find(|chunk| chunk.len() == LARGE);
    expect_that!(shared.map(|chunk| chunk.as_ptr()), some(eq(value.as_ptr())));
    expect_that!(encoded.owned_bytes, lt(100));
}
