//! How often a gateway tells others what it has.

/// Least time between two rounds of one that collects, in milliseconds: about as long as a
/// server takes to read one short prompt.
const LEAST_MS: f64 = 20.0;

/// As [`LEAST_MS`], for the others: collectors of many pass on what they tell no sooner.
const LEAST_OTHERS_MS: f64 = 40.0;

/// Most time between two messages, in milliseconds.
pub(super) const LONGEST_MS: u64 = 250;

/// Time of a whole processor for each packet, in milliseconds: sending and hearing one takes
/// a hundredth of it, so that messages cost about one part in a hundred of what a gateway has.
const PACKET_MS: f64 = 0.35;

/// Time between two rounds of messages, in milliseconds, for a gateway that sends so many
/// packets in each, has so much of a processor, and collects or not. It never comes near the age from which a
/// gateway counts as silent, however many packets there are.
#[must_use]
pub fn interval_ms(packets: usize, processors: f64, collects: bool) -> u64 {
    let packets = f64::from(u32::try_from(packets).unwrap_or(u32::MAX));
    let ms = packets * PACKET_MS / processors.max(f64::EPSILON);
    let least_ms = if collects { LEAST_MS } else { LEAST_OTHERS_MS };
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is within its bounds"
    )]
    let ms = ms.max(least_ms).min(f64::from(u16::MAX)) as u64;
    ms.min(LONGEST_MS)
}
