//! Errors that carry the step and the peer at which they arose.

use compact_str::CompactString;
use quick_error::quick_error;

/// Step of the system's work at which an error arose.
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
    /// Waiting for an answer.
    Receive,
    /// Decoding a message or body.
    Decode,
    /// Reading from the platform's object API.
    PlatformRead,
    /// Writing to the platform's object API.
    PlatformWrite,
    /// Checking a declared resource.
    Validate,
}

quick_error! {
    /// Failure of one step towards one peer.
    #[derive(Clone, Debug)]
    pub enum ServeError {
        /// The peer could not be reached.
        Unreachable(step: Step, peer: CompactString, cause: CompactString) {
            display("{step:?} at {peer}: unreachable: {cause}")
        }
        /// The peer did not answer in time.
        Timeout(step: Step, peer: CompactString) {
            display("{step:?} at {peer}: timeout")
        }
        /// The peer's answer or a file's content was malformed.
        Malformed(step: Step, peer: CompactString, cause: CompactString) {
            display("{step:?} at {peer}: malformed: {cause}")
        }
        /// A conditional write met another version.
        Conflict(step: Step, peer: CompactString, version: u64) {
            display("{step:?} at {peer}: conflict with version {version}")
        }
        /// The named object does not exist.
        Missing(step: Step, peer: CompactString) {
            display("{step:?} at {peer}: no such object")
        }
        /// A watch asked for versions that the platform no longer keeps.
        Compacted(step: Step, peer: CompactString) {
            display("{step:?} at {peer}: versions no longer kept")
        }
        /// The peer refused the request.
        Rejected(step: Step, peer: CompactString, cause: CompactString) {
            display("{step:?} at {peer}: {cause}")
        }
        /// A field of a settings file or resource is out of bounds.
        Invalid(step: Step, peer: CompactString, field: CompactString, cause: CompactString) {
            display("{step:?} at {peer}: {field}: {cause}")
        }
    }
}

impl ServeError {
    /// Returns whether the step may have taken effect although it failed.
    pub fn is_ambiguous(&self) -> bool {
        matches!(
            self,
            ServeError::Timeout(..)
                | ServeError::Unreachable(Step::Receive, ..)
                | ServeError::Malformed(..)
        )
    }
}
