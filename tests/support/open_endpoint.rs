//! A builder of endpoint views for tests.

use std::sync::Arc;

use rattanstall::direct::dialect::Registration;
use rattanstall::direct::view::{EndpointView, Usability};

/// An endpoint that takes new requests and holds the models that it registered.
pub fn open(registration: Registration) -> EndpointView {
    EndpointView {
        holdings: Arc::new(registration.models.clone().unwrap_or_default()),
        registration: Arc::new(registration),
        usability: Usability::Open,
    }
}
