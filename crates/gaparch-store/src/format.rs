//! Heads and records as bytes.

use crate::StoreError;

/// The format written here.
pub const FORMAT: u16 = 1;
/// Bytes of a record's body at most: 1 MiB.
pub const MAX_RECORD: usize = 1 << 20;

const MAGIC: &[u8; 8] = b"gaparch\n";
pub(crate) const HEAD: usize = 16;
const RECORD_HEAD: usize = 8;

pub(crate) fn head(schema: u16) -> [u8; HEAD] {
    let mut head = [0; HEAD];
    head[..8].copy_from_slice(MAGIC);
    head[8..10].copy_from_slice(&FORMAT.to_be_bytes());
    head[10..12].copy_from_slice(&schema.to_be_bytes());
    let sum = crc32fast::hash(&head[..12]);
    head[12..].copy_from_slice(&sum.to_be_bytes());
    head
}

/// What a file's first bytes say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Head {
    Schema(u16),
    /// Cut off or not one of ours.
    Damaged,
}

pub(crate) fn parse_head(file: &str, bytes: &[u8], newest: u16) -> Result<Head, StoreError> {
    let Some(head) = bytes.first_chunk::<HEAD>() else { return Ok(Head::Damaged) };
    let sum = crc32fast::hash(&head[..12]).to_be_bytes();
    if &head[..8] != MAGIC || head[12..] != sum {
        return Ok(Head::Damaged);
    }
    let format = u16::from_be_bytes([head[8], head[9]]);
    let schema = u16::from_be_bytes([head[10], head[11]]);
    if format > FORMAT || schema > newest {
        return Err(StoreError::Later { file: file.to_owned(), format, schema });
    }
    Ok(Head::Schema(schema))
}

pub(crate) fn put_record(body: &[u8], out: &mut Vec<u8>) -> Result<(), StoreError> {
    let length = u32::try_from(body.len()).ok().filter(|_| body.len() <= MAX_RECORD);
    let length = length.ok_or(StoreError::TooLong { length: body.len() })?.to_be_bytes();
    out.extend_from_slice(&length);
    out.extend_from_slice(&sum(length, body).to_be_bytes());
    out.extend_from_slice(body);
    Ok(())
}

fn sum(length: [u8; 4], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(body);
    hasher.finalize()
}

/// What came of reading a file's records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Scan {
    /// Bytes up to the end of the last record before a torn tail.
    pub sound: usize,
    /// Bytes after it.
    pub torn: usize,
    /// Records within that are not what was written.
    pub damaged: usize,
}

enum Next<'a> {
    Record(&'a [u8], usize),
    /// Its sum is wrong, though all its bytes are there.
    Damaged(usize),
    /// It reaches past the end, or its length makes no sense.
    Cut,
}

fn next(bytes: &[u8]) -> Next<'_> {
    let Some((head, rest)) = bytes.split_first_chunk::<RECORD_HEAD>() else { return Next::Cut };
    let length = [head[0], head[1], head[2], head[3]];
    let body = u32::from_be_bytes(length) as usize;
    match rest.get(..body).filter(|_| body <= MAX_RECORD) {
        None => Next::Cut,
        Some(body) if sum(length, body).to_be_bytes() == head[4..] => {
            Next::Record(body, RECORD_HEAD + body.len())
        }
        Some(body) => Next::Damaged(RECORD_HEAD + body.len()),
    }
}

/// Reads the records after a head. One that is damaged in the middle costs itself; where the end of the file
/// makes no sense, that is what a kill in the middle of a write leaves.
pub(crate) fn scan(bytes: &[u8], mut take: impl FnMut(&[u8])) -> Scan {
    let mut scan = Scan { sound: HEAD.min(bytes.len()), ..Scan::default() };
    let mut at = scan.sound;
    let mut damaged = 0;
    loop {
        match next(&bytes[at..]) {
            Next::Record(body, length) => {
                take(body);
                at += length;
                // What follows it was written later, so this was no torn end.
                scan.damaged += std::mem::take(&mut damaged);
                scan.sound = at;
            }
            Next::Damaged(length) => {
                at += length;
                damaged += 1;
            }
            Next::Cut => break,
        }
    }
    scan.torn = bytes.len() - scan.sound;
    scan
}
