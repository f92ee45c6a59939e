//! Coordination parts of rattanstall, a serving system for many models on
//! fewer accelerators.
//!
//! The programs under `src/bin` hold only arguments and start-up. Everything
//! else is here, so that others can embed it: [`escrow`] splits limits over a
//! fleet, [`config`] and [`configuration`] distribute configuration,
//! [`claim`] makes calls run at most once, [`ledger`] guards an endpoint's
//! memory, and [`control`] joins them in one reducer without I/O.

pub mod admin;
pub mod agent;
pub mod bucket;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod code;
pub mod config;
pub mod configuration;
pub mod control;
pub mod direct;
pub mod error;
pub mod escrow;
pub mod gateway;
pub mod http;
pub mod instances;
pub mod journal;
pub mod ledger;
pub mod logs;
pub mod metrics;
pub mod operator;
pub mod placement;
pub mod platform;
pub mod route;
pub mod settings;
pub mod signals;
pub mod tls;
pub mod transport;
pub mod weights;
pub mod wire;
