//! The internal HTTP server for operators and other gateways: state dump, metrics,
//! configuration and blocked parts.

mod parts;

use std::sync::Arc;

use bytes::Bytes;
use hmac::{Hmac, KeyInit as _, Mac as _};
use http::request::Parts;
use http::{HeaderName, HeaderValue, Response, StatusCode, Uri};
use serde_json::{Value, json};
use sha2::Sha256;

use super::balancing::pace_report::slowest_to_median;
use super::dialect::Registration;
use super::gossip::Secret;
use super::notices::{RunId, Statements};
use super::shared::Shared;
use super::side_server::{Answer, buffered, json as json_response};
use crate::code::Code;

use parts::PARTS_PATH;

/// The path from which other gateways fetch the configuration.
pub const CONFIGURATION_PATH: &str = "/configuration";
/// The query key with the version that the asking gateway has.
const AFTER_KEY: &str = "after";
/// The header with which a gateway authenticates to another gateway.
pub const PEER_TOKEN_HEADER: HeaderName = HeaderName::from_static("x-fleet-token");

/// The header of a response to a gateway with the evacuated zones. A gateway that the store
/// turns away is no longer registered, so that the others send it no datagrams.
pub const ZONES_HEADER: HeaderName = HeaderName::from_static("x-fleet-zones");

/// The path and query that fetch the configuration if it is newer than a version.
pub fn newer_configuration(known_version: u64) -> Uri {
    let uri = format!("{CONFIGURATION_PATH}?{AFTER_KEY}={known_version}");
    // Always succeeds: the path and a number are valid.
    uri.parse().unwrap_or_default()
}

/// The version that the asking gateway has; `None` if it does not say.
fn known_version(uri: &Uri) -> Option<u64> {
    let (key, version) = uri.query()?.split_once('=')?;
    (key == AFTER_KEY).then(|| version.parse().ok())?
}

