//! Maintains connections to the control processes of the current roster.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use compact_str::CompactString;
use tokio::time::sleep;

use crate::{
    frame::FrameLink,
    generated::messages::{
        envelope::Body,
        Hello, //
    },
    roster::RosterView, //
};

/// Delay before a lost connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct LinkEntry {
    vm: CompactString,
    address: CompactString,
    link: Option<FrameLink>,
    suspect_until: Option<Instant>,
}

/// Event on a connection.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// A message was received that isn't the response to a request.
    Message(Body),
    /// The connection was closed.
    Closed,
}

/// Connections to the control processes of the roster's members, by VM.
#[derive(Clone, Debug)]
pub struct LinkTable {
    hello: Hello,
    entries: Arc<Mutex<Vec<LinkEntry>>>, // Sorted by VM.
}

impl LinkTable {
    /// Makes an empty table; `hello` is the first message that this process sends on every connection.
    pub fn new(hello: Hello) -> LinkTable {
        LinkTable {
            hello,
            entries: Arc::default(),
        }
    }

    /// Connects to new members and members whose address has changed, and drops the connections to removed
    /// members. The VM named `skipped` isn't connected. `on_event` is called with the VM and each event on its
    /// connection.
    pub fn update<F>(&self, roster: &RosterView, skipped: &str, on_event: F)
    where
        F: Fn(&str, LinkEvent) + Clone + Send + 'static,
    {
        let mut entries = self.lock();
        entries.retain(|entry| {
            roster
                .position(&entry.vm)
                .is_some_and(|index| roster.members()[index].control == entry.address)
        });
        for member in roster
            .members()
            .iter()
            .filter(|member| member.vm != skipped)
        {
            let Err(index) = entries.binary_search_by(|entry| entry.vm.cmp(&member.vm)) else {
                continue;
            };
            let (vm, address) = (member.vm.clone(), member.control.clone());
            tokio::spawn(keep_connected(
                self.clone(),
                vm.clone(),
                address.clone(),
                on_event.clone(),
            ));
            entries.insert(
                index,
                LinkEntry {
                    vm,
                    address,
                    link: None,
                    suspect_until: None,
                },
            );
        }
    }

    /// Returns the open connection to a VM, unless the VM is suspected to be unresponsive.
    pub fn find(&self, vm: &str, now: Instant) -> Option<FrameLink> {
        let entries = self.lock();
        let index = entries
            .binary_search_by(|entry| entry.vm.as_str().cmp(vm))
            .ok()?;
        let entry = &entries[index];
        if entry.suspect_until.is_some_and(|until| now < until) {
            return None;
        }
        entry.link.clone().filter(|link| !link.is_closed())
    }

    /// Excludes a VM that didn't respond from [`LinkTable::find`] until `until`.
    pub fn mark_suspect(&self, vm: &str, until: Instant) {
        let mut entries = self.lock();
        if let Ok(index) = entries.binary_search_by(|entry| entry.vm.as_str().cmp(vm)) {
            entries[index].suspect_until = Some(until);
        }
    }

    /// Stores a connection, and returns whether the member still has this address.
    fn store(&self, vm: &str, address: &str, link: Option<FrameLink>) -> bool {
        let mut entries = self.lock();
        match entries.binary_search_by(|entry| entry.vm.as_str().cmp(vm)) {
            Ok(index) if entries[index].address == address => {
                entries[index].link = link;
                true
            }
            _ => false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<LinkEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn keep_connected(
    links: LinkTable,
    vm: CompactString,
    address: CompactString,
    on_event: impl Fn(&str, LinkEvent),
) {
    loop {
        if let Ok((link, mut inbox)) = FrameLink::connect(&address).await {
            let hello_sent = link.push(0, Body::Hello(links.hello.clone())).is_ok();
            if hello_sent && !links.store(&vm, &address, Some(link)) {
                return;
            }
            // The inbox is closed with the connection.
            while let Some(envelope) = inbox.recv().await {
                if let Some(body) = envelope.body {
                    on_event(&vm, LinkEvent::Message(body));
                }
            }
            on_event(&vm, LinkEvent::Closed);
        }
        if !links.store(&vm, &address, None) {
            return;
        }
        sleep(RECONNECT_DELAY).await;
    }
}
