//! Puts operators' orders on disk before they are acknowledged.

use super::{Done, News, OrderReply};
use gaparch_ops::{read_change, OrderDenied, OrderRegistry, CHANGE_SCHEMA};
use gaparch_protocol::ops::intent::AcceptedChange;
use gaparch_protocol::ops::{to_bytes, DenyCode};
use gaparch_store::{Disk, Journal, StoreError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};

/// What could not be kept is tried again after so long.
const TRY_AGAIN: Duration = Duration::from_secs(1);
/// Orders kept with one sync.
const BATCH: usize = 64;
/// Records of a generation past those that matter, before it is written anew.
const SLACK: u64 = 1024;

/// An order that was carried out and is to be kept.
pub struct Keep {
    pub taken: AcceptedChange,
    pub effect: String,
    pub reply: OrderReply,
}

type IntentJournal = Journal<Box<dyn Disk>>;

/// The journal of orders, and the book that it holds or should hold.
pub(super) struct Keeper {
    /// `None` while a blocking thread has it.
    journal: Option<IntentJournal>,
    book: OrderRegistry,
    /// The journal lacks something: all is written anew as soon as it can be.
    behind: Option<String>,
}

impl Keeper {
    /// Reads what is kept. A disk that can't be written does not keep a router from starting.
    pub fn open(disk: Box<dyn Disk>) -> Result<(Keeper, OrderRegistry), StoreError> {
        let (mut journal, found) = Journal::open(disk, "intents", CHANGE_SCHEMA)?;
        let schema = found.schema.unwrap_or(CHANGE_SCHEMA);
        let mut book = OrderRegistry::default();
        let mut unread = found.damaged;
        for record in &found.records {
            match read_change(schema, record, book.revision() + 1) {
                Some(taken) => book.apply(taken),
                None => unread += 1,
            }
        }
        if unread > 0 {
            tracing::error!(unread, "orders on disk could not be read; the file is kept beside");
        }
        let mut behind = None;
        if journal.needs_rewrite() {
            behind = journal.rewrite(book.changes().iter().map(to_bytes)).err().map(|e| e.to_string());
        }
        Ok((Keeper { journal: Some(journal), book: book.clone(), behind }, book))
    }

    pub async fn run(mut self, mut orders: mpsc::Receiver<Keep>, news: mpsc::Sender<News>) {
        let mut batch = Vec::with_capacity(BATCH);
        let mut told = None;
        loop {
            if told != Some(self.behind.clone()) {
                let kept = News::Kept(self.book.revision());
                if self.behind.is_none() && news.send(kept).await.is_err() {
                    return;
                }
                if news.send(News::NotKept("orders", self.behind.clone())).await.is_err() {
                    return;
                }
                told = Some(self.behind.clone());
            }
            let try_again = Instant::now() + TRY_AGAIN;
            tokio::select! {
                count = orders.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return;
                    }
                    self.keep(&mut batch, &news).await;
                }
                () = sleep_until(try_again), if self.behind.is_some() => self.write_anew().await,
            }
        }
    }

    async fn keep(&mut self, batch: &mut Vec<Keep>, news: &mpsc::Sender<News>) {
        let records: Vec<Vec<u8>> = batch.iter().map(|keep| to_bytes(&keep.taken)).collect();
        batch.iter().for_each(|keep| self.book.apply(keep.taken.clone()));
        if self.behind.is_some() {
            self.write_anew().await;
        } else {
            let result = self.with_journal(move |journal| journal.append(&records)).await;
            self.behind = result.err();
            let grown = |j: &IntentJournal| j.records() > SLACK + 4 * self.book.changes().len() as u64;
            if self.behind.is_none() && self.journal.as_ref().is_some_and(grown) {
                self.write_anew().await;
            }
        }
        if self.behind.is_none() {
            // The hub is told before the operator, so that whoever looks then sees it kept.
            let _ = news.send(News::Kept(self.book.revision())).await;
        }
        for Keep { taken, effect, reply } in batch.drain(..) {
            let answer = match &self.behind {
                None => Ok(Done { revision: taken.revision, effect }),
                Some(why) => {
                    let message = format!("in force, but not kept ({why}): a restart would forget it");
                    Err(OrderDenied::new(DenyCode::NotPersisted, message))
                }
            };
            // Who asked may have left meanwhile.
            let _ = reply.send(answer);
        }
    }

    async fn write_anew(&mut self) {
        let records: Vec<Vec<u8>> = self.book.changes().iter().map(to_bytes).collect();
        self.behind = self.with_journal(move |journal| journal.rewrite(&records)).await.err();
    }

    /// A disk may take seconds: it gets a thread where that harms nobody.
    async fn with_journal(
        &mut self,
        work: impl FnOnce(&mut IntentJournal) -> Result<(), StoreError> + Send + 'static,
    ) -> Result<(), String> {
        let Some(mut journal) = self.journal.take() else { return Err("the journal is lost".to_owned()) };
        let done = tokio::task::spawn_blocking(move || {
            let result = work(&mut journal);
            (journal, result)
        });
        match done.await {
            Ok((journal, result)) => {
                self.journal = Some(journal);
                result.map_err(|e| e.to_string())
            }
            Err(error) => Err(error.to_string()),
        }
    }
}
