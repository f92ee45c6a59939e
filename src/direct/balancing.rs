//! What the choice of an endpoint learns from the responses of endpoints.

pub mod endpoint_pace;
pub mod pace_report;
