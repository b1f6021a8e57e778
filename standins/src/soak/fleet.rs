//! VMs of a run, each a process of its own on a loopback address.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    path::{
        Path,
        PathBuf, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    datagrams::PeerAddress,
    ports::free_port,
    vm_process::VmProcess, //
};
use nix::sys::signal::Signal;
use reqwest::Client;
use serde_json::json;
use tokio::time::sleep;

use super::{
    links::SoakLinks,
    trouble::RelayScope, //
};

/// Number of failure domains.
pub(crate) const DOMAINS: usize = 3;

/// Interval of the checks whether VMs are ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the name of a failure domain.
pub(crate) fn domain(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

/// Time in which a VM was disturbed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VmFault {
    /// Start of the fault.
    pub(crate) from: Instant,
    /// End of the fault; `None` while it lasts.
    pub(crate) to: Option<Instant>,
}

/// Adds a fault that begins now; returns its index.
pub(crate) fn begin_fault(faults: &mut Vec<VmFault>) -> usize {
    faults.push(VmFault {
        from: Instant::now(),
        to: None,
    });
    faults.len() - 1
}

impl VmFault {
    /// Returns whether the fault lies outside of a time, and ended `contact` before it or earlier.
    pub(crate) fn leaves_out(&self, from: Instant, to: Instant, contact: Duration) -> bool {
        self.from > to || self.to.is_some_and(|end| end + contact < from)
    }
}

/// One VM.
pub(crate) struct SoakVm {
    /// Address that clients connect to.
    pub(crate) callers: SocketAddr,
    /// Address of the readiness check.
    pub(crate) ready: SocketAddr,
    /// Faults of the process so far.
    pub(crate) faults: Vec<VmFault>,
    /// Faults of its links so far.
    pub(crate) link_faults: Vec<VmFault>,
    process: VmProcess,
}

impl SoakVm {
    /// Begins a fault.
    pub(crate) fn begin_fault(&mut self) {
        // The quota may have stopped the process.
        self.signal(Signal::SIGCONT);
        begin_fault(&mut self.faults);
    }

    /// Ends the last fault.
    pub(crate) fn end_fault(&mut self) {
        if let Some(fault) = self.faults.last_mut() {
            fault.to = Some(Instant::now());
        }
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.process.is_running() {
            self.process.signal(signal);
        }
    }

    /// Sends a signal to the process unless a fault lasts; returns whether it did.
    pub(crate) fn signal_undisturbed(&mut self, signal: Signal) -> bool {
        let is_disturbed = self.faults.last().is_some_and(|fault| fault.to.is_none());
        if !is_disturbed {
            self.signal(signal);
        }
        !is_disturbed
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) {
        self.process.kill();
    }

    /// Starts the process again.
    pub(crate) fn restart(&mut self) -> io::Result<()> {
        self.process.restart()
    }

    /// Returns whether the process has ended.
    pub(crate) fn is_gone(&mut self) -> bool {
        !self.process.is_running()
    }

    /// Returns whether the process has ended without being killed or stopped.
    pub(crate) fn has_ended(&mut self) -> bool {
        let is_disturbed = self.faults.last().is_some_and(|fault| fault.to.is_none());
        !is_disturbed && !self.process.is_running()
    }

    /// Returns whether no fault lay within `contact` before or after any moment from `from` to `to`.
    pub(crate) fn is_in_touch(&self, from: Instant, to: Instant, contact: Duration) -> bool {
        let mut faults = self.faults.iter().chain(&self.link_faults);
        faults.all(|fault| fault.leaves_out(from, to, contact))
    }

    /// Returns whether the process ran without a fault of its own from `from` to `to`.
    pub(crate) fn has_run(&self, from: Instant, to: Instant) -> bool {
        let mut faults = self.faults.iter();
        faults.all(|fault| fault.leaves_out(from, to, Duration::ZERO))
    }
}

/// Returns addresses for the datagrams and connections between `count` VMs.
pub(crate) fn peer_addresses(count: usize, scope: RelayScope) -> Vec<PeerAddress> {
    let port = free_port();
    let run = std::process::id();
    let (high, low) = ((run / 250) % 100, run % 250);
    // Fits: both are below 250.
    let (high, low) = (10 + high as u8, 1 + low as u8);
    let translated = if scope == RelayScope::All { 100 } else { 0 };
    let vms = 1..=u8::try_from(count).unwrap_or(u8::MAX);
    vms.map(|vm| PeerAddress {
        own: (Ipv4Addr::new(127, high, low, vm), port).into(),
        advertised: (Ipv4Addr::new(127, high + translated, low, vm), port).into(),
    })
    .collect()
}

/// Starts VMs of a program at the given addresses. They use the store at an address, or by the relays of `links`.
/// Settings and logs lie in a folder.
pub(crate) fn start(
    program: &Path,
    (store, links): (SocketAddr, &SoakLinks),
    addresses: &[PeerAddress],
    folder: &Path,
) -> io::Result<Vec<SoakVm>> {
    let (callers_port, ready_port, metrics_port) = (free_port(), free_port(), free_port());
    let seeds: Vec<String> = addresses
        .iter()
        .take(DOMAINS)
        .map(|seed| format!("{}:1", seed.advertised.ip()))
        .collect();
    let started = addresses.iter().enumerate().map(|(index, peer)| {
        let ip = peer.own.ip();
        let callers = SocketAddr::new(ip, callers_port);
        let ready = SocketAddr::new(ip, ready_port);
        let store = links.store_address(index).unwrap_or(store);
        let mut settings = json!({
            "vm": format!("front-{index:02}"),
            "domain": domain(index),
            "address": ip,
            "callers": callers,
            "ready": ready,
            "peer_port": peer.own.port(),
            "metrics_port": metrics_port,
            "seeds": seeds,
            "platform": format!("http://{store}"),
            "first_start": true,
            "grace_s": 8.0,
            "rate_slack": 20.0,
        });
        if peer.advertised != peer.own {
            settings["advertised_address"] = json!(peer.advertised.ip());
        }
        let path: PathBuf = folder.join(format!("front-{index:02}.json"));
        let log = path.with_extension("log");
        Ok(SoakVm {
            callers,
            ready,
            faults: Vec::new(),
            link_faults: Vec::new(),
            process: VmProcess::start(program, &path, &settings, Some(&log))?,
        })
    });
    started.collect()
}

/// Waits until the VMs at the given addresses are ready; returns whether they are within a limit.
pub(crate) async fn wait_ready(client: &Client, ready: &[SocketAddr], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    for address in ready {
        let url = format!("http://{address}/ready");
        loop {
            let response = client.get(&url).send().await;
            if response.is_ok_and(|response| response.status() == 200) {
                break;
            }
            if Instant::now() > until {
                return false;
            }
            sleep(READY_CHECK_INTERVAL).await;
        }
    }
    true
}
