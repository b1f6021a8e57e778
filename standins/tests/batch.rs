//! Process tests of batch jobs: VMs, engines and a plain service as real processes.

mod system;

use std::{
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use futures_util::StreamExt;
use serde_json::{
    json,
    Value, //
};
use standins::standard_server::{
    ResponseStep,
    StandardServer, //
};
use system::{
    eventually,
    pause,
    SystemFleet,
    CHAT,
    KEY, //
};

/// Maximum time until a job of these tests is complete, faults included.
const JOB_LIMIT: Duration = Duration::from_secs(60);

/// Number of items whose server responds early.
const EARLY_ITEMS: usize = 5;

/// Time after the end of its side at which a server closes a connection with unread bytes, which resets it.
const RESET_DELAY: Duration = Duration::from_millis(5);

/// Returns the items of a job, one per line: chat completions of the given number of tokens.
fn chat_items(count: usize, tokens: u64) -> String {
    let line = |index| {
        let messages = json!([{"role": "user", "content": format!("sensor log {index}")}]);
        format!(
            "{}\n",
            json!({"id": format!("item-{index}"), "body": {"messages": messages, "max_tokens": tokens}})
        )
    };
    (0..count).map(line).collect()
}

/// Submits a job for a service and path; returns the status and body of the response.
async fn submit(
    fleet: &SystemFleet,
    vm: usize,
    name: &str,
    target: (&str, &str),
    items: String,
) -> (u16, Value) {
    let url = format!(
        "http://127.0.0.1:{}/v1/batches/{name}?service={}&path={}",
        fleet.vms[vm].entry_port, target.0, target.1
    );
    let response = fleet
        .http
        .put(url)
        .bearer_auth(KEY)
        .body(items)
        .send()
        .await
        .expect("response of the entry process");
    (
        response.status().as_u16(),
        response.json().await.unwrap_or_default(),
    )
}

/// Reads a path below `/v1/batches/`.
async fn get(fleet: &SystemFleet, vm: usize, path: &str) -> String {
    let url = format!(
        "http://127.0.0.1:{}/v1/batches/{path}",
        fleet.vms[vm].entry_port
    );
    let response = fleet
        .http
        .get(url)
        .bearer_auth(KEY)
        .send()
        .await
        .expect("response of the entry process");
    response.text().await.unwrap_or_default()
}

/// Returns a job's state; empty if there is none.
async fn state(fleet: &SystemFleet, vm: usize, name: &str) -> String {
    let status: Value = serde_json::from_str(&get(fleet, vm, name).await).unwrap_or_default();
    status["state"].as_str().unwrap_or_default().to_owned()
}

/// Returns the id and outcome of each of a job's results, sorted by id.
async fn outcomes(fleet: &SystemFleet, vm: usize, name: &str) -> Vec<(String, String)> {
    let text = get(fleet, vm, &format!("{name}/results")).await;
    let lines = text
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).expect("line of JSON"));
    let entry = |line: Value| {
        let field = |name: &str| line[name].as_str().expect("text").to_owned();
        (field("id"), field("outcome"))
    };
    let mut outcomes: Vec<_> = lines.map(entry).collect();
    outcomes.sort();
    outcomes
}

fn count(outcomes: &[(String, String)], outcome: &str) -> usize {
    outcomes.iter().filter(|entry| entry.1 == outcome).count()
}

/// Checks that every item has exactly one result.
fn assert_complete(outcomes: &[(String, String)], items: usize) {
    let mut ids: Vec<&String> = outcomes.iter().map(|entry| &entry.0).collect();
    ids.dedup();
    assert_eq!((ids.len(), outcomes.len()), (items, items));
}

#[tokio::test]
async fn every_item_completes_once_despite_kills_and_outages() {
    // Arrange.
    let mut fleet = SystemFleet::start("batch-faults", 3).await;
    let target = ("asesor-pivot", CHAT);
    assert_eq!(
        submit(&fleet, 0, "night", target, chat_items(3000, 12))
            .await
            .0,
        201
    );

    // Act: batch processes that hold chunks are killed and frozen, responses of the platform are lost, and
    // the platform is down for two seconds.
    pause(700).await;
    fleet.vms[0].batch.kill();
    fleet.vms[1].batch.signal("STOP");
    fleet
        .set_faults(fleet.platform_port, json!({"lost_answers": 3}))
        .await;
    pause(2500).await;
    fleet.vms[0].batch.restart();
    fleet.vms[1].batch.signal("CONT");
    fleet
        .set_faults(fleet.platform_port, json!({"down": true}))
        .await;
    pause(2000).await;
    fleet.set_faults(fleet.platform_port, json!({})).await;
    eventually(JOB_LIMIT, "job complete", || async {
        state(&fleet, 2, "night").await == "complete"
    })
    .await;
    for vm in &mut fleet.vms {
        vm.batch.kill();
    }

    // Assert: another VM returns each result once, although no batch process runs any more.
    let outcomes = outcomes(&fleet, 2, "night").await;
    assert_complete(&outcomes, 3000);
    assert_eq!(count(&outcomes, "answer"), 3000);
}

