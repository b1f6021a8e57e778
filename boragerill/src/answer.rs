//! Checks that an engine's answer is whole and belongs to its request.

use std::borrow::Cow;

use bytes::{
    Bytes,
    BytesMut, //
};
use compact_str::CompactString;
use serde::Deserialize;

/// Largest event, in bytes.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// One complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// A part of the answer; holds the event as it came.
    Part(Bytes),
    /// The end marker.
    Done(Bytes),
}

/// Why an answer can't be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseFault {
    /// The answer belongs to another request.
    Mismatched,
    /// The answer is truncated or can't be read.
    Malformed,
}

/// Cuts a byte stream into events and checks that each belongs to the request.
#[derive(Debug)]
pub struct EventScanner {
    request_id: CompactString,
    buffer: BytesMut,
}

#[derive(Deserialize)]
struct AnswerId<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
}

/// Checks a whole answer or the data of one event.
///
/// # Errors
///
/// Returns `ResponseFault::Malformed` for truncated JSON and `ResponseFault::Mismatched` for another id.
pub fn check_response(body: &[u8], request_id: &str) -> Result<(), ResponseFault> {
    let answer: AnswerId<'_> =
        serde_json::from_slice(body).map_err(|_| ResponseFault::Malformed)?;
    if answer.id != request_id {
        return Err(ResponseFault::Mismatched);
    }
    Ok(())
}

impl EventScanner {
    /// Makes a scanner for the answer to one request.
    pub fn new(request_id: &str) -> EventScanner {
        EventScanner {
            request_id: request_id.into(),
            buffer: BytesMut::new(),
        }
    }

    /// Takes bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one; comments are passed over.
    ///
    /// # Errors
    ///
    /// Returns the fault for which the stream must end.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, ResponseFault> {
        let Some(end) = self.buffer.windows(2).position(|window| window == b"\n\n") else {
            return if self.buffer.len() > EVENT_LIMIT_BYTES {
                Err(ResponseFault::Malformed)
            } else {
                Ok(None)
            };
        };
        let event = self.buffer.split_to(end + 2).freeze();
        let Some(data) = event.strip_prefix(b"data:").map(<[u8]>::trim_ascii) else {
            // Comments and other fields carry no part of the answer.
            return self.next_event();
        };
        if data == b"[DONE]" {
            return Ok(Some(StreamEvent::Done(event)));
        }
        check_response(data, &self.request_id)?;
        Ok(Some(StreamEvent::Part(event)))
    }
}
