//! Starts stand-ins and entry VMs as processes on this machine, and kills them when dropped.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use compact_str::CompactString;
use reqwest::Client;
use serde_json::{
    json,
    Value, //
};
use tokio::time::sleep;

use crate::ports::{
    self,
    free_port, //
};

/// Maximum time from a process's start until it responds.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval of the checks on a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process that can be signalled, killed and restarted.
#[derive(Debug)]
pub struct FleetProcess {
    child: Child,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
}

impl FleetProcess {
    /// Starts a program; its log lines are appended to the file `log`.
    ///
    /// # Panics
    ///
    /// Panics if the program has not been built.
    pub fn start(program: PathBuf, arguments: Vec<String>, log: PathBuf) -> FleetProcess {
        let child = spawn(&program, &arguments, &log);
        FleetProcess {
            child,
            program,
            arguments,
            log,
        }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends the signal of the given name, such as `STOP`.
    ///
    /// # Panics
    ///
    /// Panics if the process has exited.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "signal {name} to {}",
            self.program.display()
        );
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // An error means that the process has exited before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the program again after the process has exited.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.arguments, &self.log);
    }

    /// Waits for the process's exit and returns its exit code; `None` after the time limit or a signal.
    pub async fn wait(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Processes to start, and their settings.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Part of the name of the directory for settings and logs.
    pub name: CompactString,
    /// Directory of the built programs.
    pub programs: PathBuf,
    /// Failure domain of each entry VM.
    pub vms: Vec<CompactString>,
    /// Failure domain of each engine.
    pub engines: Vec<CompactString>,
    /// Further arguments of the engines.
    pub engine_arguments: Vec<CompactString>,
    /// Further settings of entry processes.
    pub entry_settings: Value,
    /// Further settings of batch processes.
    pub batch_settings: Value,
    /// Further settings of control processes.
    pub control_settings: Value,
}

impl Default for FleetSpec {
    fn default() -> FleetSpec {
        FleetSpec {
            name: "fleet".into(),
            programs: PathBuf::new(),
            vms: Vec::new(),
            engines: Vec::new(),
            engine_arguments: Vec::new(),
            entry_settings: json!({}),
            batch_settings: json!({}),
            control_settings: json!({}),
        }
    }
}

/// The processes of one entry VM.
#[derive(Debug)]
pub struct FleetVm {
    /// Control process.
    pub control: FleetProcess,
    /// Entry process.
    pub entry: FleetProcess,
    /// Batch process.
    pub batch: FleetProcess,
    /// Port for callers.
    pub entry_port: u16,
    /// Port of the control process's health and metrics.
    pub control_http_port: u16,
    /// Port of the batch process's health and metrics.
    pub batch_port: u16,
}

/// The stand-ins' processes and entry VMs.
#[derive(Debug)]
pub struct Fleet {
    /// Specification that the fleet was started from.
    pub spec: FleetSpec,
    /// The platform.
    pub platform: FleetProcess,
    /// Port of the platform.
    pub platform_port: u16,
    /// Engines and their ports.
    pub engines: Vec<(FleetProcess, u16)>,
    /// The plain service and its port.
    pub service: (FleetProcess, u16),
    /// Entry VMs.
    pub vms: Vec<FleetVm>,
    /// HTTP client of the tests.
    pub http: Client,
    directory: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // The logs of a failed test are kept.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Fleet {
    /// Starts the stand-ins and VMs, and sets the platform's list of VMs.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start or respond.
    pub async fn start(spec: FleetSpec) -> Fleet {
        let directory =
            std::env::temp_dir().join(format!("boragerill-{}-{}", spec.name, std::process::id()));
        std::fs::create_dir_all(&directory).expect("directory for logs");
        let start_standin = |program: &str, log: &str, extra: &[CompactString]| {
            let port = free_port();
            let mut arguments = vec!["--port".to_owned(), port.to_string()];
            arguments.extend(extra.iter().map(CompactString::to_string));
            (
                FleetProcess::start(spec.programs.join(program), arguments, directory.join(log)),
                port,
            )
        };
        let (platform, platform_port) = start_standin("standin-platform", "platform.log", &[]);
        let engines = (0..spec.engines.len()).map(|index| {
            start_standin(
                "standin-engine",
                &format!("engine-{index}.log"),
                &spec.engine_arguments,
            )
        });
        let engines = engines.collect();
        let service = start_standin("standin-service", "service.log", &[]);
        let http = Client::builder().no_proxy().build().expect("client");
        let vms = Vec::new();
        let mut fleet = Fleet {
            spec,
            platform,
            platform_port,
            engines,
            service,
            vms,
            http,
            directory,
        };
        fleet
            .wait_for(&format!("http://127.0.0.1:{platform_port}/vms"))
            .await;
        for engine in &fleet.engines {
            fleet
                .wait_for(&format!("http://127.0.0.1:{}/load", engine.1))
                .await;
        }
        fleet
            .wait_for(&format!(
                "http://127.0.0.1:{}/standin/runs",
                fleet.service.1
            ))
            .await;
        for index in 0..fleet.spec.vms.len() {
            let vm = fleet.start_vm(index);
            fleet.vms.push(vm);
        }
        fleet.set_vm_list(fleet.vms.len()).await;
        fleet
    }

