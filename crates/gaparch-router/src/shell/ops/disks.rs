//! The disks on which a router keeps its state.

use gaparch_config::Operations;
use gaparch_store::{Disk, StateDirectory, StoreError};

/// The disks of a router. Tests use disks that fail.
pub struct Disks {
    /// Orders of operators.
    pub intents: Box<dyn Disk>,
    /// The history of events.
    pub events: Box<dyn Disk>,
    /// The history of request outcomes other than served.
    pub outcomes: Box<dyn Disk>,
    /// The state that concerns the other routers.
    pub fleet: FleetDisks,
}

/// The disks for the state that concerns the other routers.
pub struct FleetDisks {
    /// The router's incarnation, which grows with each start.
    pub incarnation: Box<dyn Disk>,
    /// Orders that are replicated to all routers of the fleet.
    pub orders: Box<dyn Disk>,
    /// The audit record: what was sent to engines under which version of the endpoint list.
    pub audit: Box<dyn Disk>,
    /// The number of the last segment of the audit record.
    pub audit_mark: Box<dyn Disk>,
}

impl FleetDisks {
    /// Creates each disk with `share`.
    pub fn of(mut share: impl FnMut() -> Box<dyn Disk>) -> FleetDisks {
        FleetDisks { incarnation: share(), orders: share(), audit: share(), audit_mark: share() }
    }
}

impl Disks {
    /// Opens and locks the configured state folder.
    ///
    /// # Errors
    /// If it can't be created or read, or another router has locked it.
    pub fn open(settings: &Operations) -> Result<Disks, StoreError> {
        let folder = StateDirectory::open(&settings.state)?;
        let (events, outcomes) = (Box::new(folder.share()), Box::new(folder.share()));
        let fleet = FleetDisks::of(|| Box::new(folder.share()));
        Ok(Disks { fleet, intents: Box::new(folder), events, outcomes })
    }
}

impl std::fmt::Debug for Disks {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Disks")
    }
}

impl std::fmt::Debug for FleetDisks {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetDisks")
    }
}
