//! Tests of the choice of servers, of the slots left for batch, and of preemption.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    server_limit::SendAdmission,
    slot::{
        choose_batch_server,
        choose_online_server,
        free_slots,
        DemandTable,
        OwnUsage,
        SlotDemand,
        SlotQuery,
        SlotTable,
        SlotUsage,
        SlotView,
        DUE_OVERDUE,
        FAILED_HOLD,
        REPORT_LIFETIME, //
    }, //
};

const SERVER: u32 = 9;
const SLOTS: u32 = 8;

fn used(online: u32, batch: u32) -> SlotUsage {
    SlotUsage { online, batch }
}

fn view(key: u32, used: SlotUsage) -> SlotView {
    SlotView {
        key,
        used,
        slots: SLOTS,
        local: true,
        ..Default::default()
    }
}

fn report(table: &mut SlotTable, vm: u64, used: SlotUsage, now: Instant) {
    table.record_heartbeat(vm, now);
    table.record(vm, SERVER, used);
}

fn query(waiting: u32) -> SlotQuery {
    SlotQuery {
        waiting,
        ..Default::default()
    }
}

#[test]
fn free_slot_is_preferred_to_preemption_of_batch() {
    // arrange
    let views = [view(1, used(2, 6)), view(2, used(7, 0))];

    // act
    let chosen = choose_online_server(&views, &[], query(0));

    // assert
    assert_eq!(chosen, Some(1));
}

/// Streams that run in the VM's own failure domain survive a network partition of the domain.
#[test]
fn servers_of_the_own_domain_are_preferred_while_one_has_a_free_slot() {
    // arrange
    let remote = |key, used| SlotView {
        local: false,
        ..view(key, used)
    };
    let free_slot = [remote(1, used(0, 0)), view(2, used(7, 0))];
    let full = [remote(1, used(0, 0)), view(2, used(8, 0))];
    let batch_only = [remote(1, used(7, 0)), view(2, used(1, 7))];

    // act
    let online =
        [&free_slot, &full, &batch_only].map(|views| choose_online_server(views, &[], query(0)));
    let batch = [&free_slot, &full].map(|views| choose_batch_server(views, &[], 0));

    // assert
    assert_eq!(online, [Some(1), Some(0), Some(0)]);
    assert_eq!(batch, [Some(1), Some(0)]);
}

#[test]
fn batch_is_preempted_when_no_slot_is_free() {
    // arrange
    let views = [view(1, used(8, 0)), view(2, used(3, 5))];

    // act
    let chosen = choose_online_server(&views, &[], query(0));

    // assert
    assert_eq!(chosen, Some(1));
}

#[test]
fn full_servers_take_no_more_than_the_queue_limit() {
    // arrange
    let views = [view(1, used(8, 0)), view(2, used(9, 0))];

    // act
    let without = choose_online_server(&views, &[], query(0));
    let with = choose_online_server(&views, &[], query(1));

    // assert
    assert_eq!(without, None);
    assert_eq!(with, Some(0));
}

#[test]
fn draining_and_tried_servers_are_excluded_and_ejected_ones_come_last() {
    // arrange
    let draining = SlotView {
        leaving: true,
        ..view(1, used(0, 0))
    };
    let ejected = SlotView {
        ejected: true,
        ..view(2, used(0, 0))
    };
    let views = [draining, ejected, view(3, used(7, 0))];

    // act
    let first = choose_online_server(&views, &[], query(0));
    let second = choose_online_server(&views, &[3], query(0));
    let third = choose_online_server(&views, &[2, 3], query(0));

    // assert
    assert_eq!((first, second, third), (Some(2), Some(1), None));
}

#[test]
fn prompts_with_the_same_prefix_share_one_of_equally_loaded_servers() {
    // arrange
    let views: Vec<SlotView> = (0..6).map(|key| view(key, used(1, 0))).collect();
    let choose = |draw| {
        let query = SlotQuery {
            prefix: Some(77),
            draw,
            waiting: 0,
        };
        choose_online_server(&views, &[], query)
    };

    // act
    let chosen: Vec<_> = (0..20).map(choose).collect();

    // assert
    assert!(chosen.iter().all(|server| server == &chosen[0]));
}

#[test]
fn batch_keeps_the_reserve_free() {
    // arrange
    let views = [view(1, used(4, 3)), view(2, used(5, 3))];

    // act
    let unreserved = choose_batch_server(&views, &[], 0);
    let reserved = choose_batch_server(&views, &[], 1);

    // assert
    assert_eq!(unreserved, Some(0));
    assert_eq!(reserved, None);
    assert_eq!(free_slots(&views, 0), 1);
}

#[test]
fn one_excess_online_request_preempts_one_item_of_one_vm() {
    // arrange: three VMs run two items each at a server with eight slots, and a third online request arrives
    let now = Instant::now();
    let vms = [11_u64, 22, 33];
    let items_to_preempt = |own: u64| {
        let mut table = SlotTable::default();
        report(&mut table, 99, used(3, 0), now);
        for vm in vms.iter().filter(|&&vm| vm != own) {
            report(&mut table, *vm, used(0, 2), now);
        }
        let own = OwnUsage {
            vm: own,
            used: used(0, 2),
        };
        table.items_to_preempt(SERVER, own, SLOTS, now)
    };

    // act
    let total: u32 = vms.iter().map(|&vm| items_to_preempt(vm)).sum();

    // assert
    assert_eq!(total, 1);
}

