//! Starts VMs as the deploy file does, each as a process of its own on a loopback address.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, store::Store};

/// Program of the deploy file.
const PROGRAM: &str = "target/release/boragerill-vm";

/// Longest wait for a VM to be ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Signals as numbered on Linux.
#[derive(Clone, Copy)]
pub enum Signal {
    Stop = 19,
    Continue = 18,
}

/// One VM.
pub struct Vm {
    /// Name.
    pub name: String,
    /// Address for clients.
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    text: String,
    child: Option<Child>,
}

/// The VMs of a deployment, which are killed when this value is dropped.
pub struct Fleet {
    /// The VMs.
    pub vms: Vec<Vm>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts `size` VMs of the role `front` in three zones and waits until they are ready.
    pub fn start(store: &Store, size: usize) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!("boragerill-review-{}", process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut fleet = Fleet {
            vms: Vec::new(),
            folder,
        };
        let ips: Vec<String> = (0..size).map(loopback_ip).collect();
        let port = peer_port(&ips).ok_or("no free port")?;
        for (index, ip) in ips.iter().enumerate() {
            let name = format!("front-{}", index + 1);
            let vm = fleet.make_vm(store, (&name, ip), index, port);
            fleet.vms.push(vm.map_err(|error| error.to_string())?);
        }
        for vm in &mut fleet.vms {
            vm.start().map_err(|error| format!("{PROGRAM}: {error}"))?;
        }
        match fleet.wait_ready(READY_LIMIT) {
            true => Ok(fleet),
            false => Err("a VM isn't ready".to_owned()),
        }
    }

    /// Waits until all VMs are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.vms.iter().all(Vm::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn make_vm(
        &self,
        store: &Store,
        (name, ip): (&str, &str),
        index: usize,
        port: u16,
    ) -> io::Result<Vm> {
        let (callers, ready) = (free_port(ip)?, free_port(ip)?);
        let (zone, platform) = (index % 3 + 1, store.listen(name));
        // Made from `deploy/vm.json` with the bounds of a small site.
        let text = format!(
            r#"{{"vm":"{name}","domain":"zone-{zone}","address":"{ip}","callers":"{callers}","ready":"{ready}","peer_port":{port},"seeds":["{seed}:1"],"metrics_port":0,"platform":"http://{platform}","first_start":true,"grace_s":8,"rate_window_s":5,"rate_overage":0.1,"rate_slack":20,"results_kept_s":120,"value_bytes":1048576}}"#,
            seed = loopback_ip(0),
        );
        Ok(Vm {
            name: name.to_owned(),
            callers,
            ready,
            settings: self.folder.join(format!("{name}.json")),
            text,
            child: None,
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.vms.iter_mut().for_each(Vm::kill);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Vm {
    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        fs::write(&self.settings, &self.text)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let mut command = Command::new(PROGRAM);
        command.arg("--settings").arg(&self.settings);
        command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        self.child = Some(command.spawn()?);
        // Only the first start of the whole system bootstraps.
        self.text = self
            .text
            .replace(r#""first_start":true"#, r#""first_start":false"#);
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // SAFETY: `kill` takes numbers only, and the child hasn't been waited for.
            unsafe { kill(child.id() as i32, signal as i32) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let answer = http::call(self.ready, ("GET", "/ready"), "Host: ready\r\n", b"", limit);
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

/// Returns the loopback address of a VM; the processes of one run have a range of their own.
fn loopback_ip(index: usize) -> String {
    let run = process::id() % 60_000;
    format!("127.{}.{}.{}", 10 + run / 250, 1 + run % 250, index + 1)
}

fn free_port(ip: &str) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Returns a port that is free on all addresses, for TCP and UDP.
fn peer_port(ips: &[String]) -> Option<u16> {
    let is_free = |port: u16| {
        ips.iter().all(|ip| {
            TcpListener::bind((ip.as_str(), port)).is_ok()
                && UdpSocket::bind((ip.as_str(), port)).is_ok()
        })
    };
    (20_000..32_000).step_by(7).find(|port| is_free(*port))
}