/// Returns the token with which gateways authenticate to each other: a MAC of the
/// path, made with the secret that the gateways share.
pub fn peer_token(secret: &Secret) -> String {
    let mut mac = Hmac::<Sha256>::new(secret.into());
    mac.update(CONFIGURATION_PATH.as_bytes());
    let code = mac.finalize().into_bytes();
    code.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Serves operators and other gateways.
pub struct InternalServer {
    shared: Arc<Shared>,
}

impl InternalServer {
    /// Creates a server that reads the process's shared state.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Whether the sender has the gateways' token.
    fn is_member(&self, req: &Parts) -> bool {
        let presented = req.headers.get(PEER_TOKEN_HEADER);
        let token = self.shared.peer_token();
        token.is_some_and(|t| presented.is_some_and(|p| p.as_bytes() == t.as_bytes()))
    }

    /// Responds with the configuration as the operator wrote it, or without content if
    /// the asking gateway has it. Only gateways may read it, because it contains callers'
    /// keys.
    fn configuration(&self, req: &Parts) -> Response<Bytes> {
        let is_member = self.is_member(req);
        let document = self.shared.view().document.clone();
        let known_version = known_version(&req.uri);
        let mut res = match document {
            Some(document) if is_member && known_version >= Some(document.version) => {
                buffered(StatusCode::NO_CONTENT, "text/plain", "")
            }
            Some(document) if is_member => buffered(
                StatusCode::OK,
                "application/octet-stream",
                document.raw.clone(),
            ),
            _ => refusal(Code::BadKey),
        };
        let zones = self.shared.notices.zones.told(self.shared.now());
        if let Some(zones) = zones.filter(|_| is_member)
            && let Ok(value) = HeaderValue::from_str(&zones.to_header())
        {
            res.headers_mut().insert(ZONES_HEADER, value);
        }
        res
    }

    fn statements(&self, endpoint: &Registration) -> Statements {
        let now = self.shared.now();
        let run = RunId::of(endpoint);
        self.shared
            .notices
            .with(|notices| notices.statements(now, run))
    }

    fn metrics(&self) -> String {
        let view = self.shared.view();
        let registrations = view.endpoints.iter().map(|e| &e.registration);
        let said: Vec<Statements> = registrations.map(|r| self.statements(r)).collect();
        let count = |is: fn(&Statements) -> bool| said.iter().filter(|s| is(s)).count();
        let metrics = &self.shared.metrics;
        metrics.record_endpoints("leaving", count(|s| s.is_leaving));
        metrics.record_endpoints("paused", count(|s| s.pause_left.is_some()));
        metrics.record_endpoints("limited", count(|s| s.limit.is_some()));
        metrics.record_endpoints("cold", count(|s| s.cold_left.is_some()));
        let evacuated = self.shared.notices.zones.states(self.shared.now());
        metrics.record_evacuated_zones(evacuated.len());
        if let Some(ratio) = slowest_to_median(&self.shared.paces()) {
            metrics.record_slowest_endpoint(ratio);
        }
        metrics.render()
    }

    fn state(&self) -> Value {
        let view = self.shared.view();
        let now = self.shared.now();
        let zones = &self.shared.notices.zones;
        let own = self.shared.own_loads();
        let peer_loads = self.shared.peer_loads();
        let paces = self.shared.paces();
        let pace_of = |id: &str| {
            let at = paces.binary_search_by(|p| p.endpoint.as_str().cmp(id));
            let pace = &paces[at.ok()?];
            Some(json!({
                "event_ms": pace.event_ms,
                "relative": pace.relative,
                "window": pace.window,
            }))
        };
        let endpoints: Vec<Value> = view
            .endpoints
            .iter()
            .map(|e| {
                let id = &e.registration.id;
                let said = self.statements(&e.registration);
                json!({
                    "id": id,
                    "born": e.registration.started_at,
                    "service": e.registration.service,
                    "zone": e.registration.zone,
                    "evacuated": zones.is_evacuated(&e.registration.zone),
                    "usability": format!("{:?}", e.usability),
                    "said": {
                        "leaving": said.is_leaving,
                        "paused_ms": said.pause_left,
                        "cold_ms": said.cold_left,
                        "limit_per_s": said.limit.map(|rate| f64::from(rate.0) / 1_000.0),
                    },
                    "pace": pace_of(id),
                    "holds": *e.holdings,
                    "in_flight_here": super::view::load_of(&own, id).requests,
                    "in_flight_elsewhere": super::view::load_of(&peer_loads, id).requests,
                })
            })
            .collect();
        let buckets = self.shared.buckets();
        let limits: Vec<Value> = buckets
            .iter()
            .map(|b| json!({ "workspace": b.workspace, "ppm": b.with(|b| b.share_ppm()) }))
            .collect();
        let settings = self.shared.live_settings();
        json!({
            "settings": { "version": settings.version, "hash": settings.hash },
            "name": self.shared.settings.name,
            "zone": self.shared.settings.zone,
            "up_ms": now,
            "version": view.document.as_ref().map(|d| d.version),
            "generation": view.generation,
            "gateways": self.shared.gateway_count(),
            "open_requests": self.shared.open_requests(),
            "draining": self.shared.is_draining(),
            "evacuations": {
                "known": zones.is_known(),
                "stamp": zones.stamp(),
                "zones": zones.states(now),
            },
            "endpoints": endpoints,
            "limits": limits,
        })
    }
}

impl Answer for InternalServer {
    fn answer(&self, req: &Parts) -> Response<Bytes> {
        match req.uri.path() {
            "/state" => json_response(StatusCode::OK, &self.state()),
            "/metrics" => buffered(StatusCode::OK, "text/plain; version=0.0.4", self.metrics()),
            CONFIGURATION_PATH => self.configuration(req),
            path => match path.strip_prefix(PARTS_PATH) {
                Some("") => self.parts(req, ""),
                Some(rest) if rest.starts_with('/') => self.parts(req, &rest[1..]),
                _ => refusal(Code::NoRoute),
            },
        }
    }
}

fn refusal(code: Code) -> Response<Bytes> {
    let body = json!({ "error": { "code": code.number(), "message": code.message() } });
    json_response(code.status(), &body)
}
