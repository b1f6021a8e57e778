//! Fleet of real processes for the process tests, and functions to use it.

use std::{
    ops::{
        Deref,
        DerefMut, //
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
use reqwest::RequestBuilder;
use serde_json::{
    json,
    Value, //
};
use standins::fleet::{
    Fleet,
    FleetSpec, //
};

/// API key of workspace `riegos-norte`.
pub(crate) const KEY: &str = "key-of-riegos-norte";

/// API key of workspace `tienda-sur`.
pub(crate) const OTHER_KEY: &str = "key-of-tienda-sur";

/// Path of chat completions, which the engines serve.
pub(crate) const CHAT: &str = "/v1/chat/completions";

/// Failure domains of the VMs and engines.
const DOMAINS: [&str; 3] = ["zaragoza-a", "tudela-b", "huesca-c"];

/// A fleet with two workspaces, an API key for each, two engines and a plain service.
pub(crate) struct SystemFleet {
    fleet: Fleet,
}

impl Deref for SystemFleet {
    type Target = Fleet;

    fn deref(&self) -> &Fleet {
        &self.fleet
    }
}

impl DerefMut for SystemFleet {
    fn deref_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
}

impl SystemFleet {
    /// Starts the stand-ins and `vms` VMs, declares all resources, and waits until the VMs serve requests.
    /// `name` is part of the name of the log directory.
    pub(crate) async fn start(name: &str, vms: usize) -> SystemFleet {
        let own = std::env::current_exe().expect("path of the test");
        let programs = own
            .parent()
            .and_then(|deps| deps.parent())
            .expect("build directory");
        let arguments = [
            "--token-us",
            "2000",
            "--prefill-us",
            "3000",
            "--cached-prefill-us",
            "1000",
        ];
        let spec = FleetSpec {
            name: name.into(),
            programs: programs.to_path_buf(),
            vms: (0..vms).map(|index| DOMAINS[index % 3].into()).collect(),
            engines: (0..2).map(|index| DOMAINS[index].into()).collect(),
            engine_arguments: arguments.map(Into::into).to_vec(),
            entry_settings: json!({"drain_ms": 200}),
            batch_settings: json!({"claim_lapse_ms": 1500}),
            ..Default::default()
        };
        let fleet = SystemFleet {
            fleet: Fleet::start(spec).await,
        };
        fleet.declare_all().await;
        fleet.wait_until_ready().await;
        fleet.wait_until_serving().await;
        fleet
    }

    /// Returns the spec of the engines' service; the engines with an index in `draining` are draining.
    pub(crate) fn engine_service_spec(&self, draining: &[usize]) -> Value {
        json!({"routes": [{"path": CHAT, "idempotent": true}], "servers": self.engine_servers(draining, 16)})
    }

    /// Builds a request to a VM's entry process.
    pub(crate) fn post(&self, vm: usize, path: &str, key: &str) -> RequestBuilder {
        let url = format!("http://127.0.0.1:{}{path}", self.vms[vm].entry_port);
        self.http.post(url).bearer_auth(key)
    }

    /// Builds a request for a chat completion of the given number of tokens.
    pub(crate) fn chat(&self, vm: usize, key: &str, tokens: u64, stream: bool) -> RequestBuilder {
        let messages = json!([{"role": "user", "content": "Pivot 7 stopped at 40 degrees"}]);
        let body = json!({"messages": messages, "max_tokens": tokens, "stream": stream});
        self.post(vm, CHAT, key).json(&body)
    }

    /// Waits until every VM serves requests. Before that, the control processes have to divide the
    /// workspaces' rates among them.
    pub(crate) async fn wait_until_serving(&self) {
        for vm in 0..self.vms.len() {
            let end = Instant::now() + Duration::from_secs(30);
            while self
                .chat(vm, KEY, 1, false)
                .send()
                .await
                .expect("response of the entry process")
                .status()
                != 200
            {
                assert!(
                    Instant::now() < end,
                    "VM {vm} serves no requests after 30 s"
                );
                pause(100).await;
            }
        }
    }

    async fn declare_all(&self) {
        let workspace = json!({"rate": 1000, "burst": 1000});
        self.declare("workspace", "riegos-norte", &workspace).await;
        self.declare("workspace", "tienda-sur", &workspace).await;
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
        self.declare("service", "asesor-pivot", &self.engine_service_spec(&[]))
            .await;
        let plain = json!({
            "type": "plain",
            "routes": [{"path": "/run"}, {"path": "/stock", "idempotent": true, "open": true}],
            "servers": [{"address": format!("127.0.0.1:{}", self.service.1), "domain": DOMAINS[0]}],
        });
        self.declare("service", "order-desk", &plain).await;
    }
}

/// Returns the spec of an API key.
pub(crate) fn key_spec(workspace: &str, key: &str, state: &str) -> Value {
    json!({"workspace": workspace, "hash": to_hex(&hash_key(key)), "state": state})
}

/// Sleeps for `ms` milliseconds.
pub(crate) async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Checks a condition every 20 ms until it is met; panics with `what` after `limit`.
pub(crate) async fn eventually<F>(limit: Duration, what: &str, check: impl Fn() -> F)
where
    F: std::future::Future<Output = bool>,
{
    let end = Instant::now() + limit;
    while !check().await {
        assert!(
            Instant::now() < end,
            "condition not met within {limit:?}: {what}"
        );
        pause(20).await;
    }
}
