//! Decides whether the end of a response's body is the end of the response.
//!
//! A response without length or chunks ends with its connection. The kernel ends the connections of a process that is
//! killed in the same way, so such an end counts only if the server's process has outlived it. A connection that is reset,
//! or whose server has not taken the whole request, marks no end either.
//!
//! A running server may break its response off as well. That can't be told from an end between two parts of the output, but
//! it can where no output has come: a response that owes some isn't complete without it, however it ends, and an empty one
//! counts only if its end is marked or no other run can show more.

use reqwest::{
    header::{
        HeaderMap,
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    },
    Response,
    StatusCode, //
};

/// Length of a request up to which a connection takes it whole, whether the server reads it or not.
const SHORT_REQUEST_BYTES: usize = 16 * 1024;

/// Checks, for clients that see nothing of a connection but its end, that a success can't be a part of a response whose
/// server closed the connection before it had read the request. Returns what marks the end of the response.
///
/// # Errors
///
/// Returns the cause if the end of the response isn't marked and the request was long.
pub fn check_marked(
    response: &Response,
    request_bytes: usize,
) -> Result<BodyFraming, &'static str> {
    let is_without_body = response.content_length() == Some(0);
    let framing = BodyFraming::of(response.headers(), is_without_body);
    let is_long = request_bytes > SHORT_REQUEST_BYTES;
    match response.status().is_success() && framing == BodyFraming::Connection && is_long {
        true => Err("response without a length to a request that the server may not have read"),
        false => Ok(framing),
    }
}

/// Checks, for clients that see nothing of a connection but its end, that the body of a success isn't missing.
///
/// # Errors
///
/// Returns the cause if the body is empty and its end isn't marked.
pub fn check_body(framing: BodyFraming, status: StatusCode, body: &[u8]) -> Result<(), EndFault> {
    match status.is_success() && framing == BodyFraming::Connection && body.is_empty() {
        true => Err(EndFault::NothingAdded),
        false => Ok(()),
    }
}

/// What marks the end of a response's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// Chunks, a length, or a status or method without a body.
    Marked,
    /// The end of the connection, by which a server that has crashed ends a response as well.
    Connection,
}

/// State of a server's process after it has ended a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessState {
    /// A connection from before the end is still open.
    Running,
    /// Another one accepts connections: one that was open before the end was closed with it.
    Replaced,
    /// It accepts a connection, and there was none before the end. It may be another process.
    Listening,
    /// It refuses connections.
    Gone,
    /// It accepts no connection in time, or closes accepted ones at once.
    Unknown,
}

/// How a connection ended whose server had ended its side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionEnd {
    /// The request was written to its end, and the server didn't reset the connection.
    Regular,
    /// The server reset the connection.
    Reset,
    /// The request wasn't written to its end in time, since the server doesn't read it.
    Unfinished,
}

/// What has come of the output of a response by its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputState {
    /// Some output, or an error, which needs none.
    Received,
    /// None. There may be none: the run goes on after output that may be whole, or the response is no stream.
    Empty {
        /// Whether another run shows if there is none.
        can_be_shown: bool,
    },
    /// None, although the run owes some: it began with the request, which always has output.
    Missing,
}

/// Why the end of a response isn't accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndFault {
    /// It ended before the output that it owes.
    OutputMissing,
    /// It ended with its connection and without output, so that nothing shows whether there is none.
    NothingAdded,
    /// The server reset the connection, or ended it before it had taken the whole request.
    ConnectionReset,
    /// The process that sent the response is gone.
    ProcessGone,
    /// Nothing shows whether it is gone.
    ProcessUnknown,
}

/// Whether the end of a response's body is the end of the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndVerdict {
    /// The response is complete.
    Complete,
    /// The state of the server's process has to be found out.
    Undecided,
    /// The response counts as broken off.
    BrokenOff(EndFault),
}

