//! The readiness endpoint for the load balancer.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{Response, StatusCode};
use serde_json::json;

use super::shared::Shared;
use super::side_server::{Answer, json as json_response};

/// Responds to the load balancer's readiness checks, on any path.
pub struct Readiness {
    shared: Arc<Shared>,
}

impl Readiness {
    /// Creates the handler for a process.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl Answer for Readiness {
    fn answer(&self, _req: &Parts) -> Response<Bytes> {
        let view = self.shared.view();
        let has_configuration = view.document.is_some();
        let has_endpoints = !view.endpoints.is_empty();
        let are_blocks_known = self.shared.parts.are_blocks_known();
        let are_zones_known = self.shared.notices.zones.is_known();
        let is_draining = self.shared.is_draining();
        let is_started = has_configuration && has_endpoints && are_zones_known;
        let is_ready = is_started && are_blocks_known && !is_draining;
        let status = match is_ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        let body = json!({
            "draining": is_draining,
            "configured": has_configuration,
            "zones_known": are_zones_known,
            "blocks_known": are_blocks_known,
            "endpoints": view.endpoints.len(),
        });
        json_response(status, &body)
    }
}
