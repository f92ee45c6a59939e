//! Memory and connections that callers hold at this gateway.
//!
//! [`account`] decides, from what each connection holds and how fast it moves, whether more
//! fits and who is closed for it. [`holders`] ties the account to connections and requests.

pub mod account;
pub(super) mod body;
pub(super) mod holders;