/// End of a response's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseEnd {
    /// What marks it.
    pub framing: BodyFraming,
    /// Output that came before it.
    pub output: OutputState,
    /// How its connection ended, once known.
    pub connection: Option<ConnectionEnd>,
    /// State of the server's process after it, once known.
    pub process: Option<ProcessState>,
    /// Whether the request may run again, here or when its caller sends it again, which shows whether the response was
    /// complete.
    pub may_run_again: bool,
}

impl ResponseEnd {
    /// Decides whether the response is complete.
    pub fn decide(&self) -> EndVerdict {
        match (self.framing, self.connection) {
            _ if self.output == OutputState::Missing => {
                return EndVerdict::BrokenOff(EndFault::OutputMissing);
            }
            (BodyFraming::Marked, _) => return EndVerdict::Complete,
            (_, None) => return EndVerdict::Undecided,
            (_, Some(ConnectionEnd::Reset | ConnectionEnd::Unfinished)) => {
                return EndVerdict::BrokenOff(EndFault::ConnectionReset);
            }
            (_, Some(ConnectionEnd::Regular)) => {}
        }
        // The server runs as far as can be seen, so that only its output tells whether it broke the response off.
        let at_running_server = match self.output {
            OutputState::Empty { can_be_shown: true } => {
                EndVerdict::BrokenOff(EndFault::NothingAdded)
            }
            _ => EndVerdict::Complete,
        };
        match self.process {
            Some(ProcessState::Running) => at_running_server,
            None => EndVerdict::Undecided,
            Some(ProcessState::Listening) if !self.may_run_again => at_running_server,
            Some(ProcessState::Gone | ProcessState::Replaced) => {
                EndVerdict::BrokenOff(EndFault::ProcessGone)
            }
            Some(ProcessState::Listening | ProcessState::Unknown) => {
                EndVerdict::BrokenOff(EndFault::ProcessUnknown)
            }
        }
    }
}

impl BodyFraming {
    /// Returns what marks the end of a response's body.
    pub fn of(headers: &HeaderMap, is_without_body: bool) -> BodyFraming {
        let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
        let is_chunked = encodings.next_back().is_some_and(|value| {
            let last = value.to_str().unwrap_or_default().rsplit(',').next();
            last.is_some_and(|name| name.trim().eq_ignore_ascii_case("chunked"))
        });
        match is_chunked || is_without_body || headers.contains_key(CONTENT_LENGTH) {
            true => BodyFraming::Marked,
            false => BodyFraming::Connection,
        }
    }

    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            BodyFraming::Marked => "marked",
            BodyFraming::Connection => "connection",
        }
    }
}

impl ProcessState {
    /// Returns the name used in logs and as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            ProcessState::Running => "running",
            ProcessState::Replaced => "replaced",
            ProcessState::Listening => "listening",
            ProcessState::Gone => "gone",
            ProcessState::Unknown => "unknown",
        }
    }
}

impl ConnectionEnd {
    /// Returns the name used in logs and as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::Regular => "regular",
            ConnectionEnd::Reset => "reset",
            ConnectionEnd::Unfinished => "unfinished",
        }
    }
}

impl EndFault {
    /// Returns the cause as text for logs.
    pub fn text(self) -> &'static str {
        match self {
            EndFault::OutputMissing => "response ended before its first output",
            EndFault::NothingAdded => {
                "response ended with its connection and without output, which doesn't show that there is none"
            }
            EndFault::ConnectionReset => {
                "response ended with its connection before the server had taken the whole request"
            }
            EndFault::ProcessGone => "response ended with its server's process",
            EndFault::ProcessUnknown => {
                "response ended with its connection, whose server may be gone"
            }
        }
    }
}

impl EndVerdict {
    /// Returns the name used in logs and as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            EndVerdict::Complete => "complete",
            EndVerdict::Undecided => "undecided",
            EndVerdict::BrokenOff(_) => "broken_off",
        }
    }
}
