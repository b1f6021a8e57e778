//! Where requests go, what batch leaves to them, and who gives places up.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::slot::{
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

fn record(table: &mut SlotTable, vm: u64, used: SlotUsage, now: Instant) {
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
fn free_place_goes_before_one_that_batch_has_to_give_up() {
    // arrange
    let views = [view(1, used(2, 6)), view(2, used(7, 0))];

    // act
    let chosen = choose_online_server(&views, &[], query(0));

    // assert
    assert_eq!(chosen, Some(1));
}

#[test]
fn requests_before_a_cut_of_their_domain_run_in_it_while_it_has_a_free_place() {
    // arrange
    let elsewhere = |key, used| SlotView {
        local: false,
        ..view(key, used)
    };
    let roomy = [elsewhere(1, used(0, 0)), view(2, used(7, 0))];
    let full = [elsewhere(1, used(0, 0)), view(2, used(8, 0))];
    let batch_only = [elsewhere(1, used(7, 0)), view(2, used(1, 7))];

    // act
    let online =
        [&roomy, &full, &batch_only].map(|views| choose_online_server(views, &[], query(0)));
    let batch = [&roomy, &full].map(|views| choose_batch_server(views, &[], 0));

    // assert
    assert_eq!(online, [Some(1), Some(0), Some(0)]);
    assert_eq!(batch, [Some(1), Some(0)]);
}

#[test]
fn places_of_batch_are_taken_when_no_other_is_free() {
    // arrange
    let views = [view(1, used(8, 0)), view(2, used(3, 5))];

    // act
    let chosen = choose_online_server(&views, &[], query(0));

    // assert
    assert_eq!(chosen, Some(1));
}

#[test]
fn full_servers_take_none_beyond_the_allowed_queue() {
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
fn leaving_and_tried_servers_get_nothing_and_suspect_ones_go_last() {
    // arrange
    let leaving = SlotView {
        leaving: true,
        ..view(1, used(0, 0))
    };
    let ejected = SlotView {
        ejected: true,
        ..view(2, used(0, 0))
    };
    let views = [leaving, ejected, view(3, used(7, 0))];

    // act
    let first = choose_online_server(&views, &[], query(0));
    let second = choose_online_server(&views, &[3], query(0));
    let third = choose_online_server(&views, &[2, 3], query(0));

    // assert
    assert_eq!((first, second, third), (Some(2), Some(1), None));
}

#[test]
fn prompts_with_the_same_beginning_meet_at_one_of_equal_servers() {
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
    assert!(chosen.iter().all(|place| place == &chosen[0]));
}

#[test]
fn batch_keeps_the_reserve_free() {
    // arrange
    let views = [view(1, used(4, 3)), view(2, used(5, 3))];

    // act
    let place = choose_batch_server(&views, &[], 0);
    let reserved = choose_batch_server(&views, &[], 1);

    // assert
    assert_eq!(place, Some(0));
    assert_eq!(reserved, None);
    assert_eq!(free_slots(&views, 0), 1);
}

#[test]
fn one_online_request_too_many_makes_one_vm_pause_one_item() {
    // arrange: three VMs have two items each at a server, and a third online request comes
    let now = Instant::now();
    let vms = [11_u64, 22, 33];
    let items_to_pause = |own: u64| {
        let mut table = SlotTable::default();
        record(&mut table, 99, used(3, 0), now);
        for vm in vms.iter().filter(|&&vm| vm != own) {
            record(&mut table, *vm, used(0, 2), now);
        }
        let own = OwnUsage {
            vm: own,
            used: used(0, 2),
        };
        table.items_to_pause(SERVER, own, SLOTS, now)
    };

    // act
    let total: u32 = vms.iter().map(|&vm| items_to_pause(vm)).sum();

    // assert
    assert_eq!(total, 1);
}

#[test]
fn crest_of_online_requests_takes_every_place_of_batch() {
    // arrange
    let now = Instant::now();
    let mut table = SlotTable::default();
    record(&mut table, 99, used(8, 0), now);

    // act
    let own = OwnUsage {
        vm: 1,
        used: used(0, 5),
    };
    let items_to_pause = table.items_to_pause(SERVER, own, SLOTS, now);

    // assert
    assert_eq!(items_to_pause, 5);
}

#[test]
fn reports_of_a_silent_vm_lapse() {
    // arrange
    let now = Instant::now();
    let mut table = SlotTable::default();
    record(&mut table, 1, used(3, 0), now);

    // act
    let fresh = table.others(SERVER, now);
    let lapsed = table.others(SERVER, now + REPORT_LIFETIME);
    table.record_heartbeat(1, now + REPORT_LIFETIME);
    let back = table.others(SERVER, now + REPORT_LIFETIME);

    // assert
    assert_eq!(fresh, used(3, 0));
    assert_eq!(lapsed, SlotUsage::default());
    assert_eq!(back, used(3, 0));
}

#[test]
fn whole_report_clears_what_it_does_not_name() {
    // arrange
    let now = Instant::now();
    let mut table = SlotTable::default();
    record(&mut table, 1, used(3, 0), now);

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
fn vms_that_see_the_same_places_share_them_by_due_time() {
    // arrange: ten places, and three VMs with more items than that
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

    // assert: the job that is due first takes all it can, the late one what is left
    assert_eq!(starts, [4, 6, 0]);
}

#[test]
fn demands_of_other_services_and_silent_vms_hold_nobody_up() {
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

/// Requests that fail when they come in a steady stream and the first servers fail theirs at once.
fn count_failures(servers: u32, failing: u32, length: Duration, hold: Duration) -> usize {
    let run = Duration::from_millis(500);
    let step = Duration::from_millis(5);
    let mut ends: Vec<Vec<Duration>> = vec![Vec::new(); servers as usize];
    let mut failures = 0;
    let mut now = Duration::ZERO;
    while now < length {
        let views: Vec<SlotView> = (0..servers)
            .map(|key| {
                let places = &mut ends[key as usize];
                places.retain(|end| *end > now);
                view(key, used(u32::try_from(places.len()).expect("few"), 0))
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

#[test]
fn flapping_servers_that_fail_at_once_draw_no_more_than_their_places() {
    // arrange: two of twenty servers fail whatever they get for three seconds
    let (servers, failing, length) = (20, 2, Duration::from_secs(3));

    // act
    let held = count_failures(servers, failing, length, FAILED_HOLD);
    let not_held = count_failures(servers, failing, length, Duration::ZERO);

    // assert: an empty server would draw nearly all of the 600 requests
    let holds = length.as_millis().div_ceil(FAILED_HOLD.as_millis());
    let most = (failing * SLOTS) as usize * usize::try_from(holds).expect("few");
    assert!(held <= most, "{held} failed");
    assert!(not_held > 10 * most, "{not_held} failed");
}
