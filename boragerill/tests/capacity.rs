//! Batch takes only what online leaves, and no workspace starves another of capacity.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    queue::{
        FairQueue,
        QueueDecision,
        QueueRequest, //
    },
    spare::SpareTable, //
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

    /// Batch and online together never pass the slots by batch's doing: after each event batch either
    /// fits beside online or is told to yield exactly the difference.
    #[test]
    fn batch_fits_beside_online(events in prop::collection::vec((0_u8..4, 0_u32..20, 1_u64..800), 1..200)) {
        let mut now = Instant::now();
        let mut table = SpareTable::default();
        table.feed(SERVER, 16, now);
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
                        batch += u32::from(table.take(|_| true, now).is_some());
                    }
                }
                _ => {
                    for _ in 0..amount.min(batch) {
                        table.give_back(SERVER);
                        batch -= 1;
                    }
                }
            }
            for (vm, &in_flight) in online.iter().enumerate() {
                table.note_online(&format!("vm-{vm}"), SERVER, in_flight, now);
            }
            let total: u32 = online.iter().sum();
            let excess = table.excess(SERVER, now);
            prop_assert!(batch - excess == 0 || batch - excess + total < 16, "no slot left free for an arrival");
            (0..excess).for_each(|_| table.give_back(SERVER));
            batch -= excess;
        }
    }

    /// No capacity is left unused while requests wait, and each request gets one verdict.
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
                        let index = waiting.iter().position(|&known| known == id).expect("it was waiting");
                        waiting.swap_remove(index);
                    }
                }
            }
            while let Some(id) = queue.admit(4) {
                let index = waiting.iter().position(|&known| known == id).expect("it was waiting");
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
    // Arrange: one slot; one workspace has forty requests waiting.
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

    // Act: another workspace sends two, a third of double weight sends four.
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

    // Assert: all six are among the first eight.
    assert_eq!(others.len(), 6);
    assert!(
        others.iter().all(|id| served.contains(id)),
        "{others:?} not in {served:?}"
    );
}

#[test]
fn request_that_can_not_meet_its_deadline_is_refused_at_once() {
    // Arrange: requests take a second each, and ten wait.
    let now = Instant::now();
    let mut queue = FairQueue::default();
    queue.arrive(request(1, 1, now), 1, now);
    queue.end(Duration::from_secs(1));
    for _ in 0..11 {
        queue.arrive(request(1, 1, now + Duration::from_secs(60)), 1, now);
    }

    // Act.
    let hasty = queue.arrive(request(1, 1, now + Duration::from_secs(3)), 1, now);
    let patient = queue.arrive(request(1, 1, now + Duration::from_secs(30)), 1, now);

    // Assert.
    assert_eq!(hasty, QueueDecision::Refuse(Duration::from_secs(11)));
    assert!(matches!(patient, QueueDecision::Wait(_)));
}

#[test]
fn reserve_follows_bursts_and_fades() {
    // Arrange.
    let start = Instant::now();
    let mut table = SpareTable::default();
    table.feed(SERVER, 16, start);
    let fill = |table: &mut SpareTable, now| {
        let taken = (0..20)
            .filter(|_| table.take(|_| true, now).is_some())
            .count();
        (0..taken).for_each(|_| table.give_back(SERVER));
        taken
    };

    // Act.
    let calm = fill(&mut table, start);
    table.note_online("vm-0", SERVER, 0, start);
    table.note_online("vm-0", SERVER, 3, start + Duration::from_millis(10));
    table.note_online("vm-0", SERVER, 0, start + Duration::from_millis(100));
    let after_burst = fill(&mut table, start + Duration::from_millis(100));
    let later = fill(&mut table, start + Duration::from_secs(40));

    // Assert.
    assert_eq!((calm, after_burst, later), (15, 13, 15));
}