/// A load peak of online requests needs every slot of a server.
#[test]
fn online_requests_on_all_slots_preempt_all_items() {
    // arrange
    let now = Instant::now();
    let mut table = SlotTable::default();
    report(&mut table, 99, used(8, 0), now);

    // act
    let own = OwnUsage {
        vm: 1,
        used: used(0, 5),
    };
    let items_to_preempt = table.items_to_preempt(SERVER, own, SLOTS, now);

    // assert
    assert_eq!(items_to_preempt, 5);
}

#[test]
fn reports_of_an_unreachable_vm_are_ignored_until_its_next_heartbeat() {
    // arrange
    let now = Instant::now();
    let mut table = SlotTable::default();
    report(&mut table, 1, used(3, 0), now);

    // act
    let valid = table.others(SERVER, now);
    let expired = table.others(SERVER, now + REPORT_LIFETIME);
    table.record_heartbeat(1, now + REPORT_LIFETIME);
    let reachable = table.others(SERVER, now + REPORT_LIFETIME);

    // assert
    assert_eq!(valid, used(3, 0));
    assert_eq!(expired, SlotUsage::default());
    assert_eq!(reachable, used(3, 0));
}

#[test]
fn full_report_clears_usage_of_servers_that_it_lacks() {
    // arrange
    let now = Instant::now();
    let mut table = SlotTable::default();
    report(&mut table, 1, used(3, 0), now);

    // act
    table.replace_usage(1, &[(SERVER + 1, used(1, 0))]);

    // assert
    assert_eq!(table.others(SERVER, now), SlotUsage::default());
    assert_eq!(table.others(SERVER + 1, now), used(1, 0));
}

fn demand(waiting: u32, due_ms: u32) -> SlotDemand {
    SlotDemand {
        service: 5,
        waiting,
        due_ms,
    }
}

#[test]
fn vms_share_free_slots_by_due_time() {
    // arrange: ten free slots, and three VMs with more items than that
    let now = Instant::now();
    let demands = [
        (1_u64, demand(6, 9000)),
        (2, demand(6, 2000)),
        (3, demand(6, DUE_OVERDUE)),
    ];
    let allowed = |vm: u64, own: SlotDemand| {
        let mut table = DemandTable::default();
        for (other, demand) in demands.iter().filter(|entry| entry.0 != vm) {
            table.record(*other, vec![*demand], now);
        }
        table.allowed_starts(vm, own, 10, now)
    };

    // act
    let starts: Vec<u32> = demands.iter().map(|&(vm, own)| allowed(vm, own)).collect();

    // assert: the items due first get all slots they need, the overdue ones come last
    assert_eq!(starts, [4, 6, 0]);
}

#[test]
fn demands_of_other_services_and_unreachable_vms_are_ignored() {
    // arrange
    let now = Instant::now();
    let mut table = DemandTable::default();
    let other_service = SlotDemand {
        service: 6,
        ..demand(9, 1)
    };
    table.record(1, vec![other_service], now);
    table.record(2, vec![demand(9, 1)], now);

    // act
    let later = now + REPORT_LIFETIME + Duration::from_millis(1);

    // assert
    assert_eq!(table.allowed_starts(7, demand(3, 500), 4, now), 0);
    assert_eq!(table.allowed_starts(7, demand(3, 500), 4, later), 3);
}

/// Simulates a steady stream of requests while the first `failing` servers fail theirs at once, and returns the
/// number of failed requests. A failed request holds its slot for `hold`.
fn count_failures(servers: u32, failing: u32, length: Duration, hold: Duration) -> usize {
    let run = Duration::from_millis(500);
    let step = Duration::from_millis(5);
    let mut ends: Vec<Vec<Duration>> = vec![Vec::new(); servers as usize];
    let mut failures = 0;
    let mut now = Duration::ZERO;
    while now < length {
        let views: Vec<SlotView> = (0..servers)
            .map(|key| {
                let slots = &mut ends[key as usize];
                slots.retain(|end| *end > now);
                view(key, used(u32::try_from(slots.len()).expect("few"), 0))
            })
            .collect();
        let drawn = SlotQuery {
            draw: now.as_micros() as u64,
            ..query(0)
        };
        if let Some(index) = choose_online_server(&views, &[], drawn) {
            let fails = views[index].key < failing;
            failures += usize::from(fails);
            ends[index].push(now + if fails { hold } else { run });
        }
        now += step;
    }
    failures
}

/// Flapping servers that fail requests at once look idle and would attract most new requests.
#[test]
fn servers_that_fail_at_once_get_no_more_requests_than_their_slots() {
    // arrange: two of twenty servers fail all requests for three seconds
    let (servers, failing, length) = (20, 2, Duration::from_secs(3));

    // act
    let held = count_failures(servers, failing, length, FAILED_HOLD);
    let not_held = count_failures(servers, failing, length, Duration::ZERO);

    // assert: without the hold, the failing servers look idle and get nearly all of the 600 requests
    let holds = length.as_millis().div_ceil(FAILED_HOLD.as_millis());
    let most = (failing * SLOTS) as usize * usize::try_from(holds).expect("few");
    assert!(held <= most, "{held} failed");
    assert!(not_held > 10 * most, "{not_held} failed");
}

#[test]
fn servers_whose_limits_admit_no_request_are_not_chosen() {
    // arrange
    let limited = |key, admission| SlotView {
        admission,
        ..view(key, used(0, 0))
    };
    let views = [
        limited(1, SendAdmission::Nothing),
        limited(2, SendAdmission::Online),
        view(3, used(3, 0)),
    ];

    // act
    let online = choose_online_server(&views, &[], query(0));
    let batch = choose_batch_server(&views, &[], 0);
    let free = free_slots(&views, 0);

    // assert
    assert_eq!((online, batch, free), (Some(1), Some(2), 5));
}
