//! Decisions on which new flows are opened, which wait and which are refused, and where there is room.

pub mod contention;
pub mod late;
pub mod moves;
pub mod overload;
pub mod room;
pub mod warmup;
