//! Signal handling: shutdown and reload requests.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;

/// A shutdown flag that is raised once and shared by the threads of a process.
#[derive(Debug, Clone, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    /// Builds a flag that SIGTERM and SIGINT raise; a second SIGINT or SIGTERM ends the process.
    pub fn on_signals() -> io::Result<Self> {
        let stop = Self::default();
        for signal in [SIGTERM, SIGINT] {
            flag::register_conditional_shutdown(signal, 1, Arc::clone(&stop.0))?;
            flag::register(signal, Arc::clone(&stop.0))?;
        }
        Ok(stop)
    }

    /// Returns whether the flag is raised.
    pub fn is_raised(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Raises the flag.
    pub fn raise(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// A reload flag that SIGHUP raises instead of ending the process.
#[derive(Debug, Clone, Default)]
pub struct Reload(Arc<AtomicBool>);

impl Reload {
    /// Builds a flag that SIGHUP raises.
    pub fn on_signal() -> io::Result<Self> {
        let reload = Self::default();
        flag::register(SIGHUP, Arc::clone(&reload.0))?;
        Ok(reload)
    }

    /// Lowers the flag and returns whether it was raised.
    pub fn take(&self) -> bool {
        self.0.swap(false, Ordering::AcqRel)
    }
}
