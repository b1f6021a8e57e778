//! Starts the system's processes and stand-ins for process-level tests, and ends those it started.

#![expect(dead_code, reason = "each test binary uses a part of the fixtures")]

use std::{
    net::TcpListener,
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::atomic::{
        AtomicU16,
        Ordering, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::keys::{
    hash_key,
    to_hex, //
};
use reqwest::{
    Client,
    RequestBuilder, //
};
use serde_json::{
    json,
    Value, //
};

pub(crate) const KEY: &str = "key-of-riegos-norte";
pub(crate) const OTHER_KEY: &str = "key-of-tienda-sur";
pub(crate) const CHAT: &str = "/v1/chat/completions";

const DOMAINS: [&str; 3] = ["zaragoza-a", "tudela-b", "huesca-c"];

/// One process and its HTTP address.
pub(crate) struct SystemProcess {
    child: Child,
    program: &'static str,
    arguments: Vec<String>,
    log: PathBuf,
}

impl SystemProcess {
    fn start(program: &'static str, arguments: Vec<String>, log: PathBuf) -> SystemProcess {
        let child = spawn(program, &arguments, &log);
        SystemProcess {
            child,
            program,
            arguments,
            log,
        }
    }

    /// Sends a signal, such as `STOP`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([format!("-{name}"), pid])
            .status()
            .expect("kill runs");
        assert!(status.success());
    }

    /// Ends the process at once and waits for it.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process anew after it has ended.
    pub(crate) fn restart(&mut self) {
        self.child = spawn(self.program, &self.arguments, &self.log);
    }

    /// Waits for the end of the process and returns its exit code.
    pub(crate) async fn wait(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("process is known") {
                return status.code();
            }
            pause(20).await;
        }
        None
    }
}

impl Drop for SystemProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// One entry VM.
pub(crate) struct SystemVm {
    pub(crate) control: SystemProcess,
    pub(crate) entry: SystemProcess,
    pub(crate) batch: SystemProcess,
    pub(crate) entry_port: u16,
}

/// Stand-ins and entry VMs.
pub(crate) struct SystemFleet {
    _platform: SystemProcess,
    pub(crate) platform_port: u16,
    pub(crate) engines: Vec<(SystemProcess, u16)>,
    pub(crate) service: (SystemProcess, u16),
    pub(crate) vms: Vec<SystemVm>,
    pub(crate) http: Client,
    directory: PathBuf,
}

