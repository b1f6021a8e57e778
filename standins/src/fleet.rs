//! Starts stand-ins and entry VMs as processes on this machine, and ends those it started.

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

/// Time for a process to answer after its start.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Pause between looks at a process.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// One process that can be signalled, killed and started anew.
#[derive(Debug)]
pub struct FleetProcess {
    child: Child,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
}

impl FleetProcess {
    /// Starts a program of the build directory.
    ///
    /// # Panics
    ///
    /// Panics when the program was not built.
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

    /// Sends a signal, such as `STOP`.
    ///
    /// # Panics
    ///
    /// Panics when the process has ended.
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

    /// Ends the process at once and waits for it.
    pub fn kill(&mut self) {
        // An error means that it has ended before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process anew after it has ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.arguments, &self.log);
    }

    /// Waits for the end of the process and returns its exit code.
    pub async fn wait(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            sleep(POLL_PERIOD).await;
        }
        None
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What to start.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Name of the folder for settings and logs.
    pub name: CompactString,
    /// Folder of the built programs.
    pub programs: PathBuf,
    /// Failure domain of each entry VM.
    pub vms: Vec<CompactString>,
    /// Failure domain of each engine.
    pub engines: Vec<CompactString>,
    /// Arguments of the engines.
    pub engine_arguments: Vec<CompactString>,
    /// Settings of entry processes beside the usual ones.
    pub entry_settings: Value,
    /// Settings of batch processes beside the usual ones.
    pub batch_settings: Value,
    /// Settings of control processes beside the usual ones.
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

/// One entry VM.
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

/// Stand-ins and entry VMs.
#[derive(Debug)]
pub struct Fleet {
    /// What was started.
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
    /// Client for all of them.
    pub http: Client,
    directory: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // Logs of a failed run stay behind.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Fleet {
    /// Starts the stand-ins and VMs and puts the VMs on the platform's list.
    ///
    /// # Panics
    ///
    /// Panics when a process doesn't start.
    pub async fn start(spec: FleetSpec) -> Fleet {
        let directory =
            std::env::temp_dir().join(format!("boragerill-{}-{}", spec.name, std::process::id()));
        std::fs::create_dir_all(&directory).expect("folder for logs");
        let standin = |program: &str, log: &str, extra: &[CompactString]| {
            let port = free_port();
            let mut arguments = vec!["--port".to_owned(), port.to_string()];
            arguments.extend(extra.iter().map(CompactString::to_string));
            (
                FleetProcess::start(spec.programs.join(program), arguments, directory.join(log)),
                port,
            )
        };
        let (platform, platform_port) = standin("standin-platform", "platform.log", &[]);
        let engines = (0..spec.engines.len()).map(|index| {
            standin(
                "standin-engine",
                &format!("engine-{index}.log"),
                &spec.engine_arguments,
            )
        });
        let engines = engines.collect();
        let service = standin("standin-service", "service.log", &[]);
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
        fleet.list_vms(fleet.vms.len()).await;
        fleet
    }

    /// Waits until every entry process is ready.
    pub async fn wait_until_ready(&self) {
        for vm in &self.vms {
            self.wait_for(&format!("http://127.0.0.1:{}/readyz", vm.entry_port))
                .await;
        }
    }

    /// Sets the platform's list to the first VMs.
    pub async fn list_vms(&self, count: usize) {
        let vms = self.spec.vms.iter().take(count).enumerate();
        let entry = |(index, domain)| json!({"name": format!("vm-{index}"), "domain": domain, "state": "live"});
        let list: Vec<Value> = vms.map(entry).collect();
        self.post_standin(self.platform_port, "vms", &json!(list))
            .await;
    }

    /// Writes an object of the platform and returns its version.
    ///
    /// # Panics
    ///
    /// Panics when the platform refuses.
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
            .expect("platform answers");
        let receipt: Value = response.json().await.expect("receipt");
        receipt["version"].as_u64().expect("version")
    }

    /// Reads an object of the platform; null when there is none.
    ///
    /// # Panics
    ///
    /// Panics when the platform doesn't answer.
    pub async fn object(&self, kind: &str, name: &str) -> Value {
        let url = format!(
            "http://127.0.0.1:{}/objects/{kind}/{name}",
            self.platform_port
        );
        let response = self.http.get(url).send().await.expect("platform answers");
        response.json().await.unwrap_or_default()
    }

    /// Sets the faults of a stand-in.
    pub async fn faults(&self, port: u16, faults: Value) {
        self.post_standin(port, "faults", &faults).await;
    }

    /// Reads what a stand-in has counted or seen.
    ///
    /// # Panics
    ///
    /// Panics when the stand-in doesn't answer.
    pub async fn standin(&self, port: u16, path: &str) -> Value {
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

    /// Returns the engines as servers of a service's declaration.
    pub fn engine_servers(&self, leaving: &[usize], slots: u32) -> Value {
        let servers = self.engines.iter().zip(&self.spec.engines).enumerate().map(|(index, (engine, domain))| {
            let state = if leaving.contains(&index) { "leaving" } else { "live" };
            json!({"address": format!("127.0.0.1:{}", engine.1), "domain": domain, "state": state, "slots": slots})
        });
        Value::Array(servers.collect())
    }

    /// Waits until an address answers with success.
    ///
    /// # Panics
    ///
    /// Panics after the time limit.
    pub async fn wait_for(&self, url: &str) {
        let end = Instant::now() + START_LIMIT;
        loop {
            let answered = self.http.get(url).send().await;
            if answered.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            assert!(
                Instant::now() < end,
                "{url} does not answer; logs are in {}",
                self.directory.display()
            );
            sleep(POLL_PERIOD).await;
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
        let start = |program: &str, own: Value, extra: &Value| {
            let mut settings = common.clone();
            for (name, value) in [&own, extra]
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
            .expect("stand-in answers");
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
