//! Decoding of changes that are stored on disk.

use gaparch_protocol::ops::from_bytes;
use gaparch_protocol::ops::intent::{AcceptedChange, Change, ChangeNote};
use gaparch_protocol::{BytesMut, ModalResult, Wire};

/// The schema of newly written records. Schema 1 had no revisions.
pub const CHANGE_SCHEMA: u16 = 2;

/// Decodes a stored change of any schema up to [`CHANGE_SCHEMA`]. A change of schema 1 gets `next_revision`.
pub fn read_change(schema: u16, bytes: &[u8], next_revision: u64) -> Option<AcceptedChange> {
    if schema > 1 {
        return from_bytes(bytes);
    }
    let Schema1Change { change, note } = from_bytes(bytes)?;
    Some(AcceptedChange { revision: next_revision, change, note })
}

/// A change in the encoding of schema 1.
struct Schema1Change {
    change: Change,
    note: ChangeNote,
}

impl Wire for Schema1Change {
    fn put(&self, out: &mut BytesMut) {
        self.change.put(out);
        self.note.put(out);
    }

    fn take(body: &mut &[u8]) -> ModalResult<Self> {
        Ok(Schema1Change { change: Wire::take(body)?, note: Wire::take(body)? })
    }
}
