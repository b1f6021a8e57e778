//! Batch items use only the slots that online requests leave free, and no workspace starves another.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    headroom::HeadroomTable, //
    queue::{
        FairQueue,
        QueueDecision,
        QueueRequest, //
    },
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};

const SERVER: &str = "10.0.0.1:80";

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

fn request(workspace: u64, weight: u32, deadline: Instant) -> QueueRequest {
    QueueRequest {
        workspace,
        weight,
        deadline,
    }
}

proptest! {
    #![proptest_config(config(4))]

    /// Batch items never push a server's load beyond its slots: after each event, and the preemption of as many
    /// items as `excess` returns, no batch item remains or a slot is free for an arriving online request.
    #[test]
    fn batch_fits_beside_online(events in prop::collection::vec((0_u8..4, 0_u32..20, 1_u64..800), 1..200)) {
        let mut now = Instant::now();
        let mut table = HeadroomTable::default();
        table.update_server(SERVER, 16, now);
        let mut online = [0_u32; 3];
        let mut batch = 0;
        for (kind, amount, ms) in events {
            now += Duration::from_millis(ms);
            match kind {
                0 | 1 => {
                    let vm = usize::from(kind) + (amount as usize % 2);
                    online[vm] = amount % 9;
                }
                2 => {
                    for _ in 0..amount {
                        batch += u32::from(table.take_slot(|_| true, now).is_some());
                    }
                }
                _ => {
                    for _ in 0..amount.min(batch) {
                        table.release_slot(SERVER);
                        batch -= 1;
                    }
                }
            }
            for (vm, &in_flight) in online.iter().enumerate() {
                table.record_online_load(&format!("vm-{vm}"), SERVER, in_flight, now);
            }
            let total: u32 = online.iter().sum();
            let excess = table.excess(SERVER, now);
            prop_assert!(batch - excess == 0 || batch - excess + total < 16, "no slot left free for an arrival");
            (0..excess).for_each(|_| table.release_slot(SERVER));
            batch -= excess;
        }
    }

    /// No slot stays unused while requests wait, and each request is admitted, queued or refused once.
    #[test]
    fn queue_wastes_no_capacity(events in prop::collection::vec((0_u8..4, 0_u64..5, 0_u64..50), 1..300)) {
        let mut now = Instant::now();
        let mut queue = FairQueue::default();
        let mut waiting = Vec::new();
        let mut running = 0;
        for (kind, workspace, ms) in events {
            now += Duration::from_millis(ms);
            match kind {
                0 | 1 => match queue.arrive(request(workspace, 1, now + Duration::from_secs(2)), 4, now) {
                    QueueDecision::Run => running += 1,
                    QueueDecision::Wait(id) => waiting.push(id),
                    QueueDecision::Refuse(wait) => prop_assert!(wait > Duration::ZERO),
                },
                2 if running > 0 => {
                    running -= 1;
                    queue.end(Duration::from_millis(100));
                }
                _ => {
                    for id in queue.expire(now) {
                        let index = waiting.iter().position(|&known| known == id).expect("expired request was waiting");
                        waiting.swap_remove(index);
                    }
                }
            }
            while let Some(id) = queue.admit(4) {
                let index = waiting.iter().position(|&known| known == id).expect("admitted request was waiting");
                waiting.swap_remove(index);
                running += 1;
            }
            prop_assert!(running <= 4 && (running == 4 || waiting.is_empty()));
            prop_assert_eq!((queue.running(), queue.waiting()), (running, waiting.len()));
        }
    }
}

#[test]
fn greedy_workspace_waits_behind_itself() {
    // Arrange: one slot; workspace 1 runs a request and has forty more waiting.
    let now = Instant::now();
    let deadline = now + Duration::from_secs(60);
    let mut queue = FairQueue::default();
    assert_eq!(
        queue.arrive(request(1, 1, deadline), 1, now),
        QueueDecision::Run
    );
    for _ in 0..40 {
        queue.arrive(request(1, 1, deadline), 1, now);
    }

    // Act: workspace 2 sends two requests; workspace 3, of double weight, sends four.
    let mut others = Vec::new();
    for (workspace, weight, count) in [(2, 1, 2), (3, 2, 4)] {
        for _ in 0..count {
            if let QueueDecision::Wait(id) =
                queue.arrive(request(workspace, weight, deadline), 1, now)
            {
                others.push(id);
            }
        }
    }
    let mut served = Vec::new();
    for _ in 0..8 {
        queue.end(Duration::from_millis(10));
        served.extend(queue.admit(1));
    }

    // Assert: all six are among the first eight requests admitted.
    assert_eq!(others.len(), 6);
    assert!(
        others.iter().all(|id| served.contains(id)),
        "{others:?} not in {served:?}"
    );
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    // Arrange: requests take a second each; one runs and ten wait.
    let now = Instant::now();
    let mut queue = FairQueue::default();
    queue.arrive(request(1, 1, now), 1, now);
    queue.end(Duration::from_secs(1));
    for _ in 0..11 {
        queue.arrive(request(1, 1, now + Duration::from_secs(60)), 1, now);
    }

    // Act.
    let short_deadline = queue.arrive(request(1, 1, now + Duration::from_secs(3)), 1, now);
    let long_deadline = queue.arrive(request(1, 1, now + Duration::from_secs(30)), 1, now);

    // Assert.
    assert_eq!(
        short_deadline,
        QueueDecision::Refuse(Duration::from_secs(11))
    );
    assert!(matches!(long_deadline, QueueDecision::Wait(_)));
}

#[test]
fn reserve_grows_with_bursts_and_decays() {
    // Arrange.
    let start = Instant::now();
    let mut table = HeadroomTable::default();
    table.update_server(SERVER, 16, start);
    let fill = |table: &mut HeadroomTable, now| {
        let taken = (0..20)
            .filter(|_| table.take_slot(|_| true, now).is_some())
            .count();
        (0..taken).for_each(|_| table.release_slot(SERVER));
        taken
    };

    // Act.
    let before_burst = fill(&mut table, start);
    table.record_online_load("vm-0", SERVER, 0, start);
    table.record_online_load("vm-0", SERVER, 3, start + Duration::from_millis(10));
    table.record_online_load("vm-0", SERVER, 0, start + Duration::from_millis(100));
    let after_burst = fill(&mut table, start + Duration::from_millis(100));
    let later = fill(&mut table, start + Duration::from_secs(40));

    // Assert.
    assert_eq!((before_burst, after_burst, later), (15, 13, 15));
}
