//! Stores the orders that all routers of the fleet keep.

use super::latest_value::{LatestValueStore, OptionalJournal};
use crate::shell::storage::StorageFailure;
use gaparch_audit::FleetOrder;
use gaparch_protocol::ops::{from_bytes, to_bytes};
use gaparch_store::Disk;
use std::sync::Arc;

/// Version of the meaning of a record: one order.
const SCHEMA: u16 = 1;

/// All orders of the fleet, as they are to be stored, or are.
pub(super) type FleetOrders = Arc<Vec<FleetOrder>>;

/// The journal of orders of the fleet.
pub(super) struct FleetOrderStore {
    journal: OptionalJournal,
}

impl FleetOrderStore {
    /// Reads the stored orders. A disk that can't be read keeps no router from starting: the others know
    /// them.
    pub fn open(disk: Box<dyn Disk>) -> (FleetOrderStore, Vec<FleetOrder>) {
        let (journal, found) = OptionalJournal::open(disk, "fleet-orders", SCHEMA);
        let orders = found.records.iter().filter_map(|record| from_bytes(record)).collect();
        (FleetOrderStore { journal }, orders)
    }
}

impl LatestValueStore for FleetOrderStore {
    type Value = FleetOrders;

    fn write(&mut self, orders: &FleetOrders) -> Result<(), StorageFailure> {
        if orders.is_empty() {
            return Ok(());
        }
        let records: Vec<Vec<u8>> = orders.iter().map(to_bytes).collect();
        Ok(self.journal.get()?.rewrite(&records)?)
    }
}
