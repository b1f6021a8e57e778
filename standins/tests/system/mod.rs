//! The fleet that process-level tests start, and what they do with it.

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

pub(crate) const KEY: &str = "key-of-riegos-norte";
pub(crate) const OTHER_KEY: &str = "key-of-tienda-sur";
pub(crate) const CHAT: &str = "/v1/chat/completions";

const DOMAINS: [&str; 3] = ["zaragoza-a", "tudela-b", "huesca-c"];

/// A fleet with two workspaces, their keys, two engines and a plain service.
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
    /// Starts a platform, two engines, a plain service and VMs, and declares the usual resources.
    pub(crate) async fn start(name: &str, vms: usize) -> SystemFleet {
        let own = std::env::current_exe().expect("path of the test");
        let programs = own
            .parent()
            .and_then(|deps| deps.parent())
            .expect("build folder");
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
        fleet.wait_until_served().await;
        fleet
    }

    /// Returns the service's declaration with some servers leaving.
    pub(crate) fn engine_service(&self, leaving: &[usize]) -> Value {
        json!({"routes": [{"path": CHAT, "idempotent": true}], "servers": self.engine_servers(leaving, 16)})
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
}

pub(crate) fn key_spec(workspace: &str, key: &str, state: &str) -> Value {
    json!({"workspace": workspace, "hash": to_hex(&hash_key(key)), "state": state})
}

pub(crate) async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits until `check` holds, and fails the test after `limit`.
pub(crate) async fn eventually<F>(limit: Duration, what: &str, check: impl Fn() -> F)
where
    F: std::future::Future<Output = bool>,
{
    let end = Instant::now() + limit;
    while !check().await {
        assert!(Instant::now() < end, "not within {limit:?}: {what}");
        pause(20).await;
    }
}
