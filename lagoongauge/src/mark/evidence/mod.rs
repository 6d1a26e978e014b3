//! Evidence from callers' packets that targets or data centres do not answer.

pub mod budget;
pub(super) mod centre;
pub(super) mod ejection;
pub mod statement;
pub(super) mod unanswered;
