//! The frame format of log segments: one frame for each synced write.
//!
//! A frame is written only after the previous one was synced. Everything before an
//! intact frame was therefore synced, and damage there cannot be a torn write.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Size of a frame header: frame number (8 bytes), payload length (4), CRC-32 of the
/// payload (4), CRC-32 of the header up to here (4), all little-endian.
pub(super) const HEADER_BYTES: usize = 20;

/// The largest payload. Larger writes are split into several frames. It also bounds the
/// memory that a corrupt length can request.
pub(super) const MAX_PAYLOAD_BYTES: usize = 4 << 20;

/// Smallest unit that a crash leaves unwritten; unwritten sectors read as zeros.
const SECTOR_BYTES: usize = 512;

/// The result of reading at an offset in a segment.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum FrameRead<'a> {
    /// An intact frame.
    Frame {
        number: u64,
        payload: &'a [u8],
        /// Size of the frame, including the header.
        bytes: usize,
    },
    /// The segment ends here.
    End,
    /// A partial frame, as a crash during a write can leave it.
    Torn,
    /// Damage that a crash during a write cannot explain.
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

/// Reads the frame at offset `at` in a segment.
pub(super) fn read(segment: &[u8], at: usize) -> FrameRead<'_> {
    let bytes = &segment[at..];
    if bytes.is_empty() {
        return FrameRead::End;
    }
    match parse_frame(bytes) {
        Some(frame) => frame,
        None if has_later_frame(bytes) => {
            FrameRead::Damaged("an intact write follows, so this write was complete")
        }
        None if is_complete_but_corrupt(bytes, at) => {
            FrameRead::Damaged("the write is complete, but its checksum differs")
        }
        None => FrameRead::Torn,
    }
}

/// Parses the frame at the start of `bytes`, if it is intact.
fn parse_frame(bytes: &[u8]) -> Option<FrameRead<'_>> {
    let (number, length, checksum) = parse_header(bytes)?;
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    (crc32fast::hash(payload) == checksum).then_some(FrameRead::Frame {
        number,
        payload,
        bytes: HEADER_BYTES + length,
    })
}

/// Returns frame number, payload length and payload checksum, if the header is intact.
fn parse_header(bytes: &[u8]) -> Option<(u64, usize, u32)> {
    let header = bytes.get(..HEADER_BYTES)?;
    let read_u32 = |at: usize| header[at..at + 4].try_into().map(u32::from_le_bytes).ok();
    if crc32fast::hash(&header[..16]) != read_u32(16)? {
        return None;
    }
    let number = u64::from(read_u32(0)?) | u64::from(read_u32(4)?) << 32;
    let length = read_u32(8)? as usize;
    (length <= MAX_PAYLOAD_BYTES).then_some((number, length, read_u32(12)?))
}

/// Returns whether an intact frame starts anywhere after the first byte.
fn has_later_frame(bytes: &[u8]) -> bool {
    (1..bytes.len()).any(|at| parse_frame(&bytes[at..]).is_some())
}

/// Returns whether all bytes of a corrupt last frame are present, with no sector left
/// unwritten by a crash. Its entries may have been synced and acknowledged, so truncating
/// it could lose acknowledged entries.
fn is_complete_but_corrupt(bytes: &[u8], at: usize) -> bool {
    let Some((_, length, _)) = parse_header(bytes) else {
        return false;
    };
    let Some(frame) = bytes.get(..HEADER_BYTES + length) else {
        return false;
    };
    // The rest of the sector in which the frame starts, then the sectors after it.
    let (first, rest) = frame.split_at((SECTOR_BYTES - at % SECTOR_BYTES).min(frame.len()));
    let is_zero = |sector: &[u8]| sector.iter().all(|b| *b == 0);
    !is_zero(first) && !rest.chunks(SECTOR_BYTES).any(is_zero)
}

/// Encodes a value for a frame or a file.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("plain data always encodes, and a vector grows as needed")
}

/// Decodes one value and returns it with the number of bytes read. `LIMIT` bounds the
/// memory that corrupt lengths can request.
pub(super) fn decode<T: DeserializeOwned, const LIMIT: usize>(
    bytes: &[u8],
) -> Result<(T, usize), String> {
    let config = bincode::config::standard().with_limit::<LIMIT>();
    bincode::serde::decode_from_slice(bytes, config).map_err(|e| e.to_string())
}
