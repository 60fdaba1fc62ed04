//! How records lie in a segment: one frame for each synced write.
//!
//! A frame is written only after the one before it was synced. So whatever comes
//! before an intact frame was synced too, and damage there is no torn write.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// `number` (8 bytes), length (4), checksum of the payload (4), checksum of the
/// header so far (4), all little-endian.
pub(super) const HEADER_BYTES: usize = 20;

/// The largest payload. Larger writes are split; a wrong length can't ask for
/// more memory than this.
pub(super) const PAYLOAD_LIMIT_BYTES: usize = 4 << 20;

/// Blocks that a crash leaves unwritten read as zeros in at least this unit.
const SECTOR_BYTES: usize = 512;

/// What stands at a place in a segment.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Read<'a> {
    /// An intact frame.
    Frame {
        number: u64,
        payload: &'a [u8],
        /// Its size with the header.
        bytes: usize,
    },
    /// The segment ends here.
    End,
    /// Bytes as a crash in the middle of a write can leave them.
    Torn,
    /// Bytes that no crash leaves.
    Damaged(&'static str),
}

/// Appends a frame.
pub(super) fn write(out: &mut Vec<u8>, number: u64, payload: &[u8]) {
    let mut header = Vec::with_capacity(HEADER_BYTES);
    header.extend_from_slice(&number.to_le_bytes());
    header.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    header.extend_from_slice(&crc32fast::hash(&header).to_le_bytes());
    out.extend_from_slice(&header);
    out.extend_from_slice(payload);
}

/// Reads what stands at `at` in a segment.
pub(super) fn read(segment: &[u8], at: usize) -> Read<'_> {
    let bytes = &segment[at..];
    if bytes.is_empty() {
        return Read::End;
    }
    match intact(bytes) {
        Some(frame) => frame,
        None if later_frame(bytes) => Read::Damaged("a later write is whole, so this one was"),
        None if whole_but_wrong(bytes, at) => {
            Read::Damaged("all of it was written, yet it differs")
        }
        None => Read::Torn,
    }
}

fn intact(bytes: &[u8]) -> Option<Read<'_>> {
    let (number, length, checksum) = header(bytes)?;
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    (crc32fast::hash(payload) == checksum).then_some(Read::Frame {
        number,
        payload,
        bytes: HEADER_BYTES + length,
    })
}

/// Number, length and payload's checksum, if the header is intact.
fn header(bytes: &[u8]) -> Option<(u64, usize, u32)> {
    let header = bytes.get(..HEADER_BYTES)?;
    let word = |at: usize| header[at..at + 4].try_into().map(u32::from_le_bytes).ok();
    if crc32fast::hash(&header[..16]) != word(16)? {
        return None;
    }
    let number = u64::from(word(0)?) | u64::from(word(4)?) << 32;
    let length = word(8)? as usize;
    (length <= PAYLOAD_LIMIT_BYTES).then_some((number, length, word(12)?))
}

fn later_frame(bytes: &[u8]) -> bool {
    (1..bytes.len()).any(|at| intact(&bytes[at..]).is_some())
}

/// Whether the last frame's bytes are all there, none left out by a crash, and
/// still not what was written. Its synced entries may have been acknowledged, so
/// to cut it would be to forget them.
fn whole_but_wrong(bytes: &[u8], at: usize) -> bool {
    let Some((_, length, _)) = header(bytes) else {
        return false;
    };
    let Some(frame) = bytes.get(..HEADER_BYTES + length) else {
        return false;
    };
    // Up to the end of the sector in which the frame begins, then sector by sector.
    let (first, rest) = frame.split_at((SECTOR_BYTES - at % SECTOR_BYTES).min(frame.len()));
    let zeros = |sector: &[u8]| sector.iter().all(|b| *b == 0);
    !zeros(first) && !rest.chunks(SECTOR_BYTES).any(zeros)
}

/// Encodes a value for a frame or a file.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("plain data, and a vector has no end to reach")
}

/// Decodes one value; returns it with the number of bytes it took. `LIMIT` bounds
/// the memory that wrong lengths can ask for.
pub(super) fn decode<T: DeserializeOwned, const LIMIT: usize>(
    bytes: &[u8],
) -> Result<(T, usize), String> {
    let config = bincode::config::standard().with_limit::<LIMIT>();
    bincode::serde::decode_from_slice(bytes, config).map_err(|e| e.to_string())
}
