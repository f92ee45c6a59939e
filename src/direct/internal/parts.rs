//! Blocked parts for operators: reading, setting and lifting blocks.

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString as _};
use http::request::Parts;
use http::{Method, Response, StatusCode};
use serde::Serialize;
use serde_json::json;

use super::{InternalServer, refusal};
use crate::clock::Millis;
use crate::code::Code;
use crate::direct::control::Event;
use crate::direct::side_server::json as json_response;
use crate::direct::suspects::{Block, BlockState, CrashReport, PartId, ties};

/// The path of all parts; one part's path has its identifier after it.
pub(super) const PARTS_PATH: &str = "/parts";
/// The most suspects that are listed.
const MAX_LISTED_SUSPECTS: usize = 100;
/// The most endpoints that are listed with a suspect.
const MAX_LISTED_ENDPOINTS: usize = 8;

/// A part that some crash speaks against.
#[derive(Serialize)]
struct Suspect {
    part: CompactString,
    crashes: usize,
    endpoints: Vec<CompactString>,
    software: Vec<CompactString>,
    /// How long ago the last of the crashes was.
    age_ms: Millis,
}

impl InternalServer {
    /// Lists blocks and suspects, or changes the block of one part. Only holders of the
    /// gateways' token may change a block.
    pub(super) fn parts(&self, req: &Parts, id: &str) -> Response<Bytes> {
        if id.is_empty() && req.method == Method::GET {
            return json_response(StatusCode::OK, &self.list_parts());
        }
        if !self.is_member(req) {
            return refusal(Code::BadKey);
        }
        let Ok(part) = id.parse::<PartId>() else {
            return refusal(Code::NoRoute);
        };
        let (state, text) = match req.method {
            Method::PUT => (BlockState::Blocked, "blocked"),
            Method::DELETE => (BlockState::Lifted, "lifted"),
            _ => return refusal(Code::BadMethod),
        };
        let decision = Event::BlockOrdered { part, state };
        self.shared.send_event(decision);
        let body = json!({ "part": part.to_compact_string(), "state": text });
        json_response(StatusCode::ACCEPTED, &body)
    }

    fn list_parts(&self) -> serde_json::Value {
        let (as_of, known) = &*self.shared.part_evidence();
        let elapsed = self.shared.now().since(*as_of);
        let ties = ties(&known.blocks);
        let describe = |block: &Block| {
            let tie = ties.iter().find(|tie| tie.contains(&block.part));
            let others = tie.into_iter().flatten().filter(|p| **p != block.part);
            let others: Vec<CompactString> = others.map(|p| p.to_compact_string()).collect();
            json!({
                "part": block.part.to_compact_string(),
                "with": others,
                "state": match block.state {
                    BlockState::Blocked => "blocked",
                    BlockState::Lifted => "lifted",
                },
                "why": block.cause.name(),
                "endpoints": block.cause.endpoints(),
                "age_ms": block.since + elapsed,
            })
        };
        let blocks: Vec<_> = known.blocks.iter().map(describe).collect();
        json!({ "blocks": blocks, "suspects": suspects(&known.crashes, elapsed) })
    }
}

/// The parts that the most crashes speak against, most crashes first.
fn suspects(crashes: &[CrashReport], elapsed: Millis) -> Vec<Suspect> {
    let pairs = crashes.iter().enumerate();
    let pairs = pairs.flat_map(|(at, crash)| crash.parts.iter().map(move |part| (*part, at)));
    let mut pairs: Vec<(PartId, usize)> = pairs.collect();
    pairs.sort_unstable();
    let mut by_part: Vec<&[(PartId, usize)]> = pairs.chunk_by(|a, b| a.0 == b.0).collect();
    by_part.sort_by_key(|group| std::cmp::Reverse(group.len()));
    by_part.truncate(MAX_LISTED_SUSPECTS);
    let described = by_part.into_iter().map(|group| {
        let of_part = || group.iter().map(|(_, at)| &crashes[*at]);
        let mut software: Vec<CompactString> = of_part().map(|c| c.version.clone()).collect();
        software.sort_unstable();
        software.dedup();
        let endpoints = of_part().map(|c| c.endpoint.clone());
        Suspect {
            part: group[0].0.to_compact_string(),
            crashes: group.len(),
            endpoints: endpoints.take(MAX_LISTED_ENDPOINTS).collect(),
            software,
            age_ms: of_part().map(|c| c.age).min().unwrap_or_default() + elapsed,
        }
    });
    described.collect()
}
