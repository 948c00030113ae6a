//! An incremental parser for endpoint lists. Each entry is parsed, and its text dropped, as soon as it is
//! complete, so that a list of any length takes only the memory of its entries and the text of one of them.

use super::entry::ListedInstance;
use super::{scope, EndpointList, EndpointListError, ListLimits};
use gaparch_protocol::list::ListEntry;
use serde::Deserialize;
use serde_json::Value;

/// Maximum number of bytes outside the entries: a handful of fields, with room for unknown ones.
const MAX_ENVELOPE_BYTES: usize = 64 * 1024;
/// Maximum number of bytes of one entry; about 160 are usual. A longer entry is rejected.
const MAX_ENTRY_BYTES: usize = 4 * 1024;
/// Name of the field that contains the entries, in quotes.
const ENTRIES_FIELD: &[u8] = b"\"instances\"";
/// Nesting depth at which the list's fields are.
const DEPTH_OF_FIELDS: usize = 1;
/// Nesting depth at which the entries are.
const DEPTH_OF_ENTRIES: usize = 2;

/// The list without its entries.
#[derive(Deserialize)]
struct Envelope {
    generation: u64,
    #[serde(default)]
    reset: bool,
    /// Empty, since the entries are parsed separately; declared so that the field's type is checked.
    #[serde(default, rename = "instances")]
    _entries: Vec<Value>,
}

/// The part of the list that the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Section {
    /// The list without its entries.
    Envelope,
    /// The array of entries: before, in or after an entry.
    Entries,
}

/// Position in the JSON syntax: strings and nesting.
#[derive(Debug, Default)]
struct Syntax {
    /// Number of open brackets and braces.
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Syntax {
    fn advance(&mut self, byte: u8) {
        if self.in_string {
            self.advance_in_string(byte);
            return;
        }
        match byte {
            b'"' => self.in_string = true,
            b'[' | b'{' => self.depth += 1,
            b']' | b'}' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    fn advance_in_string(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
    }

    /// Whether the next byte is at this nesting depth and not in a string.
    fn is_at(&self, depth: usize) -> bool {
        self.depth == depth && !self.in_string
    }
}

/// Parses an endpoint list as its bytes arrive, within limits.
#[derive(Debug)]
pub struct EndpointListParser {
    limits: ListLimits,
    /// Number of bytes received.
    bytes: usize,
    section: Section,
    syntax: Syntax,
    envelope: Vec<u8>,
    /// Bytes of the current, incomplete entry.
    entry: Vec<u8>,
    /// Whether that entry exceeds the maximum length.
    entry_too_long: bool,
    /// Whether a comma came last in the array, so that an entry must follow.
    entry_expected: bool,
    entries: Vec<ListEntry>,
    rejected_entries: usize,
}

impl EndpointListParser {
    /// Creates a parser for one list.
    pub fn new(limits: ListLimits) -> EndpointListParser {
        EndpointListParser {
            limits,
            bytes: 0,
            section: Section::Envelope,
            syntax: Syntax::default(),
            envelope: Vec::new(),
            entry: Vec::new(),
            entry_too_long: false,
            entry_expected: false,
            entries: Vec::new(),
            rejected_entries: 0,
        }
    }

    /// Parses the next bytes of the list.
    ///
    /// # Errors
    /// Returns an error if the list has more bytes or entries than the limits allow, or an entry is not JSON.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EndpointListError> {
        self.bytes = self.bytes.saturating_add(bytes.len());
        if self.bytes > self.limits.bytes {
            return Err(EndpointListError::TooLong { max: self.limits.bytes });
        }
        for byte in bytes {
            match self.section {
                Section::Envelope => self.push_envelope(*byte)?,
                Section::Entries => self.push_entries(*byte)?,
            }
        }
        Ok(())
    }

    /// Returns the list after its last byte.
    ///
    /// # Errors
    /// Returns an error if it is not an endpoint list, or would leave the router without workers.
    pub fn finish(self) -> Result<EndpointList, EndpointListError> {
        let envelope: Envelope = serde_json::from_slice(&self.envelope)?;
        EndpointList::new(envelope.generation, scope(envelope.reset), self.entries, self.rejected_entries)
    }

    fn push_envelope(&mut self, byte: u8) -> Result<(), EndpointListError> {
        if self.envelope.len() >= MAX_ENVELOPE_BYTES {
            return Err(EndpointListError::EnvelopeTooLong { max: MAX_ENVELOPE_BYTES });
        }
        let begins_array = byte == b'[' && self.syntax.is_at(DEPTH_OF_FIELDS);
        let begins_entries = begins_array && self.envelope_ends_with_entries_field();
        self.envelope.push(byte);
        self.syntax.advance(byte);
        if begins_entries {
            self.section = Section::Entries;
            self.entry_expected = false;
        }
        Ok(())
    }

    /// Whether the value that begins now belongs to the field with the entries.
    fn envelope_ends_with_entries_field(&self) -> bool {
        let envelope = self.envelope.trim_ascii_end();
        let Some(before_colon) = envelope.strip_suffix(b":") else { return false };
        before_colon.trim_ascii_end().ends_with(ENTRIES_FIELD)
    }

    fn push_entries(&mut self, byte: u8) -> Result<(), EndpointListError> {
        let between_entries = self.syntax.is_at(DEPTH_OF_ENTRIES);
        match byte {
            b']' if between_entries => self.end_entries(),
            b',' if between_entries => {
                self.end_entry()?;
                self.entry_expected = true;
                Ok(())
            }
            _ => {
                self.push_entry_byte(byte);
                Ok(())
            }
        }
    }

    fn push_entry_byte(&mut self, byte: u8) {
        self.syntax.advance(byte);
        if self.entry.len() < MAX_ENTRY_BYTES {
            self.entry.push(byte);
        } else if !byte.is_ascii_whitespace() {
            self.entry_too_long = true;
        }
    }

    /// Handles the bracket that ends the entries.
    fn end_entries(&mut self) -> Result<(), EndpointListError> {
        let array_is_empty = !self.entry_expected && self.entry.trim_ascii().is_empty();
        if !array_is_empty {
            self.end_entry()?;
        }
        self.section = Section::Envelope;
        self.envelope.push(b']');
        self.syntax.advance(b']');
        Ok(())
    }

    fn end_entry(&mut self) -> Result<(), EndpointListError> {
        self.entry_expected = false;
        match self.parse_entry()? {
            Some(entry) => self.entries.push(entry),
            None => self.rejected_entries += 1,
        }
        self.entry.clear();
        if self.entries.len() + self.rejected_entries > self.limits.entries {
            return Err(EndpointListError::TooManyEntries { max: self.limits.entries });
        }
        Ok(())
    }

    /// Parses the entry that is now complete; returns `None` if it is unusable. Bytes that are not JSON make
    /// the whole list invalid.
    fn parse_entry(&mut self) -> Result<Option<ListEntry>, EndpointListError> {
        if std::mem::take(&mut self.entry_too_long) {
            return Ok(None);
        }
        match serde_json::from_slice::<ListedInstance>(&self.entry) {
            Ok(instance) => Ok(instance.into_entry()),
            Err(error) if error.is_data() => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}
