//! Which version of a server's software began a stream, and which versions serve a pool.
//!
//! A stream may go on only on servers of the version that began it. While a pool has servers of
//! several versions, a gateway tells a few others what its streams began on, so that a caller can
//! resume a stream at any gateway.

mod archive;
mod origin;
mod origins;
mod pace;
mod reads;
mod recorder;
mod records;
mod versions;

use mulberryyoke_model::StreamId;

pub use self::archive::{Archive, Batch, Kept, SLOT_ENTRIES};
pub use self::origin::Origin;
pub use self::origins::Origins;
pub use self::pace::{Pace, writer};
pub use self::reads::Reads;
pub use self::recorder::{Recorder, Situation, Write};
pub use self::records::{Conclusion, Listed, PoolVersion, Record, Records};
pub use self::versions::{Sighting, Summary, Versions};
use crate::aggregate::name_hash;
use crate::rendezvous::weight;

/// Returns the gateways, at most `count` of `names`, that keep the origin of a stream, in the order
/// in which they are chosen. Gateways that know the same names choose the same ones.
pub fn replicas<'a>(
    stream: StreamId,
    names: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = names
        .map(|name| (weight(name_hash(name), stream.0), name))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, name)| name).collect()
}
