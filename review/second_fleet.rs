//! Processes of the project, a recorder, and what all cases use.

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{call, Request, Response},
    json::Json,
    store::Store,
    wire,
};

pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const TENANT: &str = "kaje80";
pub const SERVICE: &str = "huvo11a";
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Bounds of the small deployments.
pub const GRACE: Duration = Duration::from_secs(8);
pub const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Machines of a small deployment.
#[derive(Clone, Copy)]
pub struct Site {
    pub front_mb: u64,
    front_fds: u64,
    pub storage_mb: u64,
    storage_fds: u64,
}

pub const RIEGO_EBRO: Site = Site { front_mb: 260, front_fds: 4100, storage_mb: 280, storage_fds: 8200 };
pub const DCSC_SERVING: Site = Site { front_mb: 110, front_fds: 4200, storage_mb: 130, storage_fds: 8200 };

/// Writes what is sent, answered and run to `record.txt`.
pub struct Record {
    file: Mutex<File>,
    pub start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Record> {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:8.3}  {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// One process of the project.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Mutex<Child>,
}

impl Vm {
    /// Starts the process again after its end, with the settings of a later start.
    pub fn start_again(&self) {
        let settings = fs::read_to_string(&self.settings).expect("settings");
        let settings = settings.replace("\"first_start\":true", "\"first_start\":false");
        fs::write(&self.settings, settings).expect("settings");
        *self.child.lock().unwrap() = spawn(&self.settings);
    }

    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Returns the resident memory of the process.
    pub fn resident_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.lock().unwrap().id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn has_ended(&self) -> bool {
        !matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    pub fn is_ready(&self) -> bool {
        let request = Request { method: "GET".into(), target: "/ready".into(), ..Request::default() };
        call(self.ready, &request, Duration::from_secs(1)).status == 200
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The processes of a small deployment: three front machines and three storage machines.
pub struct Fleet {
    pub fronts: Vec<Arc<Vm>>,
    pub workers: Vec<Arc<Vm>>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a front machine in each of `zones` and three storage machines, each with the settings of the deploy file's
    /// template, for the first time, and waits until they are ready.
    pub fn start(store: &Store, record: &Record, site: Site, zones: &[&'static str]) -> Fleet {
        let fleet = Fleet::launch(store, site, zones, true);
        fleet.wait_ready(record);
        fleet
    }

    /// Waits until all front machines are ready.
    pub fn wait_ready(&self, record: &Record) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.fronts.iter().all(|vm| vm.is_ready()) {
            if Instant::now() > until {
                fail_to_run("the processes aren't ready in time");
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.write(&format!("{} front and 3 storage machines are ready", self.fronts.len()));
    }

    /// Starts the processes without waiting for them.
    pub fn launch(store: &Store, site: Site, zones: &[&'static str], is_first: bool) -> Fleet {
        Fleet::launch_behind(store.address, site, zones, is_first, |_, _| None)
    }

    /// Starts the processes; `links` returns the host by which the others reach each one and the address of its path to
    /// the store, given its own host and the port between machines, if these lead through proxies.
    pub fn launch_behind(
        store: SocketAddr,
        site: Site,
        zones: &[&'static str],
        is_first: bool,
        links: impl Fn(&[String], u16) -> Option<Vec<(String, SocketAddr)>>,
    ) -> Fleet {
        let fronts = zones.len();
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("temporary folder");
        let hosts: Vec<String> = (1..=fronts + 3).map(|host| format!("127.0.0.{}", host + 10)).collect();
        let port = common_port(&hosts);
        let direct = || hosts.iter().map(|host| (host.clone(), store)).collect();
        let links: Vec<(String, SocketAddr)> = links(&hosts, port).unwrap_or_else(direct);
        let start = |index: usize| {
            let (name, zone) = match index < fronts {
                true => (format!("front-{}", index + 1), zones[index]),
                false => (format!("storage-{}", index - fronts + 1), ZONES[(index - fronts) % 3]),
            };
            let is_front = index < fronts;
            let settings = Settings {
                name,
                site,
                zone,
                is_front,
                host: &hosts[index],
                port,
                links: &links,
                link: &links[index],
                is_first,
            };
            Arc::new(settings.start(&folder))
        };
        Fleet {
            fronts: (0..fronts).map(start).collect(),
            workers: (fronts..fronts + 3).map(start).collect(),
            folder: folder.clone(),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.fronts.iter().chain(&self.workers).for_each(|vm| vm.kill());
        let _ = fs::remove_dir_all(&self.folder);
    }
}

struct Settings<'a> {
    name: String,
    site: Site,
    zone: &'a str,
    is_front: bool,
    host: &'a str,
    port: u16,
    links: &'a [(String, SocketAddr)], // Hosts by which machines reach each other, and their paths to the store.
    link: &'a (String, SocketAddr),
    is_first: bool, // Whether the whole system starts for the first time.
}

impl Settings<'_> {
    fn start(&self, folder: &Path) -> Vm {
        let address = || {
            let text = format!("{}:{}", self.host, free_port(self.host));
            text.parse::<SocketAddr>().expect("address")
        };
        let (callers, ready) = (address(), address());
        let listen = |address: SocketAddr| match self.is_front {
            true => Json::text(&address.to_string()),
            false => Json::text(""),
        };
        let zones = ZONES.iter().map(|zone| (*zone, Json::text("region-1")));
        let seeds = self.links.iter().take(3).map(|(host, _)| Json::text(&format!("{host}:8683")));
        let number = |text: &str| Json::Number(text.to_owned());
        let (memory, fds) = match self.is_front {
            true => (self.site.front_mb, self.site.front_fds),
            false => (self.site.storage_mb, self.site.storage_fds),
        };
        let mut settings = vec![
            ("vm", Json::text(&self.name)),
            ("domain", Json::text(self.zone)),
            ("region", Json::text("region-1")),
            ("domain_regions", Json::object(zones.collect())),
            ("address", Json::text(self.host)),
            ("callers", listen(callers)),
            ("ready", listen(ready)),
            ("peer_port", Json::number(self.port.into())),
            ("seeds", Json::List(seeds.collect())),
            ("metrics_port", Json::number(free_port(self.host).into())),
            ("platform", Json::text(&format!("http://{}", self.link.1))),
            ("first_start", Json::Bool(self.is_first)),
            ("grace_s", Json::number(GRACE.as_secs())),
            ("rate_window_s", number("5")),
            ("rate_overage", number("0.1")),
            ("rate_slack", number("20")),
            ("results_kept_s", number("120")),
            ("memory_mb", Json::number(memory)),
            ("max_fds", Json::number(fds)),
            ("value_bytes", number("1048576")),
        ];
        if self.link.0 != self.host {
            settings.push(("advertised_address", Json::text(&self.link.0)));
        }
        let path = folder.join(format!("{}.json", self.name));
        fs::write(&path, Json::object(settings).to_string()).expect("settings");
        let child = Mutex::new(spawn(&path));
        Vm { name: self.name.clone(), callers, ready, settings: path, child }
    }
}

/// Processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn spawn(settings: &Path) -> Child {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"));
    let log = log.expect("log");
    let child = Command::new("target/release/boragerill-vm")
        .arg("--settings")
        .arg(settings)
        .env("BORAGERILL_BOOT", settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("log"))
        .stdout(log)
        .spawn();
    let Ok(child) = child else {
        fail_to_run("target/release/boragerill-vm can't be started; run the build of the deploy file first");
    };
    STARTED.lock().unwrap().push(child.id());
    child
}

/// Sends a signal by the shell's own command.
fn send_signal(name: &str, process: u32) {
    let command = format!("kill -{name} {process}");
    let _ = Command::new("sh").args(["-c", &command]).stderr(Stdio::null()).status();
}

/// Ends the run of a case that can't run.
pub fn fail_to_run(cause: &str) -> ! {
    eprintln!("the case can't run: {cause}");
    let started = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
    started.into_iter().for_each(|process| send_signal("KILL", process));
    std::process::exit(2);
}

/// First port that is tried, and number of ports: below those that outgoing connections take, so that a port stays free
/// while a process is started again.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 18_000;

/// Number of ports that were tried.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns the next port that is free at a host.
fn free_port(host: &str) -> u16 {
    loop {
        let tried = TRIED.fetch_add(1, Ordering::SeqCst);
        let offset = std::process::id().wrapping_mul(101).wrapping_add(tried) % PORTS;
        let port = u16::try_from(FIRST_PORT + offset).expect("port");
        if TcpListener::bind((host, port)).is_ok() {
            return port;
        }
    }
}

/// Returns a port that is free at all hosts.
fn common_port(hosts: &[String]) -> u16 {
    loop {
        let port = free_port(&hosts[0]);
        if hosts.iter().all(|host| TcpListener::bind((host.as_str(), port)).is_ok()) {
            return port;
        }
    }
}

/// A route of the configuration.
pub fn route(name: &str, kind: &str, more: Vec<(&str, Json)>) -> Json {
    let mut fields = vec![
        ("name", Json::text(&format!("r-{name}"))),
        ("host", Json::text(&format!("{name}.example"))),
        ("path_prefix", Json::text(&format!("/{name}/"))),
        ("kind", Json::text(kind)),
        (wire::name("target"), Json::number(300)),
        ("priority", Json::number(0)),
        ("service", Json::text(SERVICE)),
        ("public", Json::Bool(false)),
        ("sticky", Json::Bool(true)),
    ];
    fields.extend(more);
    Json::object(fields)
}

/// The route of batch jobs, as in the small deployments.
pub fn batch_route() -> Json {
    let more = vec![
        ("timeout_ms", Json::number(15000)),
        ("max_attempts", Json::number(3)),
        ("resumable", Json::Bool(true)),
        (wire::name("gap"), Json::number(300)),
        (wire::name("due"), Json::number(18000)),
        (wire::name("abandon"), Json::number(60)),
        ("cap", Json::number(940_000)),
    ];
    route("batch", "batch", more)
}

/// A route of streams.
pub fn stream_route(name: &str, resumable: bool, attempts: u64) -> Json {
    let more = vec![
        ("timeout_ms", Json::number(5000)),
        ("max_attempts", Json::number(attempts)),
        ("resumable", Json::Bool(resumable)),
        (wire::name("gap"), Json::number(300)),
    ];
    route(name, "streaming", more)
}

/// Returns a configuration as the operator writes it.
pub fn config(version: u64, routes: Vec<Json>) -> Json {
    let service = Json::object(vec![
        ("name", Json::text(SERVICE)),
        ("health_path", Json::text("/health")),
        ("max_connections", Json::number(370)),
    ]);
    let limits = Json::object(vec![
        ("max_header_bytes", Json::number(16384)),
        ("max_body_bytes", Json::number(4_194_304)),
        ("header_timeout_ms", Json::number(3000)),
        ("idle_timeout_ms", Json::number(15000)),
    ]);
    let tenant = Json::object(vec![
        ("name", Json::text(TENANT)),
        ("api_keys", Json::List(vec![Json::text(KEY)])),
        ("priority", Json::number(1)),
        ("rate_per_s", Json::number(34)),
        ("burst", Json::number(34)),
    ]);
    Json::object(vec![
        ("version", Json::number(version)),
        ("routes", Json::List(routes)),
        ("services", Json::List(vec![service])),
        ("limits", limits),
        ("tenants", Json::List(vec![tenant])),
    ])
}

/// Returns a client's request for a stream.
pub fn stream_request(route: &str, id: &str) -> Request {
    let headers = [
        ("Host", format!("{route}.example")),
        (wire::name("id"), id.to_owned()),
        ("Model", "m".to_owned()),
        (wire::name("tokens"), "450,80".to_owned()),
        (wire::name("prefix"), format!("5c1e07a2:100,91bd3f06:100,{id}:250")),
        (wire::name("remaining"), "5000".to_owned()),
        ("Authorization", format!("Token {KEY}")),
    ];
    Request {
        method: "POST".into(),
        target: format!("/{route}/2f"),
        headers: headers.into_iter().map(|(name, value)| (name.to_owned(), value)).collect(),
        body: b"question".to_vec(),
    }
}

/// Returns a call about a batch job.
pub fn job_call(method: &str, target: &str) -> Request {
    let headers = [
        ("Host", "batch.example".to_owned()),
        ("Authorization", format!("Token {KEY}")),
        (wire::name("wait"), "1000".to_owned()),
    ];
    Request {
        method: method.into(),
        target: target.into(),
        headers: headers.into_iter().map(|(name, value)| (name.to_owned(), value)).collect(),
        body: Vec::new(),
    }
}

/// Returns the submission of a batch job.
pub fn submission(id: &str, items: usize) -> Request {
    let item = |number: usize| {
        let headers = Json::object(vec![
            ("Model", Json::text("m")),
            (wire::name("tokens"), Json::text("540,400")),
            (wire::name("prefix"), Json::text(&format!("9c2e41:300,{number:x}5d07b8:240"))),
        ]);
        Json::object(vec![
            ("id", Json::text(&format!("{id}{number:02x}"))),
            ("path", Json::text(&format!("/batch/3/{number:04x}"))),
            ("headers", headers),
            ("body", Json::text("q83vEjRWeJA=")),
            ("tokens", Json::number(940)),
        ])
    };
    let mut request = job_call("POST", &format!("/batch/{id}"));
    request.headers.retain(|header| header.0 != wire::name("wait"));
    request.headers.push((wire::name("id").into(), id.into()));
    request.headers.push(("Content-Type".into(), "application/json".into()));
    request.headers.push((wire::name("remaining").into(), "4000".into()));
    let items = Json::List((1..=items).map(item).collect());
    request.body = Json::object(vec![("items", items)]).to_string().into_bytes();
    request
}

/// Describes a response for the record.
pub fn describe(response: &Response) -> String {
    let body = String::from_utf8_lossy(&response.body);
    let body: String = body.chars().take(160).collect();
    match response.is_complete {
        true => format!("{} complete, {} bytes: {body:?}", response.status, response.body.len()),
        false => format!("{} NOT complete ({}), {} bytes", response.status, response.fault, response.body.len()),
    }
}
