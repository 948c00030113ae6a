//! The disks on which a router keeps its state.

use gaparch_config::Operations;
use gaparch_store::{Disk, StateDirectory, StoreError};

/// Where the state is kept. Tests give disks that fail.
pub struct Disks {
    /// Orders of operators.
    pub intents: Box<dyn Disk>,
    /// The history of events.
    pub events: Box<dyn Disk>,
    /// The history of requests that were not served.
    pub outcomes: Box<dyn Disk>,
    /// What concerns the other routers.
    pub fleet: FleetDisks,
}

/// Where what concerns the other routers is kept.
pub struct FleetDisks {
    /// How often the router was started.
    pub incarnation: Box<dyn Disk>,
    /// Orders that all routers of the fleet keep.
    pub orders: Box<dyn Disk>,
    /// The audit record: what was sent under which version of the list.
    pub audit: Box<dyn Disk>,
    /// The number of the last piece of the audit record.
    pub audit_mark: Box<dyn Disk>,
}

impl FleetDisks {
    /// One disk for each, as `share` makes them.
    pub fn of(mut share: impl FnMut() -> Box<dyn Disk>) -> FleetDisks {
        FleetDisks { incarnation: share(), orders: share(), audit: share(), audit_mark: share() }
    }
}

impl Disks {
    /// Opens and locks the folder of the settings.
    ///
    /// # Errors
    /// When it can't be created or read, or another router has it.
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
