//! Pools of memory for buffers of one kind, which bound their bytes in sum.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Memory is reserved in units of this many bytes.
const UNIT_BYTES: usize = 256;

/// The memory for buffers of one kind. Reservations are granted in the order in which they were requested.
#[derive(Debug)]
pub struct MemoryPool {
    units: Arc<Semaphore>,
    /// Total number of units.
    capacity: u32,
    /// Number of reservations that wait.
    waiting: AtomicUsize,
}

/// Memory that is reserved in a pool until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    permit: OwnedSemaphorePermit,
}

/// Counts a reservation as waiting.
struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl MemoryPool {
    /// Creates a pool of this many bytes.
    pub fn new(bytes: usize) -> Arc<MemoryPool> {
        let units = u32::try_from((bytes / UNIT_BYTES).max(1)).unwrap_or(u32::MAX);
        let capacity = units.min(u32::try_from(Semaphore::MAX_PERMITS).unwrap_or(u32::MAX));
        Arc::new(MemoryPool {
            units: Arc::new(Semaphore::new(capacity as usize)),
            capacity,
            waiting: AtomicUsize::new(0),
        })
    }

    /// Reserves memory, and waits until there is enough. A reservation that exceeds the pool waits for all of
    /// it, since otherwise it would wait forever.
    pub async fn reserve(&self, bytes: usize) -> Reservation {
        if let Some(reservation) = self.try_reserve(bytes) {
            return reservation;
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let _waiting = Waiting(&self.waiting);
        match Arc::clone(&self.units).acquire_many_owned(self.units_for(bytes)).await {
            Ok(permit) => Reservation { permit },
            // The semaphore of a pool is never closed.
            Err(_) => std::future::pending().await,
        }
    }

    /// Reserves memory if there is enough now and nothing else waits for it.
    pub fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        let permit = Arc::clone(&self.units).try_acquire_many_owned(self.units_for(bytes)).ok()?;
        Some(Reservation { permit })
    }

    /// Whether a reservation waits for memory.
    pub fn is_contended(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        (self.capacity as usize - self.units.available_permits()) * UNIT_BYTES
    }

    fn units_for(&self, bytes: usize) -> u32 {
        u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX).min(self.capacity)
    }
}

impl Reservation {
    /// Gives back what exceeds this many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.permit.num_permits().saturating_sub(bytes.div_ceil(UNIT_BYTES));
        drop(self.permit.split(surplus));
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
