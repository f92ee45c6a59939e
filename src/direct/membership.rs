//! This gateway's place among the gateways: whether its registration in the store stands, and
//! what it may decide for all of them.

pub mod authority;
pub mod currency;
pub mod registration;
