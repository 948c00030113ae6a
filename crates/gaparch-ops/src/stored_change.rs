//! Changes as they are stored on disk.

use gaparch_protocol::ops::from_bytes;
use gaparch_protocol::ops::intent::{AcceptedChange, Change, ChangeNote};
use gaparch_protocol::{BytesMut, ModalResult, Wire};

/// The schema of the records that are written. Schema 1 had no revisions.
pub const CHANGE_SCHEMA: u16 = 2;

/// Reads a change that was stored under a schema up to [`CHANGE_SCHEMA`]. A change of schema 1 gets the revision `next`.
pub fn read_change(schema: u16, bytes: &[u8], next: u64) -> Option<AcceptedChange> {
    if schema > 1 {
        return from_bytes(bytes);
    }
    let FirstSchemaChange { change, note } = from_bytes(bytes)?;
    Some(AcceptedChange { revision: next, change, note })
}

/// A change as schema 1 stored it.
struct FirstSchemaChange {
    change: Change,
    note: ChangeNote,
}

impl Wire for FirstSchemaChange {
    fn put(&self, out: &mut BytesMut) {
        self.change.put(out);
        self.note.put(out);
    }

    fn take(body: &mut &[u8]) -> ModalResult<Self> {
        Ok(FirstSchemaChange { change: Wire::take(body)?, note: Wire::take(body)? })
    }
}
