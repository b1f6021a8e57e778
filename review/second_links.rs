//! Proxies between the machines and to the store, by which one machine can be cut off.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
};

/// Largest datagram.
const DATAGRAM_BYTES: usize = 65_536;

/// Links of the first machine, which can be cut.
#[derive(Default)]
pub struct Links {
    is_cut: AtomicBool,
    open: Mutex<Vec<TcpStream>>, // Connections to the first machine and from it to the store.
}

impl Links {
    /// Starts proxies for all machines; returns the hosts by which they reach each other and their paths to the store.
    pub fn start(self: &Arc<Links>, hosts: &[String], port: u16, store: SocketAddr) -> Vec<(String, SocketAddr)> {
        let first: IpAddr = hosts[0].parse().expect("host");
        let paths = hosts.iter().enumerate().map(|(index, host)| {
            let proxy = format!("127.0.0.{}", 51 + index);
            let target: SocketAddr = format!("{host}:{port}").parse().expect("address");
            let socket = UdpSocket::bind((proxy.as_str(), port)).expect("free port");
            let links = self.clone();
            thread::spawn(move || links.forward_datagrams(socket, target, first));
            let listener = TcpListener::bind((proxy.as_str(), port)).expect("free port");
            let links = self.clone();
            thread::spawn(move || links.forward_connections(listener, target, index == 0));
            if index > 0 {
                return (proxy, store);
            }
            let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
            let path = listener.local_addr().expect("address");
            let links = self.clone();
            thread::spawn(move || links.forward_connections(listener, store, true));
            (proxy, path)
        });
        paths.collect()
    }

    /// Cuts the first machine off from the others and the store, or ends that.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }

    /// Forwards datagrams to a machine, and what it sends back to where they came from.
    fn forward_datagrams(self: Arc<Links>, socket: UdpSocket, target: SocketAddr, first: IpAddr) {
        let mut senders: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buffer = vec![0; DATAGRAM_BYTES];
        let own = socket.local_addr().expect("address").ip();
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            let concerns_first = from.ip() == first || target.ip() == first;
            if concerns_first && self.is_cut() {
                continue;
            }
            let sender = senders.entry(from).or_insert_with(|| {
                let sender = Arc::new(UdpSocket::bind((own, 0)).expect("free port"));
                let (links, back, socket) = (self.clone(), sender.clone(), socket.try_clone().expect("socket"));
                thread::spawn(move || {
                    let mut buffer = vec![0; DATAGRAM_BYTES];
                    while let Ok((length, _)) = back.recv_from(&mut buffer) {
                        if !(concerns_first && links.is_cut()) {
                            let _ = socket.send_to(&buffer[..length], from);
                        }
                    }
                });
                sender
            });
            let _ = sender.send_to(&buffer[..length], target);
        }
    }

    /// Forwards connections to an address; those that concern the first machine are refused while it is cut off.
    fn forward_connections(self: Arc<Links>, listener: TcpListener, target: SocketAddr, concerns_first: bool) {
        for stream in listener.incoming().flatten() {
            if concerns_first && self.is_cut() {
                continue;
            }
            let Ok(other) = TcpStream::connect(target) else {
                continue;
            };
            let _ = (stream.set_nodelay(true), other.set_nodelay(true));
            if concerns_first {
                let kept = [&stream, &other].map(|stream| stream.try_clone().expect("stream"));
                self.open.lock().unwrap().extend(kept);
            }
            for (from, to) in [(&stream, &other), (&other, &stream)] {
                let (from, to) = (from.try_clone().expect("stream"), to.try_clone().expect("stream"));
                thread::spawn(move || copy(from, to));
            }
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while let Ok(length) = from.read(&mut buffer) {
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