// Guards against a job that looks lost: its submission was refused with 404 when it was repeated after its route was removed.
#[tokio::test]
async fn resubmitted_job_is_found_without_its_route() {
    // Arrange.
    let fleet = SystemFleet::start("batch-routeless", 2).await;
    let target = ("order-desk", "/stock");
    let first = submit(&fleet, 0, "night", target, chat_items(3, 1)).await;
    eventually(JOB_LIMIT, "job complete", || async {
        state(&fleet, 1, "night").await == "complete"
    })
    .await;

    // Act.
    let mut service = fleet.object("service", "order-desk").await["spec"].take();
    let routes = service["routes"].as_array_mut().expect("routes");
    routes.retain(|route| route["path"] != "/stock");
    fleet.declare("service", "order-desk", &service).await;
    let probes = AtomicU32::new(0);
    let mut statuses = Vec::new();
    for vm in 0..2 {
        eventually(JOB_LIMIT, "route removed", || async {
            // A job of its own each time: one that was accepted before would be found.
            let name = format!("probe-{}", probes.fetch_add(1, Ordering::Relaxed));
            submit(&fleet, vm, &name, target, chat_items(1, 1)).await.0 == 404
        })
        .await;
        let resubmitted = submit(&fleet, vm, "night", target, chat_items(3, 1)).await;
        let different = submit(&fleet, vm, "night", target, chat_items(4, 1)).await;
        let gone = ("order-desk", "/gone");
        let elsewhere = submit(&fleet, vm, "night", gone, chat_items(3, 1)).await;
        statuses.push([resubmitted.0, different.0, elsewhere.0]);
    }

    // Assert.
    assert_eq!(first.0, 201);
    assert_eq!(statuses, [[200, 409, 404]; 2]);
    assert_complete(&outcomes(&fleet, 0, "night").await, 3);
}

#[tokio::test]
async fn resubmitted_job_is_found_and_different_content_is_rejected() {
    // Arrange.
    let fleet = SystemFleet::start("batch-resend", 2).await;
    let target = ("asesor-pivot", CHAT);

    // Act: two responses of the platform are lost after its writes took effect.
    fleet
        .set_faults(fleet.platform_port, json!({"lost_answers": 2}))
        .await;
    let first = submit(&fleet, 0, "night", target, chat_items(700, 1)).await;
    let resubmitted = submit(&fleet, 1, "night", target, chat_items(700, 1)).await;
    let different = submit(&fleet, 1, "night", target, chat_items(701, 1)).await;
    let unrouted = submit(
        &fleet,
        1,
        "lost",
        ("asesor-pivot", "/nowhere"),
        chat_items(1, 1),
    )
    .await;
    let malformed = submit(
        &fleet,
        1,
        "bad",
        target,
        "{\"id\":\"a\",\"body\":{}}\n{\"body\":{}}\n".to_owned(),
    )
    .await;
    eventually(JOB_LIMIT, "job complete", || async {
        state(&fleet, 1, "night").await == "complete"
    })
    .await;

    // Assert.
    assert_eq!((first.0, resubmitted.0), (201, 200));
    assert_eq!(resubmitted.1["found"], true);
    assert_eq!(different.0, 409);
    assert_eq!(unrouted.0, 404);
    assert_eq!(malformed.0, 400);
    assert!(malformed.1["error"]["detail"]
        .as_str()
        .expect("detail")
        .contains("line 2"));
    assert_complete(&outcomes(&fleet, 0, "night").await, 700);
}

