//! Stand-ins for the platform, its operator, backends and clients, for the cases of the review.
//!
//! They follow PROTOCOL.md and DEPLOY.md, use the standard library alone and share no code with the
//! project, so that a fault of the project is not mirrored here.

pub mod backend;
pub mod client;
pub mod cluster;
pub mod http;
pub mod packet;
pub mod record;
pub mod scene;
