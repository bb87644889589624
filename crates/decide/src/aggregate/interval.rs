//! Interval between a gateway's messages to its peers.

/// Shortest interval of a collector: about the prefill time of a short prompt.
const MIN_COLLECTOR_MS: f64 = 20.0;

/// Shortest interval of other gateways; collectors of large zones do not forward any faster.
const MIN_MEMBER_MS: f64 = 40.0;

/// Longest interval between two messages.
pub(super) const MAX_INTERVAL_MS: u64 = 250;

/// Interval per packet and CPU, in milliseconds: a hundred times the CPU time to send and receive
/// one, so that messages take about 1% of the gateway's CPU.
const MS_PER_PACKET: f64 = 0.35;

/// Interval between two rounds of messages, in milliseconds, for a gateway that sends `packets`
/// per round with `cpus` CPUs. Bounded well below [`EXPIRY_MS`](super::EXPIRY_MS) for any number
/// of packets.
#[must_use]
pub fn interval_ms(packets: usize, cpus: f64, is_collector: bool) -> u64 {
    let packets = f64::from(u32::try_from(packets).unwrap_or(u32::MAX));
    let ms = packets * MS_PER_PACKET / cpus.max(f64::EPSILON);
    let min_ms = if is_collector {
        MIN_COLLECTOR_MS
    } else {
        MIN_MEMBER_MS
    };
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is within its bounds"
    )]
    let ms = ms.max(min_ms).min(f64::from(u16::MAX)) as u64;
    ms.min(MAX_INTERVAL_MS)
}
