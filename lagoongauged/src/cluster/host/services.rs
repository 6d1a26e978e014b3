//! Checks announcements against the services that the catalog names.
//!
//! Failure pattern: another program announces a target of a service that is not configured, at the address of
//! a target that is running. The roster gives an address to its latest claimant on every host, so such
//! an announcement must not enter it. See docs/incidents/unnamed-service.md.

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::replica::Store;
use lagoongauge::roster::{Entry, Phase};

use super::Host;

/// Services of the newest catalog that was decoded.
#[derive(Debug, Default)]
pub(super) struct NamedServices {
    /// Version of the catalog.
    version: u64,
    names: Vec<String>,
    /// Number of announcements that were ignored.
    ignored: u64,
}

impl<S: Store + 'static> Host<S> {
    /// Returns the number of announcements that were ignored, as no catalog names their service.
    pub(in crate::cluster) fn ignored_announcements(&self) -> u64 {
        self.services.borrow().ignored
    }

    /// Returns whether an announcement may enter the roster: the catalog names its service, or the roster
    /// has the target at this address in this service already, as a change of the catalog does not end
    /// targets. Before there is a catalog, all may.
    ///
    /// Fails with `NotCurrent` for a target that is draining, which must not take this for a
    /// confirmation: this host may not have received the catalog that names its service.
    pub(super) fn check_service(&self, entry: &Entry) -> Result<bool> {
        if self.is_known_target(entry) || self.is_named(&entry.service) {
            return Ok(true);
        }
        let Entry { target, service, address, .. } = entry;
        self.services.borrow_mut().ignored += 1;
        log::debug!("target {target} of unnamed service {service:.80?} at {address} is ignored");
        if entry.phase == Phase::Serving {
            return Ok(false);
        }
        let detail = format!("service {service:.80?} is not in the catalog of this host");
        Err(Error::new(Kind::NotCurrent, detail))
    }

    fn is_known_target(&self, entry: &Entry) -> bool {
        let roster = self.roster.borrow();
        let known = roster.get(entry.target).map(|record| &record.entry);
        known.is_some_and(|known| known.service == entry.service && known.address == entry.address)
    }

    fn is_named(&self, service: &str) -> bool {
        let document = self.document();
        if document.version == 0 {
            return true;
        }
        if self.services.borrow().version != document.version {
            match (self.setup.service_names)(&document.content) {
                Ok(names) => {
                    let mut services = self.services.borrow_mut();
                    (services.version, services.names) = (document.version, names);
                }
                // A catalog of another version of this program: better a wrong target than none.
                Err(error) => {
                    log::error!("can't read the services of catalog {}: {error}", document.version);
                    return true;
                }
            }
        }
        self.services.borrow().names.iter().any(|name| name == service)
    }
}
