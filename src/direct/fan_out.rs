//! How a message reaches all gateways without one of them sending it to all.
//!
//! Above a number of gateways they fall into groups by their names. The sender picks
//! gateways of each group, which send the message to the others in it. With as many
//! groups as there are gateways in one, nobody sends more than about two times the square
//! root of the fleet's size.

/// The most gateways to which a message is sent directly.
const MAX_DIRECT: usize = 24;

/// The number of groups in a fleet of this size; 0 if messages are sent directly.
pub fn group_count(gateways: usize) -> u16 {
    match gateways {
        0..=MAX_DIRECT => 0,
        _ => (gateways as f64).sqrt().ceil() as u16,
    }
}

/// The group of a gateway.
pub fn group_of(name: &str, groups: u16) -> u16 {
    let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
    (hash % u64::from(groups.max(1))) as u16
}
