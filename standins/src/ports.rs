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
    sync::Mutex,
};

use boragerill::sync::lock;

/// Ports that are handed out. All are below the ephemeral ports, which the system gives to outgoing
/// connections and to listeners on port 0, and might give away between the check of a port and its use.
const PORTS: Range<u16> = 20_000..32_000;

/// Number of ports that a process claims at once. The first one of a block is held as long as the process runs, so that
/// no two processes hand out the same ports.
const BLOCK_PORTS: u16 = 1000;

/// Held while a port is checked and while a process is started: a child process has copies of all sockets until
/// it executes its program, and a port that was checked meanwhile would still be in use.
static STARTING: Mutex<PortBlocks> = Mutex::new(PortBlocks {
    claims: Vec::new(),
    next: 0,
    end: 0,
});

/// Blocks of ports that this process has claimed.
struct PortBlocks {
    claims: Vec<TcpListener>,
    next: u16, // Next port of the last block.
    end: u16,
}

impl PortBlocks {
    /// Returns the next port of the claimed blocks; claims another one when they are used up.
    fn next_port(&mut self) -> u16 {
        if self.next == self.end {
            let claimed = PORTS.step_by(usize::from(BLOCK_PORTS)).find_map(claim);
            let (claim, start) = claimed.expect("a block of ports that no other process has");
            self.claims.push(claim);
            (self.next, self.end) = (start + 1, start + BLOCK_PORTS);
        }
        self.next += 1;
        self.next - 1
    }
}

/// Claims the block that begins with a port, unless another process has.
fn claim(start: u16) -> Option<(TcpListener, u16)> {
    let claim = TcpListener::bind((Ipv4Addr::UNSPECIFIED, start)).ok()?;
    Some((claim, start))
}

/// Returns a port that nothing uses on any address of this machine, neither for TCP nor for UDP, and that this
/// process has not returned before.
///
/// # Panics
///
/// Panics when no port is left.
pub fn free_port() -> u16 {
    let mut blocks = lock(&STARTING);
    loop {
        let port = blocks.next_port();
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
