//! Locks of tables that several tasks share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table. A panic of another holder leaves it consistent, since each change of a table is one step.
pub(crate) fn lock<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