impl Drop for SystemFleet {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl SystemFleet {
    /// Starts a platform, two engines, a plain service and VMs, and declares the usual resources.
    pub(crate) async fn start(name: &str, vms: usize) -> SystemFleet {
        let directory =
            std::env::temp_dir().join(format!("boragerill-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("directory for logs");
        let standin = |program: &'static str, log: &str, extra: &[&str]| {
            let port = free_port();
            let mut arguments = vec!["--port".to_owned(), port.to_string()];
            arguments.extend(extra.iter().map(|&text| text.to_owned()));
            (
                SystemProcess::start(program, arguments, directory.join(log)),
                port,
            )
        };
        let (platform, platform_port) = standin("standin-platform", "platform.log", &[]);
        let engine_flags = [
            "--token-us",
            "2000",
            "--prefill-us",
            "3000",
            "--cached-prefill-us",
            "1000",
        ];
        let engines = (0..2).map(|index| {
            standin(
                "standin-engine",
                &format!("engine-{index}.log"),
                &engine_flags,
            )
        });
        let engines = engines.collect();
        let service = standin("standin-service", "service.log", &[]);
        let http = Client::builder().no_proxy().build().expect("client");
        let mut fleet = SystemFleet {
            _platform: platform,
            platform_port,
            engines,
            service,
            vms: Vec::new(),
            http,
            directory,
        };
        fleet
            .wait_for(&format!("http://127.0.0.1:{platform_port}/vms"))
            .await;
        for index in 0..vms {
            let vm = fleet.start_vm(index);
            fleet.vms.push(vm);
        }
        fleet.list_vms(vms).await;
        fleet.declare_all().await;
        for index in 0..vms {
            fleet
                .wait_for(&format!(
                    "http://127.0.0.1:{}/readyz",
                    fleet.vms[index].entry_port
                ))
                .await;
        }
        fleet.wait_until_served().await;
        fleet
    }

    /// Sets the platform's list to the first VMs.
    pub(crate) async fn list_vms(&self, count: usize) {
        let vms = (0..count).map(|index| json!({"name": format!("vm-{index}"), "domain": DOMAINS[index % 3], "state": "live"}));
        let list: Vec<Value> = vms.collect();
        self.post_standin(self.platform_port, "vms", &json!(list))
            .await;
    }

    pub(crate) async fn declare(&self, kind: &str, name: &str, spec: &Value) -> u64 {
        let url = format!(
            "http://127.0.0.1:{}/objects/{kind}/{name}",
            self.platform_port
        );
        let response = self
            .http
            .put(url)
            .json(spec)
            .send()
            .await
            .expect("platform answers");
        let receipt: Value = response.json().await.expect("receipt");
        receipt["version"].as_u64().expect("version")
    }

    pub(crate) async fn object(&self, kind: &str, name: &str) -> Value {
        let url = format!(
            "http://127.0.0.1:{}/objects/{kind}/{name}",
            self.platform_port
        );
        let response = self.http.get(url).send().await.expect("platform answers");
        response.json().await.unwrap_or_default()
    }

    /// Sets the faults of a stand-in.
    pub(crate) async fn faults(&self, port: u16, faults: Value) {
        self.post_standin(port, "faults", &faults).await;
    }

    /// Reads what a stand-in has counted or seen.
    pub(crate) async fn standin(&self, port: u16, path: &str) -> Value {
        let url = format!("http://127.0.0.1:{port}/standin/{path}");
        self.http
            .get(url)
            .send()
            .await
            .expect("stand-in answers")
            .json()
            .await
            .expect("JSON")
    }

    /// Returns the service's declaration with some servers leaving.
    pub(crate) fn engine_service(&self, leaving: &[usize]) -> Value {
        let servers = self.engines.iter().enumerate().map(|(index, (_, port))| {
            let state = if leaving.contains(&index) { "leaving" } else { "live" };
            json!({"address": format!("127.0.0.1:{port}"), "domain": DOMAINS[index % 3], "state": state})
        });
        let servers: Vec<Value> = servers.collect();
        json!({"routes": [{"path": CHAT, "idempotent": true}], "servers": servers})
    }

    /// Returns a request to an entry process.
    pub(crate) fn post(&self, vm: usize, path: &str, key: &str) -> RequestBuilder {
        let url = format!("http://127.0.0.1:{}{path}", self.vms[vm].entry_port);
        self.http.post(url).bearer_auth(key)
    }

    /// Returns a request for a chat completion.
    pub(crate) fn chat(&self, vm: usize, key: &str, tokens: u64, stream: bool) -> RequestBuilder {
        let messages = json!([{"role": "user", "content": "Pivot 7 stopped at 40 degrees"}]);
        let body = json!({"messages": messages, "max_tokens": tokens, "stream": stream});
        self.post(vm, CHAT, key).json(&body)
    }

    /// Waits until every VM serves requests, which needs the rate to be shared out.
    pub(crate) async fn wait_until_served(&self) {
        for vm in 0..self.vms.len() {
            let end = Instant::now() + Duration::from_secs(30);
            while self
                .chat(vm, KEY, 1, false)
                .send()
                .await
                .expect("entry answers")
                .status()
                != 200
            {
                assert!(Instant::now() < end, "VM {vm} serves nothing");
                pause(100).await;
            }
        }
    }

    async fn declare_all(&self) {
        let generous = json!({"rate": 1000, "burst": 1000});
        self.declare("workspace", "riegos-norte", &generous).await;
        self.declare("workspace", "tienda-sur", &generous).await;
        self.declare(
            "key",
            "riegos-norte-1",
            &key_spec("riegos-norte", KEY, "active"),
        )
        .await;
        self.declare(
            "key",
            "tienda-sur-1",
            &key_spec("tienda-sur", OTHER_KEY, "active"),
        )
        .await;
        self.declare("service", "asesor-pivot", &self.engine_service(&[]))
            .await;
        let plain = json!({
            "type": "plain",
            "routes": [{"path": "/run"}, {"path": "/stock", "idempotent": true, "open": true}],
            "servers": [{"address": format!("127.0.0.1:{}", self.service.1), "domain": DOMAINS[0]}],
        });
        self.declare("service", "order-desk", &plain).await;
    }

    fn start_vm(&self, index: usize) -> SystemVm {
        let (control, entry, batch) = (free_port(), free_port(), free_port());
        let common = json!({
            "vm": format!("vm-{index}"),
            "domain": DOMAINS[index % 3],
            "platform": format!("http://127.0.0.1:{}", self.platform_port),
        });
        let controls = json!([format!("127.0.0.1:{control}")]);
        let start = |program: &'static str, extra: Value| {
            let mut settings = common.clone();
            for (name, value) in extra.as_object().expect("object") {
                settings[name] = value.clone();
            }
            let path = self.directory.join(format!("{program}-{index}.json"));
            std::fs::write(&path, settings.to_string()).expect("settings file");
            let arguments = vec!["--settings".to_owned(), path.to_string_lossy().into_owned()];
            SystemProcess::start(
                program,
                arguments,
                self.directory.join(format!("{program}-{index}.log")),
            )
        };
        SystemVm {
            control: start(
                "boragerill-control",
                json!({"port": control, "http_port": free_port()}),
            ),
            entry: start(
                "boragerill-entry",
                json!({"port": entry, "controls": controls, "drain_ms": 200}),
            ),
            batch: start(
                "boragerill-batch",
                json!({"port": batch, "controls": controls, "claim_lapse_ms": 1500}),
            ),
            entry_port: entry,
        }
    }

