//! Error type that names the failed step and the peer.

use compact_str::CompactString;
use quick_error::quick_error;

/// Step in which an error occurred.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Reading a settings file.
    Settings,
    /// Binding a listener.
    Listen,
    /// Opening a connection.
    Connect,
    /// Sending a message or request.
    Send,
    /// Waiting for a response.
    Receive,
    /// Decoding a message or body.
    Decode,
    /// Reading from the platform's object API.
    PlatformRead,
    /// Writing to the platform's object API.
    PlatformWrite,
    /// Validating a declared resource.
    Validate,
}

quick_error! {
    /// Failure of one step; `peer` is the address, URL or file involved.
    #[derive(Clone, Debug)]
    pub enum ServeError {
        /// The peer could not be reached or the connection broke.
        Unreachable(step: Step, peer: CompactString, cause: CompactString) {
            display("{step:?} at {peer}: unreachable: {cause}")
        }
        /// The peer did not respond in time.
        Timeout(step: Step, peer: CompactString) {
            display("{step:?} at {peer}: timeout")
        }
        /// The peer's response or a file's content was malformed.
        Malformed(step: Step, peer: CompactString, cause: CompactString) {
            display("{step:?} at {peer}: malformed: {cause}")
        }
        /// The precondition of a write failed; `version` is the object's current version.
        Conflict(step: Step, peer: CompactString, version: u64) {
            display("{step:?} at {peer}: conflict with version {version}")
        }
        /// The named object does not exist.
        Missing(step: Step, peer: CompactString) {
            display("{step:?} at {peer}: no such object")
        }
        /// A watch requested versions that the platform has compacted.
        Compacted(step: Step, peer: CompactString) {
            display("{step:?} at {peer}: requested versions are compacted")
        }
        /// The peer rejected the request.
        Rejected(step: Step, peer: CompactString, cause: CompactString) {
            display("{step:?} at {peer}: {cause}")
        }
        /// A field of a settings file or resource is invalid.
        Invalid(step: Step, peer: CompactString, field: CompactString, cause: CompactString) {
            display("{step:?} at {peer}: {field}: {cause}")
        }
    }
}

impl ServeError {
    /// Returns whether the failed operation may still have taken effect.
    pub fn is_ambiguous(&self) -> bool {
        matches!(
            self,
            ServeError::Timeout(..)
                | ServeError::Unreachable(Step::Receive, ..)
                | ServeError::Malformed(..)
        )
    }
}
