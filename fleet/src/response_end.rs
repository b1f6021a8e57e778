//! Finds out whether the end of a response's body is the end of the response.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    error::ServeError,
    response_end::{
        EndFault,
        EndVerdict,
        OutputState,
        ProcessState,
        ResponseEnd, //
    },
    timer::millis, //
};
use log::info;
use metrics::counter;
use tokio::{
    task::JoinHandle,
    time::sleep, //
};

use crate::{
    attempt::{
        OutgoingRequest,
        ServerResponse, //
    },
    backends::BackendState,
    crash_watch::open_settled,
    pool::BackendConnection, //
};

/// Time within which all connections of a process that has ended are closed.
const EXIT_TIME: Duration = Duration::from_millis(50);

/// Time before the end of a response within which the server's process counts as ended with a connection that closed.
const CLOSED_TIME: Duration = Duration::from_secs(1);

/// A second connection to a server that sends a response, which stays open if the server's process outlives it.
#[derive(Debug)]
pub(crate) struct EndWitness {
    opening: Option<JoinHandle<Option<BackendConnection>>>,
    connection: Option<BackendConnection>, // Was open once.
    closed: Option<Instant>,               // When it was found closed.
}

impl EndWitness {
    /// Takes an idle connection to the server, or opens one in the background.
    pub(crate) fn open(server: &Arc<BackendState>) -> EndWitness {
        let server = server.clone();
        let opening = tokio::spawn(async move {
            match server.pool().take_unused(Instant::now()) {
                Some(connection) => Some(connection),
                None => {
                    // Without a connection the state of the process is less certain; the check reports errors.
                    let opened = open_settled(server.server.address).await.ok();
                    opened.filter(BackendConnection::is_open)
                }
            }
        });
        EndWitness {
            opening: Some(opening),
            connection: None,
            closed: None,
        }
    }

    /// Opens another connection while the response goes on, if the server has closed the last one for some time.
    async fn renew(&mut self, server: &Arc<BackendState>) {
        if self.opening.as_ref().is_some_and(JoinHandle::is_finished) {
            self.finish_opening().await;
        }
        if self
            .connection
            .as_ref()
            .is_some_and(|connection| !connection.is_open())
        {
            self.closed.get_or_insert_with(Instant::now);
        }
        if self.is_outlived() {
            *self = EndWitness::open(server);
        }
    }

    /// Returns whether the response has gone on after the connection was closed, which tells nothing about its end then.
    fn is_outlived(&self) -> bool {
        self.closed
            .is_some_and(|closed| closed.elapsed() >= CLOSED_TIME)
    }

    /// Returns whether the server has left the connection open; `None` if there was none.
    async fn stayed_open(mut self) -> Option<bool> {
        self.finish_opening().await;
        let connection = self.connection.as_ref().filter(|_| !self.is_outlived());
        connection.map(BackendConnection::is_open)
    }

    async fn finish_opening(&mut self) {
        if let Some(opening) = self.opening.take() {
            // An error means that this process ends.
            self.connection = opening.await.ok().flatten();
        }
    }
}

impl ServerResponse {
    /// Makes sure that a connection of before the end will show whether the server's process outlives the response. To be
    /// called while the response goes on.
    pub(crate) async fn renew_witness(&mut self) {
        if let Some(witness) = &mut self.witness {
            witness.renew(&self.server).await;
        }
    }
}

/// Checks whether a response whose body has ended is complete. Returns the state of the server's process if it was needed.
///
/// # Errors
///
/// Returns the fault for which the response has to be treated as broken off.
pub(crate) async fn check_end(
    request: &OutgoingRequest,
    response: &mut ServerResponse,
    output: OutputState,
) -> Result<Option<ProcessState>, EndFault> {
    let mut end = ResponseEnd {
        framing: response.framing,
        output,
        connection: None,
        process: None,
        may_run_again: request.repeatable,
    };
    let mut verdict = end.decide();
    if verdict == EndVerdict::Undecided {
        let asked = Instant::now();
        let connection = response.connection.wait_end().await;
        end.connection = Some(connection);
        if end.decide() == EndVerdict::Undecided {
            end.process = Some(find_process_state(response).await);
        }
        verdict = end.decide();
        let process = end.process.map(ProcessState::name);
        counter!(
            "connection_ends_total",
            "connection" => connection.name(),
            "process" => process.unwrap_or_default(),
            "verdict" => verdict.name()
        )
        .increment(1);
        info!(
            request = request.id.as_str(),
            server = response.server.server.id.as_str(),
            connection = connection.name(),
            process,
            verdict = verdict.name(),
            may_run_again = end.may_run_again,
            has_output = output == OutputState::Received,
            check_ms = millis(asked.elapsed());
            "response ended with its connection"
        );
    }
    match verdict {
        EndVerdict::BrokenOff(fault) => Err(fault),
        _ => Ok(end.process),
    }
}

/// Finds out whether the process that sent a response still runs. A connection that is opened now shows whether one
/// listens, and the witness whether it is the same. A running server may refuse a further connection: it is full, or leaves.
async fn find_process_state(response: &mut ServerResponse) -> ProcessState {
    let server = response.server.clone();
    let opened = open_settled(server.server.address).await;
    if matches!(opened, Err(ServeError::Rejected(..))) {
        sleep(EXIT_TIME).await;
    }
    // The witness may have waited for long, so it isn't used again.
    let stayed_open = match response.witness.take() {
        Some(witness) => witness.stayed_open().await,
        None => None,
    };
    match (opened, stayed_open) {
        (Ok(connection), stayed_open) if connection.is_open() => {
            server.pool().put(connection, Instant::now());
            match stayed_open {
                Some(true) => ProcessState::Running,
                Some(false) => ProcessState::Replaced,
                None => ProcessState::Listening,
            }
        }
        // A server that is cut off can't close the witness.
        (Err(ServeError::Timeout(..)), _) => ProcessState::Unknown,
        (_, Some(true)) => ProcessState::Running,
        (Err(ServeError::Rejected(..)), _) => ProcessState::Gone,
        (_, _) => ProcessState::Unknown,
    }
}
