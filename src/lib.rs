//! Library of rattanstall, a serving system for many models on fewer accelerators.
//!
//! The programs under `src/bin` contain only argument parsing and start-up.
//! Everything else is in this library, so that other programs can embed it:
//! [`escrow`] divides limits among the gateways, [`config`] and
//! [`configuration`] distribute configuration, [`claim`] makes calls run at most
//! once, [`ledger`] keeps an endpoint's memory from being overcommitted, and
//! [`control`] combines them in one reducer that does no I/O. A [`gateway`] serves
//! callers through an [`agent`] beside each endpoint; [`direct`] is a gateway that
//! connects to its endpoints itself.

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
