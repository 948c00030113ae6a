//! An incremental parser of endpoint lists. Each entry is parsed and its text dropped as soon as its last byte is there, so
//! that a list of any length takes the memory of its entries and of one entry's text.

use super::entry::ListedInstance;
use super::{scope, EndpointList, EndpointListError, ListLimits};
use gaparch_protocol::list::ListEntry;
use serde::Deserialize;
use serde_json::Value;

/// Most bytes beside the entries: a handful of fields, with room for unknown ones.
const MAX_OUTLINE_BYTES: usize = 64 * 1024;
/// Most bytes of one entry, of which some 160 are usual. A longer one is rejected.
const MAX_ENTRY_BYTES: usize = 4 * 1024;
/// Name of the field that holds the entries.
const ENTRIES_FIELD: &[u8] = b"\"instances\"";
/// Nesting depth of the fields of the list.
const DEPTH_OF_FIELDS: usize = 1;
/// Nesting depth of the entries.
const DEPTH_OF_ENTRIES: usize = 2;

/// The list without its entries.
#[derive(Deserialize)]
struct Outline {
    generation: u64,
    #[serde(default)]
    reset: bool,
    /// The entries have been taken out; the field is read to be of the right type.
    #[serde(default, rename = "instances")]
    _entries: Vec<Value>,
}

/// Where the next byte belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Section {
    /// To the list without its entries.
    Outline,
    /// To the array of entries: before, in or after one.
    Entries,
}

/// Position in the syntax of JSON: texts and nesting.
#[derive(Debug, Default)]
struct Syntax {
    /// Open brackets and braces.
    depth: usize,
    in_text: bool,
    escaped: bool,
}

impl Syntax {
    fn advance(&mut self, byte: u8) {
        if self.in_text {
            self.advance_in_text(byte);
            return;
        }
        match byte {
            b'"' => self.in_text = true,
            b'[' | b'{' => self.depth += 1,
            b']' | b'}' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    fn advance_in_text(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_text = false,
            _ => {}
        }
    }

    /// Whether the next byte stands at this depth and in no text.
    fn is_at(&self, depth: usize) -> bool {
        self.depth == depth && !self.in_text
    }
}

/// Parses an endpoint list as its bytes arrive, within limits.
#[derive(Debug)]
pub struct EndpointListParser {
    limits: ListLimits,
    /// Bytes that have come.
    bytes: usize,
    section: Section,
    syntax: Syntax,
    outline: Vec<u8>,
    /// The bytes of the entry that is incomplete.
    entry: Vec<u8>,
    /// Whether that entry has more bytes than one may have.
    entry_too_long: bool,
    /// Whether a comma came last in the array, so that an entry has to follow.
    entry_expected: bool,
    entries: Vec<ListEntry>,
    rejected_entries: usize,
}

impl EndpointListParser {
    /// Creates a parser of one list.
    pub fn new(limits: ListLimits) -> EndpointListParser {
        EndpointListParser {
            limits,
            bytes: 0,
            section: Section::Outline,
            syntax: Syntax::default(),
            outline: Vec::new(),
            entry: Vec::new(),
            entry_too_long: false,
            entry_expected: false,
            entries: Vec::new(),
            rejected_entries: 0,
        }
    }

    /// Takes the next bytes of the list.
    ///
    /// # Errors
    /// When the list has more bytes or entries than the limits allow, or an entry is no JSON.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EndpointListError> {
        self.bytes = self.bytes.saturating_add(bytes.len());
        if self.bytes > self.limits.bytes {
            return Err(EndpointListError::TooLong { max: self.limits.bytes });
        }
        for byte in bytes {
            match self.section {
                Section::Outline => self.push_outline(*byte)?,
                Section::Entries => self.push_entries(*byte)?,
            }
        }
        Ok(())
    }

    /// Returns the list after its last byte.
    ///
    /// # Errors
    /// When it is no endpoint list, or would leave the router without a worker.
    pub fn finish(self) -> Result<EndpointList, EndpointListError> {
        let outline: Outline = serde_json::from_slice(&self.outline)?;
        EndpointList::new(outline.generation, scope(outline.reset), self.entries, self.rejected_entries)
    }

    fn push_outline(&mut self, byte: u8) -> Result<(), EndpointListError> {
        if self.outline.len() >= MAX_OUTLINE_BYTES {
            return Err(EndpointListError::OutlineTooLong { max: MAX_OUTLINE_BYTES });
        }
        let begins_array = byte == b'[' && self.syntax.is_at(DEPTH_OF_FIELDS);
        let begins_entries = begins_array && self.outline_ends_with_entries_field();
        self.outline.push(byte);
        self.syntax.advance(byte);
        if begins_entries {
            self.section = Section::Entries;
            self.entry_expected = false;
        }
        Ok(())
    }

    /// Whether the value that begins now is that of the field with the entries.
    fn outline_ends_with_entries_field(&self) -> bool {
        let outline = self.outline.trim_ascii_end();
        let Some(before_colon) = outline.strip_suffix(b":") else { return false };
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

    /// Takes the bracket that ends the entries.
    fn end_entries(&mut self) -> Result<(), EndpointListError> {
        let array_is_empty = !self.entry_expected && self.entry.trim_ascii().is_empty();
        if !array_is_empty {
            self.end_entry()?;
        }
        self.section = Section::Outline;
        self.outline.push(b']');
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

    /// Parses the entry that is complete now; `None` where it is not usable. Bytes that are no JSON spoil the whole list.
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
