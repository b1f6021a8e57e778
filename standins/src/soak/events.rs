//! Runs of requests at servers, and checks of the order of the events that they bring.

use std::{
    sync::{
        Arc,
        Mutex, //
    },
    time::Instant,
};

use boragerill::sync::lock;

/// A run of a request at a server.
#[derive(Clone, Debug)]
pub struct ServerRun {
    /// Id of the request.
    pub request: String,
    /// Id of the server.
    pub server: String,
    /// Version of the server's software.
    pub version: String,
    /// Event after which it was asked to go on.
    pub after: Option<u64>,
    /// Whether the response states its length or consists of chunks.
    pub is_framed: bool,
    /// What is wrong with the response by intention.
    pub fault: Option<&'static str>,
    /// Time of its arrival.
    pub at: Instant,
}

/// All runs at all servers; each has its index as number, which its events state.
#[derive(Clone, Debug, Default)]
pub struct ServerRuns {
    runs: Arc<Mutex<Vec<ServerRun>>>,
}

impl ServerRuns {
    /// Adds a run; returns its number.
    pub fn begin(&self, run: ServerRun) -> u64 {
        let mut runs = lock(&self.runs);
        runs.push(run);
        runs.len() as u64 - 1
    }

    /// Returns the run with a number.
    pub fn get(&self, number: u64) -> Option<ServerRun> {
        let index = usize::try_from(number).ok()?;
        lock(&self.runs).get(index).cloned()
    }

    /// Returns the runs of requests whose id begins with a text, with their numbers.
    pub fn of(&self, prefix: &str) -> Vec<(usize, ServerRun)> {
        let runs = lock(&self.runs);
        let runs = runs.iter().enumerate();
        runs.filter(|(_, run)| run.request.starts_with(prefix))
            .map(|(number, run)| (number, run.clone()))
            .collect()
    }

    /// Returns a description of such runs, with times since the start.
    pub fn describe(&self, prefix: &str, start: Instant) -> String {
        let described = self.of(prefix).into_iter().map(|(number, run)| {
            let at = run.at.saturating_duration_since(start).as_secs_f64();
            let after = run.after.map(|after| format!(" after {after}"));
            let frame = if run.is_framed { "" } else { " unframed" };
            let fault = run.fault.map(|fault| format!(" {fault}"));
            format!(
                "{number}: {} {}{}{frame}{} at {at:.3}",
                run.server,
                run.version,
                after.unwrap_or_default(),
                fault.unwrap_or_default()
            )
        });
        described.collect::<Vec<_>>().join("; ")
    }
}

/// Returns the data of an event.
pub fn event_text(body: &str, version: &str, number: u64, run: u64) -> String {
    format!("{body} {version} {number} {run}")
}

/// Kinds of wrong order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreachKind {
    /// Data of no event of the request.
    Foreign,
    /// Events of two software versions.
    OtherVersion,
    /// An event is missing.
    Missing,
    /// An event came before.
    Doubled,
    /// Another run goes on that wasn't asked to go on there, or may not.
    Unasked,
    /// The end comes before the last event.
    TooEarly,
}

/// A case of wrong order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderBreach {
    /// Kind.
    pub kind: BreachKind,
    /// Last event that was in order.
    pub after: Option<u64>,
    /// Whether the run that brought that event has a length or chunks.
    pub is_framed: bool,
    /// What came instead of the next event.
    pub got: String,
}

/// Checks the events of one request, also from several runs.
#[derive(Clone, Debug)]
pub struct OrderCheck {
    body: String,
    is_resumable: bool,
    version: Option<String>,
    last: Option<u64>,
    run: Option<u64>, // The one that brought the last event.
}

impl OrderCheck {
    /// Returns the check of a request with a body.
    pub fn new(body: &str, is_resumable: bool) -> OrderCheck {
        OrderCheck {
            body: body.to_owned(),
            is_resumable,
            version: None,
            last: None,
            run: None,
        }
    }

    /// Returns the number of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Checks that data are those of the next event.
    pub fn accept(&mut self, data: &str, runs: &ServerRuns) -> Result<(), OrderBreach> {
        let expected = self.last.map_or(0, |last| last + 1);
        let Some((version, number, run)) = self.parse(data) else {
            return Err(self.breach(BreachKind::Foreign, data, runs));
        };
        if self.version.as_ref().is_some_and(|known| known != version) {
            return Err(self.breach(BreachKind::OtherVersion, data, runs));
        }
        if number != expected {
            let kind = match number < expected {
                true => BreachKind::Doubled,
                false => BreachKind::Missing,
            };
            return Err(self.breach(kind, data, runs));
        }
        if self.run.is_some_and(|known| known != run) {
            let after = runs.get(run).and_then(|run| run.after);
            if !self.is_resumable || after != self.last {
                return Err(self.breach(BreachKind::Unasked, data, runs));
            }
        }
        self.version = Some(version.to_owned());
        self.last = Some(number);
        self.run = Some(run);
        Ok(())
    }

    /// Checks that the events may end here.
    pub fn end(&self, last_event: u64, runs: &ServerRuns) -> Result<(), OrderBreach> {
        match self.last == Some(last_event) {
            true => Ok(()),
            false => Err(self.breach(BreachKind::TooEarly, "the end", runs)),
        }
    }

    /// Returns a case of wrong order after the last event.
    pub fn breach(&self, kind: BreachKind, got: &str, runs: &ServerRuns) -> OrderBreach {
        let run = self.run.and_then(|run| runs.get(run));
        OrderBreach {
            kind,
            after: self.last,
            is_framed: run.is_none_or(|run| run.is_framed),
            got: got.to_owned(),
        }
    }

    /// Returns version, number and run of the event with some data, if it is one of this request.
    fn parse<'a>(&self, data: &'a str) -> Option<(&'a str, u64, u64)> {
        let rest = data.strip_prefix(&self.body)?.strip_prefix(' ')?;
        let mut parts = rest.split(' ');
        let version = parts.next()?;
        let number = parts.next()?.parse().ok()?;
        let run = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some((version, number, run))
    }
}
