//! The order store task: writes operators' orders to disk before they are acknowledged. It owns the journal
//! of orders.

use super::{BroadcasterMessage, OrderOutcome, OrderReply};
use crate::shell::storage::{
    run_blocking, BroadcasterEnded, StorageFailure, StorageReporter, RETRY_INTERVAL,
};
use gaparch_ops::{read_change, OrderDenied, OrderRegistry, CHANGE_SCHEMA};
use gaparch_protocol::ops::intent::AcceptedChange;
use gaparch_protocol::ops::{to_bytes, DenyCode};
use gaparch_store::{Disk, Journal, StoreError};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

/// The most orders stored with one sync.
const MAX_BATCH: usize = 64;
/// The journal is rewritten when it has more records than this plus four for each current change.
const MAX_SURPLUS_RECORDS: u64 = 1024;

/// An order that is in force and is to be stored.
pub struct StoreOrder {
    /// The order, as it is stored.
    pub accepted: AcceptedChange,
    /// The text on its effect, for the operator.
    pub effect: String,
    /// Answered once the order was stored or the write failed.
    pub reply: OrderReply,
}

type OrderJournal = Journal<Box<dyn Disk>>;

/// The journal of orders, and a copy in memory of the orders that it should hold.
pub(super) struct OrderStore {
    /// `None` while a blocking task has it, and after that task has panicked.
    journal: Option<OrderJournal>,
    orders: OrderRegistry,
    /// Why the journal lacks orders; a rewrite is retried until it succeeds.
    failure: Option<StorageFailure>,
}

impl OrderStore {
    /// Reads the stored orders. A disk that can't be written does not prevent the router from starting.
    pub fn open(disk: Box<dyn Disk>) -> Result<(OrderStore, OrderRegistry), StoreError> {
        let (mut journal, found) = Journal::open(disk, "intents", CHANGE_SCHEMA)?;
        let schema = found.schema.unwrap_or(CHANGE_SCHEMA);
        let mut orders = OrderRegistry::default();
        let mut unreadable = found.damaged;
        for record in &found.records {
            match read_change(schema, record, orders.revision() + 1) {
                Some(accepted) => orders.apply(accepted),
                None => unreadable += 1,
            }
        }
        if unreadable > 0 {
            tracing::error!(unreadable, "stored orders are damaged; the damaged file is preserved");
        }
        let mut failure = None;
        if journal.needs_rewrite() {
            let rewritten = journal.rewrite(orders.changes().iter().map(to_bytes));
            failure = rewritten.err().map(StorageFailure::from);
        }
        Ok((OrderStore { journal: Some(journal), orders: orders.clone(), failure }, orders))
    }

    /// Stores orders until the owner has ended.
    pub async fn run(
        mut self,
        mut inbox: mpsc::Receiver<StoreOrder>,
        messages: mpsc::Sender<BroadcasterMessage>,
    ) {
        let mut batch = Vec::with_capacity(MAX_BATCH);
        let mut reporter = StorageReporter::new("orders", messages.clone());
        loop {
            if self.report(&mut reporter, &messages).await.is_err() {
                return;
            }
            let retry_at = Instant::now() + RETRY_INTERVAL;
            tokio::select! {
                count = inbox.recv_many(&mut batch, MAX_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    self.store_batch(&mut batch, &messages).await;
                }
                () = sleep_until(retry_at), if self.failure.is_some() => self.rewrite().await,
            }
        }
    }

    /// Reports whether orders can be stored, if that has changed.
    async fn report(
        &mut self,
        reporter: &mut StorageReporter,
        messages: &mpsc::Sender<BroadcasterMessage>,
    ) -> Result<(), BroadcasterEnded> {
        if self.failure.is_none() && reporter.has_changed(None) {
            let stored = BroadcasterMessage::OrdersStored(self.orders.revision());
            messages.send(stored).await.map_err(|_| BroadcasterEnded)?;
        }
        reporter.report(self.failure.as_ref()).await
    }

    async fn store_batch(
        &mut self,
        batch: &mut Vec<StoreOrder>,
        messages: &mpsc::Sender<BroadcasterMessage>,
    ) {
        let records: Vec<Vec<u8>> = batch.iter().map(|order| to_bytes(&order.accepted)).collect();
        for order in batch.iter() {
            self.orders.apply(order.accepted.clone());
        }
        if self.failure.is_some() {
            self.rewrite().await;
        } else {
            self.append(records).await;
        }
        if self.failure.is_none() {
            // The broadcaster is told before the operator, so that a query after the acknowledgement shows
            // the order as stored.
            let _ = messages.send(BroadcasterMessage::OrdersStored(self.orders.revision())).await;
        }
        for order in batch.drain(..) {
            // Fails only if the operator has disconnected.
            let _ = order.reply.send(self.outcome(order.accepted.revision, order.effect));
        }
    }

    async fn append(&mut self, records: Vec<Vec<u8>>) {
        self.failure = self.with_journal(move |journal| journal.append(&records)).await.err();
        let max_records = MAX_SURPLUS_RECORDS + 4 * self.orders.changes().len() as u64;
        let has_grown = self.journal.as_ref().is_some_and(|journal| journal.records() > max_records);
        if self.failure.is_none() && has_grown {
            self.rewrite().await;
        }
    }

    fn outcome(&self, revision: u64, effect: String) -> Result<OrderOutcome, OrderDenied> {
        match &self.failure {
            None => Ok(OrderOutcome { revision, effect }),
            Some(failure) => {
                let message = format!("in force, but not kept ({failure}): a restart would forget it");
                Err(OrderDenied::new(DenyCode::NotPersisted, message))
            }
        }
    }

    async fn rewrite(&mut self) {
        let records: Vec<Vec<u8>> = self.orders.changes().iter().map(to_bytes).collect();
        self.failure = self.with_journal(move |journal| journal.rewrite(&records)).await.err();
    }

    async fn with_journal(
        &mut self,
        work: impl FnOnce(&mut OrderJournal) -> Result<(), StoreError> + Send + 'static,
    ) -> Result<(), StorageFailure> {
        let journal = self.journal.take().ok_or(StorageFailure::JournalLost)?;
        let done = run_blocking(journal, work).await;
        let (journal, result) = done.map_err(|error| StorageFailure::Task(Arc::new(error)))?;
        self.journal = Some(journal);
        Ok(result?)
    }
}
