//! Encoding and decoding of file headers and records.

use crate::StoreError;

/// The file format version that this version of the crate writes.
pub const FORMAT: u16 = 1;
/// Maximum length of a record's body: 1 MiB.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

const MAGIC: &[u8; 8] = b"gaparch\n";
pub(crate) const FILE_HEADER_BYTES: usize = 16;
const RECORD_HEADER_BYTES: usize = 8;

/// Encodes the header of a file whose records have the given schema.
pub(crate) fn encode_file_header(schema: u16) -> [u8; FILE_HEADER_BYTES] {
    let mut header = [0; FILE_HEADER_BYTES];
    header[..8].copy_from_slice(MAGIC);
    header[8..10].copy_from_slice(&FORMAT.to_be_bytes());
    header[10..12].copy_from_slice(&schema.to_be_bytes());
    let checksum = crc32fast::hash(&header[..12]);
    header[12..].copy_from_slice(&checksum.to_be_bytes());
    header
}

/// The result of parsing a file's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileHeader {
    /// The header is valid and has this schema.
    Schema(u16),
    /// The header is truncated, or its magic number or checksum is wrong.
    Damaged,
}

/// Parses a file's header.
///
/// # Errors
/// When the format or the schema is newer than the supported one.
pub(crate) fn parse_file_header(
    file: &str,
    bytes: &[u8],
    supported_schema: u16,
) -> Result<FileHeader, StoreError> {
    let Some(header) = bytes.first_chunk::<FILE_HEADER_BYTES>() else { return Ok(FileHeader::Damaged) };
    let checksum = crc32fast::hash(&header[..12]).to_be_bytes();
    if &header[..8] != MAGIC || header[12..] != checksum {
        return Ok(FileHeader::Damaged);
    }
    let format = u16::from_be_bytes([header[8], header[9]]);
    let schema = u16::from_be_bytes([header[10], header[11]]);
    if format > FORMAT || schema > supported_schema {
        return Err(StoreError::UnsupportedVersion { file: file.to_owned(), format, schema });
    }
    Ok(FileHeader::Schema(schema))
}

/// Appends a record with its header to `out`.
pub(crate) fn encode_record(body: &[u8], out: &mut Vec<u8>) -> Result<(), StoreError> {
    if body.len() > MAX_RECORD_BYTES {
        return Err(StoreError::RecordTooLong { length: body.len() });
    }
    let length = u32::try_from(body.len()).map_err(|_| StoreError::RecordTooLong { length: body.len() })?;
    let length = length.to_be_bytes();
    out.extend_from_slice(&length);
    out.extend_from_slice(&record_checksum(length, body).to_be_bytes());
    out.extend_from_slice(body);
    Ok(())
}

fn record_checksum(length: [u8; 4], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(body);
    hasher.finalize()
}

/// Statistics of a scan of a file's records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ScanResult {
    /// Bytes from the start of the file to the end of the last valid record.
    pub valid_bytes: usize,
    /// Bytes after the last valid record, as left by a crash in the middle of a write.
    pub torn_bytes: usize,
    /// Records with a wrong checksum before the last valid record.
    pub damaged_records: usize,
}

enum NextRecord<'a> {
    Valid {
        body: &'a [u8],
        bytes: usize,
    },
    /// The record is complete, but its checksum is wrong.
    Damaged {
        bytes: usize,
    },
    /// The record extends past the end of the file, or its length is invalid.
    Incomplete,
}

fn next_record(bytes: &[u8]) -> NextRecord<'_> {
    let Some((header, rest)) = bytes.split_first_chunk::<RECORD_HEADER_BYTES>() else {
        return NextRecord::Incomplete;
    };
    let length = [header[0], header[1], header[2], header[3]];
    let body_bytes = u32::from_be_bytes(length) as usize;
    if body_bytes > MAX_RECORD_BYTES {
        return NextRecord::Incomplete;
    }
    let Some(body) = rest.get(..body_bytes) else { return NextRecord::Incomplete };
    let bytes = RECORD_HEADER_BYTES + body_bytes;
    match record_checksum(length, body).to_be_bytes() == header[4..] {
        true => NextRecord::Valid { body, bytes },
        false => NextRecord::Damaged { bytes },
    }
}

/// Calls `on_record` with the body of each valid record after the file's header. A damaged record before a
/// valid one is skipped; damaged records at the end count as torn, since a crash in the middle of a write
/// leaves such records.
pub(crate) fn scan(bytes: &[u8], mut on_record: impl FnMut(&[u8])) -> ScanResult {
    let mut result = ScanResult { valid_bytes: FILE_HEADER_BYTES.min(bytes.len()), ..ScanResult::default() };
    let mut position = result.valid_bytes;
    let mut damaged_since_valid = 0;
    loop {
        match next_record(&bytes[position..]) {
            NextRecord::Valid { body, bytes } => {
                on_record(body);
                position += bytes;
                // The damaged records before this valid one are not the remains of a torn write.
                result.damaged_records += std::mem::take(&mut damaged_since_valid);
                result.valid_bytes = position;
            }
            NextRecord::Damaged { bytes } => {
                position += bytes;
                damaged_since_valid += 1;
            }
            NextRecord::Incomplete => break,
        }
    }
    result.torn_bytes = bytes.len() - result.valid_bytes;
    result
}
