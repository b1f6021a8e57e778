//! Promises on batch jobs, shown on real processes.

mod system;

use std::time::{
    Duration,
    Instant, //
};

use futures_util::StreamExt;
use serde_json::{
    json,
    Value, //
};
use system::{
    eventually,
    pause,
    SystemFleet,
    CHAT,
    KEY, //
};

/// Time for a job of these sizes to end, faults included.
const JOB_LIMIT: Duration = Duration::from_secs(60);

/// Returns the items of a job, one a line.
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
        .expect("entry answers");
    (
        response.status().as_u16(),
        response.json().await.unwrap_or_default(),
    )
}

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
        .expect("entry answers");
    response.text().await.unwrap_or_default()
}

async fn state(fleet: &SystemFleet, vm: usize, name: &str) -> String {
    let status: Value = serde_json::from_str(&get(fleet, vm, name).await).unwrap_or_default();
    status["state"].as_str().unwrap_or_default().to_owned()
}

/// Returns the outcomes of a job's results, sorted by item.
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

/// Checks that every item has one result.
fn assert_complete(outcomes: &[(String, String)], items: usize) {
    let mut ids: Vec<&String> = outcomes.iter().map(|entry| &entry.0).collect();
    ids.dedup();
    assert_eq!((ids.len(), outcomes.len()), (items, items));
}

#[tokio::test]
async fn every_item_ends_once_through_kills_and_outages() {
    // Arrange.
    let mut fleet = SystemFleet::start("batch-faults", 3).await;
    let target = ("asesor-pivot", CHAT);
    assert_eq!(
        submit(&fleet, 0, "night", target, chat_items(3000, 12))
            .await
            .0,
        201
    );

    // Act: holders are killed and frozen, answers of the platform are lost, and it is down for a while.
    pause(700).await;
    fleet.vms[0].batch.kill();
    fleet.vms[1].batch.signal("STOP");
    fleet
        .faults(fleet.platform_port, json!({"lost_answers": 3}))
        .await;
    pause(2500).await;
    fleet.vms[0].batch.restart();
    fleet.vms[1].batch.signal("CONT");
    fleet
        .faults(fleet.platform_port, json!({"down": true}))
        .await;
    pause(2000).await;
    fleet.faults(fleet.platform_port, json!({})).await;
    eventually(JOB_LIMIT, "job complete", || async {
        state(&fleet, 2, "night").await == "complete"
    })
    .await;
    for vm in &mut fleet.vms {
        vm.batch.kill();
    }

    // Assert: readable on another VM, once each, also after the loss of every batch process.
    let outcomes = outcomes(&fleet, 2, "night").await;
    assert_complete(&outcomes, 3000);
    assert_eq!(count(&outcomes, "answer"), 3000);
}

#[tokio::test]
async fn resent_job_finds_the_first_and_other_content_is_refused() {
    // Arrange.
    let fleet = SystemFleet::start("batch-resend", 2).await;
    let target = ("asesor-pivot", CHAT);

    // Act: the answer to the first submission is lost after every write took effect.
    fleet
        .faults(fleet.platform_port, json!({"lost_answers": 2}))
        .await;
    let first = submit(&fleet, 0, "night", target, chat_items(700, 1)).await;
    let resent = submit(&fleet, 1, "night", target, chat_items(700, 1)).await;
    let other = submit(&fleet, 1, "night", target, chat_items(701, 1)).await;
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
    assert_eq!((first.0, resent.0), (201, 200));
    assert_eq!(resent.1["found"], true);
    assert_eq!(other.0, 409);
    assert_eq!(unrouted.0, 404);
    assert_eq!(malformed.0, 400);
    assert!(malformed.1["error"]["detail"]
        .as_str()
        .expect("detail")
        .contains("line 2"));
    assert_complete(&outcomes(&fleet, 0, "night").await, 700);
}

#[tokio::test]
async fn cancelled_job_stops_and_settles() {
    // Arrange: a job that would run for minutes.
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
        .expect("entry answers");
    pause(3000).await;
    let mut running = 0;
    let mut requests = Vec::new();
    for round in 0..2 {
        for engine in &fleet.engines {
            let counters = fleet.standin(engine.1, "counters").await;
            running += counters["running"].as_u64().expect("count");
            requests.push((round, counters["requests"].clone()));
        }
        pause(1000).await;
    }
    eventually(JOB_LIMIT, "job cancelled", || async {
        state(&fleet, 0, "long").await == "cancelled"
    })
    .await;

    // Assert: three seconds on nothing runs and nothing starts, and every item has its result.
    assert_eq!(accepted.status(), 202);
    assert_eq!(running, 0);
    assert_eq!(
        (&requests[0].1, &requests[1].1),
        (&requests[2].1, &requests[3].1)
    );
    assert_complete(&outcomes(&fleet, 0, "long").await, 1200);
}

#[tokio::test]
async fn items_that_never_complete_hold_nothing_up() {
    // Arrange: the engines fail on some prompts, always.
    let fleet = SystemFleet::start("batch-poison", 2).await;
    for engine in &fleet.engines {
        fleet
            .faults(engine.1, json!({"poison": "sensor log 7"}))
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

    // Assert: 7, 70 to 79, and none of the hundreds below 600.
    let outcomes = outcomes(&fleet, 1, "mixed").await;
    assert_complete(&outcomes, 600);
    assert_eq!(count(&outcomes, "error"), 11);
    assert_eq!(count(&outcomes, "answer"), 589);
}

#[tokio::test]
async fn non_idempotent_items_run_at_most_once() {
    // Arrange: a plain service whose runs take effect at once and answer late.
    let mut fleet = SystemFleet::start("batch-once", 2).await;
    let items: String = (0..200)
        .map(|index| format!("{}\n", json!({"id": format!("o-{index}"), "body": {}})))
        .collect();
    fleet
        .faults(fleet.service.1, json!({"run_ms": 100, "failing": 3}))
        .await;

    // Act: every item posts to a path of its own through one route; one holder dies in between.
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

    // Assert: no more runs than items, and each item that may have run without an answer says so.
    let outcomes = outcomes(&fleet, 1, "orders").await;
    assert_complete(&outcomes, 200);
    let runs = fleet.standin(fleet.service.1, "runs").await["order"]
        .as_u64()
        .expect("count");
    let answered = count(&outcomes, "answer") as u64;
    assert!(
        runs <= 200 && answered <= runs,
        "{runs} runs, {answered} answered"
    );
    assert_eq!(answered + count(&outcomes, "unknown") as u64, 200);
}

#[tokio::test]
async fn burst_of_online_requests_takes_capacity_back_at_once() {
    // Arrange: batch fills both engines with items of a second each.
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
    eventually(JOB_LIMIT, "engines full of batch", || async {
        let mut running = 0;
        for engine in &fleet.engines {
            running += fleet.standin(engine.1, "counters").await["running"]
                .as_u64()
                .unwrap_or(0);
        }
        running >= 28
    })
    .await;

    // Act: 24 online requests at once, for 32 slots.
    let requests = (0..24).map(|index| fleet.chat(index % 2, KEY, 100, true));
    let first_tokens = requests.map(|request| async {
        let sent = Instant::now();
        let response = request.send().await.expect("answer");
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

    // Assert: the target for the first token holds for all of them, and no item was lost or doubled.
    let longest = waits.into_iter().max().expect("requests");
    assert!(
        longest <= Duration::from_millis(340),
        "first token after {longest:?}"
    );
    let outcomes = outcomes(&fleet, 0, "night").await;
    assert_complete(&outcomes, 300);
    assert_eq!(count(&outcomes, "answer"), 300);
}