    /// Waits until every entry process reports that it is ready.
    pub async fn wait_until_ready(&self) {
        for vm in &self.vms {
            self.wait_for(&format!("http://127.0.0.1:{}/readyz", vm.entry_port))
                .await;
        }
    }

    /// Sets the platform's list of VMs to the first `count` ones.
    pub async fn set_vm_list(&self, count: usize) {
        let vms = self.spec.vms.iter().take(count).enumerate();
        let entry = |(index, domain)| json!({"name": format!("vm-{index}"), "domain": domain, "state": "live"});
        let list: Vec<Value> = vms.map(entry).collect();
        self.post_standin(self.platform_port, "vms", &json!(list))
            .await;
    }

    /// Writes an object to the platform and returns its version.
    ///
    /// # Panics
    ///
    /// Panics if the platform rejects the write.
    pub async fn declare(&self, kind: &str, name: &str, spec: &Value) -> u64 {
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
            .expect("response of the platform");
        let receipt: Value = response.json().await.expect("receipt");
        receipt["version"].as_u64().expect("version")
    }

    /// Reads an object of the platform; null if it does not exist.
    ///
    /// # Panics
    ///
    /// Panics if the platform does not respond.
    pub async fn object(&self, kind: &str, name: &str) -> Value {
        let url = format!(
            "http://127.0.0.1:{}/objects/{kind}/{name}",
            self.platform_port
        );
        let response = self
            .http
            .get(url)
            .send()
            .await
            .expect("response of the platform");
        response.json().await.unwrap_or_default()
    }

    /// Sets the faults that a stand-in injects.
    pub async fn set_faults(&self, port: u16, faults: Value) {
        self.post_standin(port, "faults", &faults).await;
    }

    /// Reads the counters, runs or received requests of a stand-in.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not respond.
    pub async fn read_standin(&self, port: u16, path: &str) -> Value {
        let url = format!("http://127.0.0.1:{port}/standin/{path}");
        self.http
            .get(url)
            .send()
            .await
            .expect("response of the stand-in")
            .json()
            .await
            .expect("JSON")
    }

    /// Returns the engines as the servers of a service's spec. The engines with an index in `draining` are
    /// draining.
    pub fn engine_servers(&self, draining: &[usize], slots: u32) -> Value {
        let servers = self.engines.iter().zip(&self.spec.engines).enumerate().map(|(index, (engine, domain))| {
            let state = if draining.contains(&index) { "leaving" } else { "live" };
            json!({"address": format!("127.0.0.1:{}", engine.1), "domain": domain, "state": state, "slots": slots})
        });
        Value::Array(servers.collect())
    }

    /// Waits until a URL responds with success.
    ///
    /// # Panics
    ///
    /// Panics after 30 s.
    pub async fn wait_for(&self, url: &str) {
        let end = Instant::now() + START_TIMEOUT;
        loop {
            let response = self.http.get(url).send().await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            assert!(
                Instant::now() < end,
                "{url} does not respond; the logs are in {}",
                self.directory.display()
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    fn start_vm(&self, index: usize) -> FleetVm {
        let (control, control_http, entry, batch) =
            (free_port(), free_port(), free_port(), free_port());
        let common = json!({
            "vm": format!("vm-{index}"),
            "domain": self.spec.vms[index],
            "platform": format!("http://127.0.0.1:{}", self.platform_port),
        });
        let controls = json!([format!("127.0.0.1:{control}")]);
        let start = |program: &str, own: Value, further: &Value| {
            let mut settings = common.clone();
            for (name, value) in [&own, further]
                .into_iter()
                .filter_map(Value::as_object)
                .flatten()
            {
                settings[name] = value.clone();
            }
            let path = self.directory.join(format!("{program}-{index}.json"));
            std::fs::write(&path, settings.to_string()).expect("settings file");
            let arguments = vec!["--settings".to_owned(), path.to_string_lossy().into_owned()];
            let log = self.directory.join(format!("{program}-{index}.log"));
            FleetProcess::start(self.spec.programs.join(program), arguments, log)
        };
        let control_own = json!({"port": control, "http_port": control_http});
        let entry_own = json!({"port": entry, "controls": controls});
        let batch_own = json!({"port": batch, "controls": controls});
        FleetVm {
            control: start(
                "boragerill-control",
                control_own,
                &self.spec.control_settings,
            ),
            entry: start("boragerill-entry", entry_own, &self.spec.entry_settings),
            batch: start("boragerill-batch", batch_own, &self.spec.batch_settings),
            entry_port: entry,
            control_http_port: control_http,
            batch_port: batch,
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
            .expect("response of the stand-in");
        assert!(
            response.status().is_success(),
            "{path}: {}",
            response.status()
        );
    }
}

fn spawn(program: &Path, arguments: &[String], log: &Path) -> Child {
    let file = std::fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("log file");
    let mut command = Command::new(program);
    command.args(arguments).stdout(Stdio::null()).stderr(file);
    ports::spawn(&mut command)
        .unwrap_or_else(|error| panic!("{}: {error}; build the binaries first", program.display()))
}
