//! Processes of a small deployment, and the record of what happens to it.

use std::{
    fs::File,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{number, table, text, Json},
    server::unix_ms,
    store::Store,
};

/// Program of the project that the deploy file builds.
const PROGRAM: &str = "target/release/boragerill-vm";

/// Signal that asks a process to shut down.
pub const TERM: i32 = 15;

/// Signal that kills a process.
pub const KILL: i32 = 9;

/// Record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    lines: Arc<Mutex<Vec<String>>>, // What servers have printed.
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record");
        Record {
            file: Arc::new(Mutex::new(file)),
            lines: Arc::default(),
        }
    }

    /// Adds a line with the time.
    pub fn add(&self, line: impl AsRef<str>) {
        self.add_raw(&format!("{} {}", unix_ms(), line.as_ref()));
    }

    fn add_raw(&self, line: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }

    /// Returns what the servers have printed so far.
    pub fn server_lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }
}

/// A process, which is killed when this value is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Makes a server drain and leave.
    pub fn drain(&mut self) {
        if let Some(input) = &mut self.child.stdin {
            let _ = input.write_all(b"drain\n");
        }
    }

    pub fn signal(&self, signal: i32) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(id)
            .status();
    }

    /// Waits until the process has ended; `false` if it still runs at `until`.
    pub fn wait(&mut self, until: Instant) -> bool {
        loop {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Settings of a machine of the system.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: String,
    pub callers: Option<SocketAddr>, // `None` on machines for storage.
    pub ready: Option<SocketAddr>,
    peer_port: u16,
}

/// A deployment on loopback addresses.
pub struct Deployment {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub record: Record,
    pub folder: PathBuf,
    seeds: Vec<String>,
    value_limits: (u64, u64), // Memory in MB and descriptors of a machine.
}

impl Deployment {
    /// Prepares machines: each entry names one, its zone, and whether it takes clients.
    pub fn new(folder: &Path, machines: &[(&str, &str, bool)]) -> Deployment {
        let record = Record::create(folder);
        let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("temporary folder");
        let ips: Vec<String> = (0..machines.len())
            .map(|index| format!("127.0.0.{}", 11 + index))
            .collect();
        let peer_port = common_port(&ips);
        let made = machines
            .iter()
            .zip(&ips)
            .map(|(&(name, zone, is_front), ip)| Machine {
                name: name.to_owned(),
                zone: zone.to_owned(),
                ip: ip.clone(),
                callers: is_front.then(|| free_address(ip)),
                ready: is_front.then(|| free_address(ip)),
                peer_port,
            });
        let made: Vec<Machine> = made.collect();
        let seeds = made
            .iter()
            .take(3)
            .map(|machine| format!("{}:{peer_port}", machine.ip))
            .collect();
        Deployment {
            store: Store::start(),
            machines: made,
            record,
            folder: temporary,
            seeds,
            value_limits: (260, 4100),
        }
    }

    /// Writes a configuration.
    pub fn write_config(&self, change: impl FnOnce(&mut Json)) {
        let text = std::fs::read_to_string("review/third-config.json").expect("configuration");
        let mut config = Json::parse(&text);
        change(&mut config);
        self.store.write("config", "main", config);
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&self, index: usize, first_start: bool) -> Process {
        let machine = &self.machines[index];
        let path = self.folder.join(format!("{}.json", machine.name));
        std::fs::write(&path, self.settings(machine, first_start).to_string()).expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", machine.name)));
        let mut command = Command::new(PROGRAM);
        command
            .arg("--settings")
            .arg(&path)
            .stdout(log.expect("log"))
            .stderr(Stdio::null());
        self.record.add(format!("{} is started", machine.name));
        Process {
            child: command.spawn().expect("program of the project"),
        }
    }

    fn settings(&self, machine: &Machine, first_start: bool) -> Json {
        let zones = self
            .machines
            .iter()
            .map(|machine| (machine.zone.clone(), text("region-1")));
        let mut zones: Vec<(String, Json)> = zones.collect();
        zones.sort_by(|one, other| one.0.cmp(&other.0));
        zones.dedup_by(|one, other| one.0 == other.0);
        let address = |address: Option<SocketAddr>| {
            text(address.map_or(String::new(), |address| address.to_string()))
        };
        table([
            ("vm", text(&machine.name)),
            ("domain", text(&machine.zone)),
            ("region", text("region-1")),
            ("domain_regions", Json::Table(zones)),
            ("address", text(&machine.ip)),
            ("callers", address(machine.callers)),
            ("ready", address(machine.ready)),
            ("peer_port", number(machine.peer_port.into())),
            ("seeds", Json::List(self.seeds.iter().map(text).collect())),
            ("metrics_port", number(0)),
            ("platform", text(format!("http://{}", self.store.address))),
            ("first_start", Json::Bool(first_start)),
            ("grace_s", number(8)),
            ("rate_window_s", number(5)),
            ("rate_overage", Json::Number("0.1".to_owned())),
            ("rate_slack", number(20)),
            ("results_kept_s", number(120)),
            ("memory_mb", number(self.value_limits.0)),
            ("max_fds", number(self.value_limits.1)),
            ("value_bytes", number(1_048_576)),
        ])
    }

    /// Returns whether a machine reports that it is ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let Some(address) = self.machines[index].ready else {
            return true;
        };
        let response = http::call(
            address,
            "GET /ready",
            &[("Host", "ready")],
            b"",
            Duration::from_millis(500),
        );
        response.is_ok_and(|response| response.status() == 200)
    }

    /// Waits until all machines are ready; `false` if one isn't within 20 s.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        (0..self.machines.len()).all(|index| loop {
            if self.is_ready(index) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        })
    }

    /// Starts a backend server.
    pub fn start_server(
        &self,
        server: &ServerPlan,
        version: &str,
        first_write: Duration,
    ) -> Process {
        let program = std::env::current_exe().expect("own program");
        let mut command = Command::new(program);
        command.args([
            "server",
            &server.id,
            &server.address.to_string(),
            version,
            &server.zone,
        ]);
        command.args([
            self.store.address.to_string(),
            first_write.as_millis().to_string(),
        ]);
        command.args([
            server.pause.as_millis().to_string(),
            server.events.to_string(),
            server.truncates.to_string(),
            server.idle_limit.to_string(),
        ]);
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("server");
        let output = BufReader::new(child.stdout.take().expect("output"));
        let record = self.record.clone();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.add_raw(&line);
                record.lines.lock().unwrap().push(line);
            }
        });
        Process { child }
    }

    /// Waits until a server stands in the store.
    pub fn wait_registered(&self, servers: &[ServerPlan]) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        servers.iter().all(|server| loop {
            if self.store.read("servers", &server.id).is_some() {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A backend server of a deployment.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub pause: Duration,
    pub events: u64,
    pub truncates: usize, // It breaks each so many-th answer off; 0 for none.
    pub idle_limit: u64,  // Seconds after which it closes an idle connection; 0 for never.
}

impl ServerPlan {
    pub fn new(number: usize, zone: &str, pause: Duration, events: u64) -> ServerPlan {
        ServerPlan {
            id: format!("i-{number:04x}"),
            address: free_address("127.0.0.1"),
            zone: zone.to_owned(),
            pause,
            events,
            truncates: 0,
            idle_limit: 0,
        }
    }
}

/// Returns a free address outside of the range from which connections take their ports.
fn free_address(ip: &str) -> SocketAddr {
    loop {
        let address: SocketAddr = format!("{ip}:{}", draw_port()).parse().expect("address");
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns a port that is free on all addresses.
fn common_port(ips: &[String]) -> u16 {
    loop {
        let port = draw_port();
        let is_free = |ip: &String| {
            TcpListener::bind((ip.as_str(), port)).is_ok()
                && UdpSocket::bind((ip.as_str(), port)).is_ok()
        };
        if ips.iter().all(is_free) {
            return port;
        }
    }
}

fn draw_port() -> u16 {
    static NEXT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(0);
    let step = NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    let seed = (std::process::id() as u64 * 131 + unix_ms() / 1000 * 17) % 9000;
    20_000 + ((seed + u64::from(step)) % 9000) as u16
}