#[tokio::test]
async fn cancelled_job_stops_and_every_item_has_a_result() {
    // Arrange: a job that takes minutes.
    let fleet = SystemFleet::start("batch-cancel", 2).await;
    assert_eq!(
        submit(
            &fleet,
            0,
            "long",
            ("asesor-pivot", CHAT),
            chat_items(1200, 4000)
        )
        .await
        .0,
        201
    );
    pause(1500).await;

    // Act.
    let url = format!(
        "http://127.0.0.1:{}/v1/batches/long",
        fleet.vms[1].entry_port
    );
    let accepted = fleet
        .http
        .delete(url)
        .bearer_auth(KEY)
        .send()
        .await
        .expect("response of the entry process");
    pause(3000).await;
    let mut running = 0;
    let mut requests = Vec::new();
    for round in 0..2 {
        for engine in &fleet.engines {
            let counters = fleet.read_standin(engine.1, "counters").await;
            running += counters["running"].as_u64().expect("count");
            requests.push((round, counters["requests"].clone()));
        }
        pause(1000).await;
    }
    eventually(JOB_LIMIT, "job cancelled", || async {
        state(&fleet, 0, "long").await == "cancelled"
    })
    .await;

    // Assert: three seconds after the cancellation no item runs or starts, and every item has a result.
    assert_eq!(accepted.status(), 202);
    assert_eq!(running, 0);
    assert_eq!(
        (&requests[0].1, &requests[1].1),
        (&requests[2].1, &requests[3].1)
    );
    assert_complete(&outcomes(&fleet, 0, "long").await, 1200);
}

#[tokio::test]
async fn items_that_always_fail_block_no_others() {
    // Arrange: the engines always fail on some prompts.
    let fleet = SystemFleet::start("batch-poison", 2).await;
    for engine in &fleet.engines {
        fleet
            .set_faults(engine.1, json!({"poison": "sensor log 7"}))
            .await;
    }

    // Act.
    assert_eq!(
        submit(
            &fleet,
            0,
            "mixed",
            ("asesor-pivot", CHAT),
            chat_items(600, 2)
        )
        .await
        .0,
        201
    );
    eventually(JOB_LIMIT, "job complete", || async {
        state(&fleet, 0, "mixed").await == "complete"
    })
    .await;

    // Assert: the 11 failing items are 7 and 70 to 79; "sensor log 700" and above are not in the job.
    let outcomes = outcomes(&fleet, 1, "mixed").await;
    assert_complete(&outcomes, 600);
    assert_eq!(count(&outcomes, "error"), 11);
    assert_eq!(count(&outcomes, "answer"), 589);
}

#[tokio::test]
async fn non_idempotent_items_run_at_most_once() {
    // Arrange: a plain service whose runs take effect at once and are answered 100 ms later; three of them
    // with an error.
    let mut fleet = SystemFleet::start("batch-once", 2).await;
    let items: String = (0..200)
        .map(|index| format!("{}\n", json!({"id": format!("o-{index}"), "body": {}})))
        .collect();
    fleet
        .set_faults(fleet.service.1, json!({"run_ms": 100, "failing": 3}))
        .await;

    // Act: every item is posted to the same path; both batch processes are killed meanwhile, and one of them
    // is restarted.
    assert_eq!(
        submit(&fleet, 0, "orders", ("order-desk", "/run/order"), items)
            .await
            .0,
        201
    );
    pause(1200).await;
    fleet.vms[0].batch.kill();
    fleet.vms[1].batch.kill();
    fleet.vms[1].batch.restart();
    eventually(JOB_LIMIT, "job complete", || async {
        state(&fleet, 1, "orders").await == "complete"
    })
    .await;

    // Assert: no more runs than items, and an item without a response that may have run has the outcome
    // `unknown`.
    let outcomes = outcomes(&fleet, 1, "orders").await;
    assert_complete(&outcomes, 200);
    let runs = fleet.read_standin(fleet.service.1, "runs").await["order"]
        .as_u64()
        .expect("count");
    let answered = count(&outcomes, "answer") as u64;
    assert!(
        runs <= 200 && answered <= runs,
        "{runs} runs, {answered} items with a response"
    );
    assert_eq!(answered + count(&outcomes, "unknown") as u64, 200);
}

