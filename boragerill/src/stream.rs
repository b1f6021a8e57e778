//! Splits server-sent event streams into complete events, and tracks the event after which a broken stream can
//! be resumed.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Number of an event within its stream, from its `id` field.
pub type EventId = u64;

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits the byte streams of successive runs of one request into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize, // Number of leading bytes of the buffer in which no event ends.
    last: Option<EventId>,
    event_count: u64,      // Number of events returned so far.
    output_count: u64,     // Number of those that aren't comments.
    has_begun_event: bool, // Whether a run was left within the event after the last one.
}

/// Why a stream can't be continued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamFault {
    /// An event is larger than allowed.
    Oversized,
    /// The event numbers have a gap or a repetition.
    OutOfSequence,
    /// The received bytes are neither an event nor a comment.
    Malformed,
    /// The stream ended within an event.
    Truncated,
}

/// Complete events in the order of their numbers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventChunk {
    /// The events as received.
    pub bytes: Bytes,
    /// Number of events.
    pub count: u64,
}

impl EventSplitter {
    /// Creates a splitter for a stream that goes on after event `last`; with `None`, it begins with any event.
    pub fn after(last: Option<EventId>) -> EventSplitter {
        EventSplitter {
            last,
            ..EventSplitter::default()
        }
    }

    /// Appends received bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the complete events received so far, if there are any.
    ///
    /// # Errors
    ///
    /// Returns the fault for which the run must be abandoned.
    pub fn take(&mut self) -> Result<Option<EventChunk>, StreamFault> {
        let mut end = 0;
        let mut count = 0;
        let mut output_count = 0;
        let mut is_faulty = false;
        while let Some(length) = self.find_end(end) {
            let event = &self.buffer[end..end + length];
            let id = event_id(event);
            match check_event(event, id, self.last) {
                Ok(()) => {}
                // The fault is reported once the events before it have been returned.
                Err(_) if count > 0 => {
                    is_faulty = true;
                    break;
                }
                Err(fault) => return Err(fault),
            }
            self.last = id.or(self.last);
            output_count += u64::from(!is_comment(event));
            end += length;
            count += 1;
        }
        let rest = self.buffer.len() - end;
        if count == 0 && rest > MAX_EVENT_BYTES {
            return Err(StreamFault::Oversized);
        }
        self.searched = if is_faulty { 0 } else { rest };
        if count == 0 {
            return Ok(None);
        }
        self.event_count += count;
        self.output_count += output_count;
        self.has_begun_event &= output_count == 0;
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(EventChunk { bytes, count }))
    }

    /// Checks that the run didn't end within an event.
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

    /// Discards an incomplete event, before another run resumes the stream after the last complete one.
    pub fn discard_partial(&mut self) {
        self.has_begun_event |= self.buffer.first().is_some_and(|&byte| byte != b':');
        self.buffer.clear();
        self.searched = 0;
    }

    /// Returns the number of the last complete event.
    pub fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Returns the number of complete events returned so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns the number of complete events returned so far that have content: a comment is no output.
    pub fn output_count(&self) -> u64 {
        self.output_count
    }

    /// Returns whether an earlier run has begun the event that is due next: then the stream hasn't ended before it.
    pub fn has_begun_event(&self) -> bool {
        self.has_begun_event
    }

    /// Returns the length of the event that begins at `start`, including its closing blank line.
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

/// Checks that `event` is an event or a comment that can follow the event numbered `last`.
fn check_event(
    event: &[u8],
    id: Option<EventId>,
    last: Option<EventId>,
) -> Result<(), StreamFault> {
    match (id, last) {
        (Some(id), Some(last)) if id != last + 1 => Err(StreamFault::OutOfSequence),
        (Some(_), _) => Ok(()),
        (None, _) if is_comment(event) => Ok(()),
        (None, None) if has_field(event, b"data") => Ok(()),
        (None, _) => Err(StreamFault::Malformed),
    }
}

/// Returns whether an event, as split off, consists of comments only.
pub fn is_comment(event: &[u8]) -> bool {
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

/// Returns the number in an event's `id` field.
pub fn event_id(event: &[u8]) -> Option<EventId> {
    let value = field_lines(event, b"id").next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns the data of an event; multiple `data` lines are joined by line feeds.
pub fn event_data(event: &[u8]) -> Vec<u8> {
    let lines: Vec<&[u8]> = field_lines(event, b"data").collect();
    lines.join(&b'\n')
}

/// Splits a chunk of complete events into its events.
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
