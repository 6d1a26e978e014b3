//! Processor time and memory of a piece of work, without the wall clock.

use std::alloc::System;

use cap::Cap;
use cpu_time::ThreadTime;

/// The allocator that counts; `lagoon-measure` makes it the global one.
pub type CountingAllocator = Cap<System>;

/// Returns the counting allocator.
pub const fn counting_allocator() -> CountingAllocator {
    Cap::new(System, usize::MAX)
}

/// Runs some work and returns its result with the seconds of processor time of this thread.
pub fn measure_cpu_time<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let start = ThreadTime::now();
    let result = work();
    (result, start.elapsed().as_secs_f64())
}

/// Runs some work and returns its result with the bytes of memory that it keeps allocated.
pub fn measure_memory<T>(allocator: &CountingAllocator, work: impl FnOnce() -> T) -> (T, f64) {
    let before = allocator.allocated();
    let result = work();
    (result, allocator.allocated() as f64 - before as f64)
}
