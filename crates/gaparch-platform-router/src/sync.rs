//! Locking of tables that several tasks share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table, ignoring poisoning: every change to a table is a single step, so a panic of another holder
/// leaves it consistent.
pub(crate) fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
