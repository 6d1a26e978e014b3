//! CPU time and memory use of a closure.

use std::alloc::System;

use cap::Cap;
use cpu_time::ThreadTime;

/// System allocator that counts allocated bytes; the global allocator of `lagoon-measure`.
pub type CountingAllocator = Cap<System>;

/// Creates the counting allocator without a limit.
pub const fn counting_allocator() -> CountingAllocator {
    Cap::new(System, usize::MAX)
}

/// Runs `work` and returns its result with the CPU time of this thread in seconds.
pub fn measure_cpu_time<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let start = ThreadTime::now();
    let result = work();
    (result, start.elapsed().as_secs_f64())
}

/// Runs `work` and returns its result with the bytes that are still allocated after it.
pub fn measure_memory<T>(allocator: &CountingAllocator, work: impl FnOnce() -> T) -> (T, f64) {
    let before = allocator.allocated();
    let result = work();
    (result, allocator.allocated() as f64 - before as f64)
}
