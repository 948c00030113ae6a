//! Reads an answer of the catalogue as its bytes come. Each entry is parsed and dropped as soon as its last byte is
//! there, so that a list of any length needs the memory of its entries and of one entry's text.

use super::{CatalogueError, Instance, ListLimits, Members};
use gaparch_protocol::list::{ListEntry, Scope};
use serde::Deserialize;

/// Bytes of an answer besides its entries: a handful of fields, and room for some that are not known.
const MOST_OUTLINE: usize = 64 * 1024;
/// Bytes of one entry: some 160 are usual. A longer one is dropped.
const MOST_ENTRY: usize = 4 * 1024;
/// The field that holds the entries.
const ENTRIES: &[u8] = b"\"instances\"";

/// The answer without its entries.
#[derive(Deserialize)]
struct Outline {
    generation: u64,
    #[serde(default)]
    reset: bool,
    /// Present only to be of the right type: its entries have been taken out.
    #[serde(default, rename = "instances")]
    _entries: Vec<serde_json::Value>,
}

/// Where the next byte stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Outline,
    /// In the array of entries: before one, in one, or behind one.
    Entries,
}

/// An answer that is still coming.
#[derive(Debug)]
pub struct MembersReader {
    limits: ListLimits,
    bytes: usize,
    place: Place,
    /// Open brackets and braces.
    depth: usize,
    in_text: bool,
    escaped: bool,
    outline: Vec<u8>,
    /// The bytes of the entry that is still coming.
    entry: Vec<u8>,
    /// That entry has more bytes than one may have.
    entry_too_long: bool,
    /// A comma came last in the array: an entry has to follow.
    entry_due: bool,
    entries: Vec<ListEntry>,
    dropped: usize,
}

/// Depth of the field that holds the entries, and of the entries themselves.
const FIELDS: usize = 1;
const IN_ENTRIES: usize = 2;

impl MembersReader {
    pub fn new(limits: ListLimits) -> MembersReader {
        MembersReader {
            limits,
            bytes: 0,
            place: Place::Outline,
            depth: 0,
            in_text: false,
            escaped: false,
            outline: Vec::new(),
            entry: Vec::new(),
            entry_too_long: false,
            entry_due: false,
            entries: Vec::new(),
            dropped: 0,
        }
    }

    /// Takes the next bytes of the answer.
    ///
    /// # Errors
    /// When the answer has more bytes or entries than the limits allow, or an entry is no JSON.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), CatalogueError> {
        self.bytes = self.bytes.saturating_add(bytes.len());
        if self.bytes > self.limits.bytes {
            return Err(CatalogueError::TooLong { most: self.limits.bytes });
        }
        for byte in bytes {
            match self.place {
                Place::Outline => self.outline_byte(*byte)?,
                Place::Entries => self.entries_byte(*byte)?,
            }
        }
        Ok(())
    }

    /// The answer, now that its last byte was given.
    ///
    /// # Errors
    /// When it is no catalogue, or would leave the router without any worker.
    pub fn finish(self) -> Result<Members, CatalogueError> {
        let outline: Outline = serde_json::from_slice(&self.outline)?;
        let scope = if outline.reset { Scope::Full } else { Scope::Delta };
        Members::of(outline.generation, scope, self.entries, self.dropped)
    }

    fn outline_byte(&mut self, byte: u8) -> Result<(), CatalogueError> {
        if self.outline.len() >= MOST_OUTLINE {
            return Err(CatalogueError::OutlineTooLong { most: MOST_OUTLINE });
        }
        let begins_entries = byte == b'[' && !self.in_text && self.depth == FIELDS && self.is_entries_field();
        self.outline.push(byte);
        self.follow(byte);
        if begins_entries {
            self.place = Place::Entries;
            self.entry_due = false;
        }
        Ok(())
    }

    /// Whether the value that begins now is that of the field with the entries.
    fn is_entries_field(&self) -> bool {
        let before = self.outline.trim_ascii_end();
        before.strip_suffix(b":").is_some_and(|name| name.trim_ascii_end().ends_with(ENTRIES))
    }

    fn entries_byte(&mut self, byte: u8) -> Result<(), CatalogueError> {
        let between = self.depth == IN_ENTRIES && !self.in_text;
        match byte {
            b']' if between => {
                let ends_empty = !self.entry_due && self.entry.trim_ascii().is_empty();
                if !ends_empty {
                    self.end_entry()?;
                }
                self.place = Place::Outline;
                self.outline.push(byte);
                self.follow(byte);
            }
            b',' if between => {
                self.end_entry()?;
                self.entry_due = true;
            }
            _ => {
                self.follow(byte);
                if self.entry.len() < MOST_ENTRY {
                    self.entry.push(byte);
                } else {
                    self.entry_too_long |= !byte.is_ascii_whitespace();
                }
            }
        }
        Ok(())
    }

    fn end_entry(&mut self) -> Result<(), CatalogueError> {
        self.entry_due = false;
        if std::mem::take(&mut self.entry_too_long) {
            self.dropped += 1;
        } else {
            match serde_json::from_slice::<Instance>(&self.entry) {
                Ok(instance) => match instance.into_entry() {
                    Some(entry) => self.entries.push(entry),
                    None => self.dropped += 1,
                },
                // Sound JSON that is no entry costs nobody else; anything else is no answer at all.
                Err(error) if error.is_data() => self.dropped += 1,
                Err(error) => return Err(error.into()),
            }
        }
        self.entry.clear();
        if self.entries.len() + self.dropped > self.limits.entries {
            return Err(CatalogueError::TooMany { most: self.limits.entries });
        }
        Ok(())
    }

    /// Follows texts and nesting.
    fn follow(&mut self, byte: u8) {
        if self.in_text {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => self.in_text = false,
                _ => {}
            }
            return;
        }
        match byte {
            b'"' => self.in_text = true,
            b'[' | b'{' => self.depth += 1,
            b']' | b'}' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}
