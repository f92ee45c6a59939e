//! Cost of the records that tell which software version began a stream, by number of
//! gateways.

use std::hint::black_box;
use std::time::Instant;

use compact_str::format_compact;
use rattanstall::clock::Millis;
use rattanstall::direct::gossip::{Datagram, Message, encode};
use rattanstall::direct::members::{Member, Members};
use rattanstall::direct::streams::{RECORD_COPIES, StreamId, StreamRecord, StreamTable};

/// Streams that begin at one gateway each second.
const STREAMS_PER_S: u64 = 5;
/// How long a record is kept, in seconds.
const LIFETIME_S: u64 = 300;
const ROUNDS: u64 = 2_000;

pub fn run() {
    println!("gateways  records  table KB  keepers us  insert us  joining ms  bytes/datagram");
    for gateways in [4_usize, 22, 100, 490] {
        let mut members = Members::new("g000".into());
        for at in 1..gateways {
            members.put(Member {
                name: format_compact!("g{at:03}"),
                address: ([10, 0, (at >> 8) as u8, at as u8], 1).into(),
                boot: 1,
            });
        }
        let copies = RECORD_COPIES.min(gateways - 1) as u64;
        let kept = STREAMS_PER_S * (1 + copies) * LIFETIME_S;
        let record = |number: u64| StreamRecord {
            id: StreamId::of_attempt(&number.to_string()),
            version: "v1.2.3".into(),
        };
        let began = Instant::now();
        let mut table = StreamTable::default();
        for number in 0..kept {
            table.insert(Millis(number), record(number));
        }
        let insert_us = began.elapsed().as_secs_f64() * 1e6 / kept as f64;
        let began = Instant::now();
        for number in 0..ROUNDS {
            black_box(members.record_keepers(StreamId(number * 0x9e37_79b9_7f4a_7c15)));
        }
        let keepers_us = began.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
        let began = Instant::now();
        let for_joining = table
            .used_since(Millis::ZERO)
            .filter(|r| members.keeps_record("g001", r.id));
        black_box(for_joining.count());
        let joining_ms = began.elapsed().as_secs_f64() * 1e3;
        let datagram = Datagram {
            from: "front-dk-east-a-1".into(),
            boot: u64::MAX,
            number: 1_000,
            message: Message::Streams(vec![record(1)]),
        };
        let bytes = encode(&[0; 64], &datagram).map_or(0, |bytes| bytes.len());
        let table_kb = kept as usize * std::mem::size_of::<(StreamRecord, Millis)>() / 1_000;
        println!(
            "{gateways:8}  {kept:7}  {table_kb:8}  {keepers_us:10.2}  {insert_us:9.2}  {joining_ms:10.2}  {bytes:14}"
        );
    }
}
