//! Stores the orders that are replicated to all routers of the fleet.

use super::latest_value::{LatestValueStore, OptionalJournal};
use crate::shell::storage::StorageFailure;
use gaparch_audit::FleetOrder;
use gaparch_protocol::ops::{from_bytes, to_bytes};
use gaparch_store::Disk;
use std::sync::Arc;

/// Schema version of a record, which is one order.
const SCHEMA: u16 = 1;

/// All orders of the fleet, to be stored or already stored.
pub(super) type FleetOrders = Arc<Vec<FleetOrder>>;

/// The journal of the fleet's orders.
pub(super) struct FleetOrderStore {
    journal: OptionalJournal,
}

impl FleetOrderStore {
    /// Reads the stored orders. A disk that can't be read does not prevent the router from starting, as the
    /// other routers have the orders.
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
