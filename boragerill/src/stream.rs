//! Cuts event streams into complete events and knows where a broken one can be resumed.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Number of an event within its stream.
pub type EventId = u64;

/// Largest event, in bytes.
const EVENT_LIMIT_BYTES: usize = 256 * 1024;

/// Cuts the bytes of one or more runs of the same request into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize, // Bytes of the buffer in which no event ends.
    last: Option<EventId>,
    taken: u64,
}

/// Why a stream can't go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamFault {
    /// An event is larger than allowed.
    Oversized,
    /// The events' numbers have a gap or repeat.
    Disordered,
    /// What arrived is no event.
    Malformed,
    /// The stream ended within an event.
    Truncated,
}

/// Complete events in the order of their numbers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventChunk {
    /// The events as they came.
    pub bytes: Bytes,
    /// How many they are.
    pub count: u64,
}

impl EventSplitter {
    /// Takes bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the complete events that have arrived, if there are any.
    ///
    /// # Errors
    ///
    /// Returns the fault for which the run must be given up.
    pub fn take(&mut self) -> Result<Option<EventChunk>, StreamFault> {
        let mut end = 0;
        let mut count = 0;
        while let Some(length) = self.find_end(end) {
            let event = &self.buffer[end..end + length];
            let id = event_id(event);
            check_event(event, id, self.last)?;
            self.last = id.or(self.last);
            end += length;
            count += 1;
        }
        if self.buffer.len() - end > EVENT_LIMIT_BYTES {
            return Err(StreamFault::Oversized);
        }
        self.searched = self.buffer.len() - end;
        if count == 0 {
            return Ok(None);
        }
        self.taken += count;
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(EventChunk { bytes, count }))
    }

    /// Checks that nothing of an event is left at the end of a run.
    ///
    /// # Errors
    ///
    /// Returns `StreamFault::Truncated` when the last event is incomplete.
    pub fn finish(&self) -> Result<(), StreamFault> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        Err(StreamFault::Truncated)
    }

    /// Drops what came of an incomplete event, before another run goes on after the last complete one.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Returns the number of the last complete event.
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Returns how many complete events were taken.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Returns the length of the event that begins at `start`, with the blank line that ends it.
    fn find_end(&self, start: usize) -> Option<usize> {
        let from = start.max(self.searched.saturating_sub(3));
        let bytes = &self.buffer[from..];
        let mut index = 0;
        while let Some(offset) = bytes[index..].iter().position(|&byte| byte == b'\n') {
            let line_end = index + offset + 1;
            let rest = &bytes[line_end..];
            let blank = match rest {
                [b'\n', ..] => 1,
                [b'\r', b'\n', ..] => 2,
                _ => 0,
            };
            if blank > 0 {
                return Some(from + line_end + blank - start);
            }
            index = line_end;
        }
        None
    }
}

/// Checks that bytes are an event, or a comment, that can follow the event numbered `last`.
fn check_event(
    event: &[u8],
    id: Option<EventId>,
    last: Option<EventId>,
) -> Result<(), StreamFault> {
    match (id, last) {
        (Some(id), Some(last)) if id != last + 1 => Err(StreamFault::Disordered),
        (Some(_), _) => Ok(()),
        (None, _) if is_comment(event) => Ok(()),
        (None, None) if has_field(event, b"data") => Ok(()),
        (None, _) => Err(StreamFault::Malformed),
    }
}

fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|&byte| byte == b'\n');
    event.first() == Some(&b':')
        && lines.all(|line| {
            line.first()
                .is_none_or(|&byte| byte == b':' || byte == b'\r')
        })
}

fn has_field(event: &[u8], name: &[u8]) -> bool {
    field_lines(event, name).next().is_some()
}

/// Returns the number that an event carries.
pub fn event_id(event: &[u8]) -> Option<EventId> {
    let value = field_lines(event, b"id").next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns the data of an event; several lines are joined by line feeds.
pub fn event_data(event: &[u8]) -> Vec<u8> {
    let lines: Vec<&[u8]> = field_lines(event, b"data").collect();
    lines.join(&b'\n')
}

/// Returns the events of a chunk one by one.
pub fn split_events(chunk: &[u8]) -> Vec<&[u8]> {
    let mut events = Vec::new();
    let mut start = 0;
    let mut index = 0;
    while let Some(offset) = chunk[index..].iter().position(|&byte| byte == b'\n') {
        let line_end = index + offset + 1;
        let blank = match &chunk[line_end..] {
            [b'\n', ..] => 1,
            [b'\r', b'\n', ..] => 2,
            _ => 0,
        };
        index = line_end + blank;
        if blank > 0 {
            events.push(&chunk[start..index]);
            start = index;
        }
    }
    events
}

fn field_lines<'a>(event: &'a [u8], name: &'a [u8]) -> impl Iterator<Item = &'a [u8]> {
    let lines = event.split(|&byte| byte == b'\n');
    lines.filter_map(move |line| {
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        let value = value.strip_suffix(b"\r").unwrap_or(value);
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}
