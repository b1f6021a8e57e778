//! Checks that an engine's response is complete and belongs to its request.

use std::borrow::Cow;

use bytes::{
    Bytes,
    BytesMut, //
};
use compact_str::CompactString;
use serde::Deserialize;

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One complete event of a response stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// Part of the response; holds the event as received.
    Part(Bytes),
    /// End marker; holds the event as received.
    Done(Bytes),
}

/// Why a response can't be forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseFault {
    /// The response belongs to another request.
    Mismatched,
    /// The response is truncated or can't be parsed.
    Malformed,
}

/// Splits a byte stream into events and checks that each belongs to the request.
#[derive(Debug)]
pub struct EventScanner {
    request_id: CompactString,
    buffer: BytesMut,
}

#[derive(Deserialize)]
struct ResponseId<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
}

/// Checks a complete response body or the data of one event.
///
/// # Errors
///
/// Returns `ResponseFault::Malformed` for truncated or invalid JSON, and `ResponseFault::Mismatched` for
/// another id.
pub fn check_response(body: &[u8], request_id: &str) -> Result<(), ResponseFault> {
    let answer: ResponseId<'_> =
        serde_json::from_slice(body).map_err(|_| ResponseFault::Malformed)?;
    if answer.id != request_id {
        return Err(ResponseFault::Mismatched);
    }
    Ok(())
}

impl EventScanner {
    /// Makes a scanner for the response to one request.
    pub fn new(request_id: &str) -> EventScanner {
        EventScanner {
            request_id: request_id.into(),
            buffer: BytesMut::new(),
        }
    }

    /// Appends received bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if there is one; comments are skipped.
    ///
    /// # Errors
    ///
    /// Returns the fault for which the stream must be broken off.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, ResponseFault> {
        let Some(end) = self.buffer.windows(2).position(|window| window == b"\n\n") else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(ResponseFault::Malformed)
            } else {
                Ok(None)
            };
        };
        let event = self.buffer.split_to(end + 2).freeze();
        let Some(data) = event.strip_prefix(b"data:").map(<[u8]>::trim_ascii) else {
            // Comments and other fields hold no part of the response.
            return self.next_event();
        };
        if data == b"[DONE]" {
            return Ok(Some(StreamEvent::Done(event)));
        }
        check_response(data, &self.request_id)?;
        Ok(Some(StreamEvent::Part(event)))
    }
}