#[tokio::test]
async fn burst_of_online_requests_preempts_batch_items() {
    // Arrange: batch items, each of about one second, occupy the slots of both engines.
    let fleet = SystemFleet::start("batch-yield", 2).await;
    assert_eq!(
        submit(
            &fleet,
            0,
            "night",
            ("asesor-pivot", CHAT),
            chat_items(300, 500)
        )
        .await
        .0,
        201
    );
    eventually(JOB_LIMIT, "engines occupied by batch items", || async {
        let mut running = 0;
        for engine in &fleet.engines {
            running += fleet.read_standin(engine.1, "counters").await["running"]
                .as_u64()
                .unwrap_or(0);
        }
        running >= 28
    })
    .await;

    // Act: 24 online requests at the same time, for 32 slots.
    let requests = (0..24).map(|index| fleet.chat(index % 2, KEY, 100, true));
    let first_tokens = requests.map(|request| async {
        let sent = Instant::now();
        let response = request.send().await.expect("response");
        assert_eq!(response.status(), 200);
        response
            .bytes_stream()
            .next()
            .await
            .expect("event")
            .expect("bytes");
        sent.elapsed()
    });
    let waits = futures_util::future::join_all(first_tokens).await;
    eventually(JOB_LIMIT, "job complete", || async {
        state(&fleet, 1, "night").await == "complete"
    })
    .await;

    // Assert: all requests meet the target for the first token, and no item is lost or has two results.
    let longest = waits.into_iter().max().expect("requests");
    assert!(
        longest <= Duration::from_millis(340),
        "first token after {longest:?}"
    );
    let outcomes = outcomes(&fleet, 0, "night").await;
    assert_complete(&outcomes, 300);
    assert_eq!(count(&outcomes, "answer"), 300);
}

/// Guards against items that end as errors since their servers were down for a moment.
#[tokio::test]
async fn items_outlast_a_restart_of_all_engines() {
    // Arrange.
    let mut fleet = SystemFleet::start("batch-restart", 2).await;
    let target = ("asesor-pivot", CHAT);
    submit(&fleet, 0, "night", target, chat_items(1500, 12)).await;
    pause(700).await;

    // Act: nothing listens for a second.
    for engine in &mut fleet.engines {
        engine.0.kill();
    }
    pause(1000).await;
    for engine in &mut fleet.engines {
        engine.0.restart();
    }
    eventually(JOB_LIMIT, "job complete", || async {
        state(&fleet, 1, "night").await == "complete"
    })
    .await;

    // Assert.
    let outcomes = outcomes(&fleet, 1, "night").await;
    assert_complete(&outcomes, 1500);
    assert_eq!(count(&outcomes, "answer"), 1500);
}

/// Runs a job of items with long bodies at a plain service whose server responds by a script, and returns the outcomes.
async fn run_at(server: &StandardServer, name: &str, items: usize) -> Vec<(String, String)> {
    let fleet = SystemFleet::start(name, 1).await;
    let service = json!({
        "type": "plain",
        "routes": [{"path": "/plain"}],
        "servers": [{"address": server.address().to_string(), "domain": "zaragoza-a"}],
    });
    fleet.declare("service", "plain", &service).await;
    let text = "x".repeat(200 * 1024);
    let line = |index| json!({"id": format!("item-{index}"), "body": {"text": text}}).to_string();
    let lines: String = (0..items).map(|index| line(index) + "\n").collect();
    eventually(JOB_LIMIT, "job accepted", || async {
        let target = ("plain", "/plain");
        submit(&fleet, 0, "night", target, lines.clone()).await.0 < 300
    })
    .await;
    eventually(JOB_LIMIT, "job complete", || async {
        state(&fleet, 0, "night").await == "complete"
    })
    .await;
    outcomes(&fleet, 0, "night").await
}

// Guards against MIXED: a part of an item's response without a length passed for the whole when its server closed the
// connection during the upload.
#[tokio::test]
async fn item_whose_server_closes_during_the_upload_has_no_answer() {
    // Arrange: the part by itself is valid.
    let server = StandardServer::start_early(|_| {
        let part = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n12";
        vec![
            ResponseStep::Write(part.to_owned()),
            ResponseStep::EndSide,
            ResponseStep::Wait(RESET_DELAY),
            ResponseStep::Close,
        ]
    })
    .await;

    // Act.
    let outcomes = run_at(&server, "batch-early", EARLY_ITEMS).await;

    // Assert.
    assert_complete(&outcomes, EARLY_ITEMS);
    assert_eq!(count(&outcomes, "unknown"), EARLY_ITEMS);
}

// Guards against MIXED: a response with the status 000 counts as an item's answer.
#[tokio::test]
async fn item_whose_response_has_the_status_000_has_no_answer() {
    // Arrange.
    let zero = "HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\n12";
    let server = StandardServer::start(move |_| vec![ResponseStep::Write(zero.to_owned())]).await;

    // Act.
    let outcomes = run_at(&server, "batch-zero-status", 1).await;

    // Assert.
    assert_eq!(outcomes, [("item-0".to_owned(), "unknown".to_owned())]);
}