    async fn wait_for(&self, url: &str) {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let answered = self.http.get(url).send().await;
            if answered.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            assert!(Instant::now() < end, "{url} does not answer");
            pause(50).await;
        }
    }

    async fn post_standin(&self, port: u16, path: &str, body: &Value) {
        let url = format!("http://127.0.0.1:{port}/standin/{path}");
        let response = self
            .http
            .post(url)
            .json(body)
            .send()
            .await
            .expect("stand-in answers");
        assert!(response.status().is_success());
    }
}

pub(crate) fn key_spec(workspace: &str, key: &str, state: &str) -> Value {
    json!({"workspace": workspace, "hash": to_hex(&hash_key(key)), "state": state})
}

pub(crate) async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits until `check` holds, and fails the test after `limit`.
pub(crate) async fn eventually<F: std::future::Future<Output = bool>>(
    limit: Duration,
    what: &str,
    check: impl Fn() -> F,
) {
    let end = Instant::now() + limit;
    while !check().await {
        assert!(Instant::now() < end, "not within {limit:?}: {what}");
        pause(20).await;
    }
}

/// Returns a port that nothing listens on, below those that clients' connections are given.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(10_000);
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn spawn(program: &str, arguments: &[String], log: &PathBuf) -> Child {
    let own = std::env::current_exe().expect("path of the test");
    let directory = own
        .parent()
        .and_then(|deps| deps.parent())
        .expect("build directory");
    let file = std::fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("log file");
    let program = directory.join(program);
    let command = Command::new(&program)
        .args(arguments)
        .stdout(Stdio::null())
        .stderr(file)
        .spawn();
    command
        .unwrap_or_else(|error| panic!("{}: {error}; build the binaries first", program.display()))
}
