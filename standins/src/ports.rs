//! Ports for processes that are started on this machine.

use std::{
    io,
    net::{
        Ipv4Addr,
        TcpListener,
        UdpSocket, //
    },
    ops::Range,
    process::{
        Child,
        Command, //
    },
    sync::{
        atomic::{
            AtomicU16,
            Ordering, //
        },
        Mutex, //
    },
};

use boragerill::sync::lock;

/// Ports that are handed out. All are below the ephemeral ports, which the system gives to outgoing
/// connections and to listeners on port 0, and might give away between the check of a port and its use.
const PORTS: Range<u16> = 20_000..32_000;

/// Distance between the first ports of processes with successive ids; prime, so that all ports are in use as
/// first ports.
const PROCESS_STRIDE: u32 = 499;

/// Held while a port is checked and while a process is started: a child process has copies of all sockets until
/// it executes its program, and a port that was checked meanwhile would still be in use.
static STARTING: Mutex<()> = Mutex::new(());

/// Returns a port that nothing uses on any address of this machine, neither for TCP nor for UDP, and that this
/// process has not returned before.
///
/// # Panics
///
/// Panics when no port is left.
pub fn free_port() -> u16 {
    static TRIED: AtomicU16 = AtomicU16::new(0);
    let count = PORTS.end - PORTS.start;
    let first = std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(count);
    let _starting = lock(&STARTING);
    loop {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        assert!(tried < count, "all ports of {PORTS:?} were tried");
        let offset = (first + u32::from(tried)) % u32::from(count);
        let port = PORTS.start + u16::try_from(offset).expect("offset within the range");
        if is_free(port) {
            return port;
        }
    }
}

fn is_free(port: u16) -> bool {
    let address = (Ipv4Addr::UNSPECIFIED, port);
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

/// Starts a process while no port is checked.
///
/// # Errors
///
/// Returns the error of the start.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _starting = lock(&STARTING);
    command.spawn()
}
