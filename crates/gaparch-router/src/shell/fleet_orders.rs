//! Orders of the fleet on disk, and on their way between the owner and the fleet's task.

use super::ops::News;
use super::owner::Control;
use gaparch_audit::FleetOrder;
use gaparch_protocol::ops::intent::{Change, ChangeNote};
use gaparch_protocol::ops::{from_bytes, to_bytes};
use gaparch_protocol::versions::OrderId;
use gaparch_store::{Disk, Journal};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Orders given here that the fleet's task has not taken yet; past it an operator is asked to try again.
pub(super) const ISSUED: usize = 256;
/// Orders of others that the owner has not taken yet; what finds no room is handed over again later.
pub(super) const APPLIED: usize = 1024;
/// What could not be kept is tried again after so long.
const TRY_AGAIN: Duration = Duration::from_secs(1);
/// The records' meaning: one order.
const SCHEMA: u16 = 1;

/// An order given here, in force already.
pub(super) type Issued = (Change, ChangeNote);

/// All orders, as they are to be on disk, or are.
pub(super) type Kept = Arc<Vec<FleetOrder>>;

/// Orders on disk.
pub(super) struct Shelf {
    journal: Option<Journal<Box<dyn Disk>>>,
    trouble: Option<String>,
}

impl Shelf {
    /// Reads what is kept. A disk that can't be read keeps no router from starting: the others know.
    pub fn open(disk: Box<dyn Disk>) -> (Shelf, Vec<FleetOrder>) {
        match Journal::open(disk, "fleet-orders", SCHEMA) {
            Ok((journal, found)) => {
                let orders = found.records.iter().filter_map(|r| from_bytes(r)).collect();
                (Shelf { journal: Some(journal), trouble: None }, orders)
            }
            Err(error) => (Shelf { journal: None, trouble: Some(error.to_string()) }, Vec::new()),
        }
    }

    fn write(&mut self, orders: &[FleetOrder]) -> Result<(), String> {
        let journal = self.journal.as_mut().ok_or_else(|| self.trouble.clone().unwrap_or_default())?;
        let records: Vec<Vec<u8>> = orders.iter().map(to_bytes).collect();
        journal.rewrite(&records).map_err(|e| e.to_string())
    }
}

/// Keeps the latest orders, says so, and tries again where that fails.
pub(super) async fn keep(
    mut shelf: Shelf,
    mut wanted: watch::Receiver<Kept>,
    kept: watch::Sender<Kept>,
    news: mpsc::Sender<News>,
) {
    let mut told = None;
    loop {
        let latest = Arc::clone(&wanted.borrow_and_update());
        let orders = Arc::clone(&latest);
        let work = tokio::task::spawn_blocking(move || {
            let result = if orders.is_empty() { Ok(()) } else { shelf.write(&orders) };
            (shelf, result)
        });
        let Ok((back, result)) = work.await else { return };
        shelf = back;
        let trouble = result.err();
        if trouble.is_none() {
            kept.send_replace(latest);
        }
        if told.as_ref() != Some(&trouble) {
            if news.send(News::NotKept("orders of the fleet", trouble.clone())).await.is_err() {
                return;
            }
            told = Some(trouble.clone());
        }
        let retry = tokio::time::sleep(TRY_AGAIN);
        tokio::select! {
            changed = wanted.changed() => if changed.is_err() { return },
            () = retry, if trouble.is_some() => {}
        }
    }
}

/// Hands orders of others to the owner, which may be busy, and tells which are in force.
pub(super) async fn apply(
    mut orders: mpsc::Receiver<FleetOrder>,
    control: mpsc::Sender<Control>,
    applied: mpsc::Sender<OrderId>,
) {
    while let Some(order) = orders.recv().await {
        let id = order.id.clone();
        let (reply, wait) = oneshot::channel();
        if control.send(Control::FleetOrder { order, reply }).await.is_err() {
            return;
        }
        if wait.await.unwrap_or(false) && applied.send(id).await.is_err() {
            return;
        }
    }
}
