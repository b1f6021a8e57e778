//! Which items are cut when online demand alternates each 3 to 4 s between 0.38 and 1.84 of its mean.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    load::ServerOutlook,
    preemption::{
        has_slot,
        items_to_cut,
        needs_cut,
        ItemView, //
    },
    slot::{
        SlotUsage,
        SlotView, //
    },
};

fn item(now: Instant, left_s: u64, output_bytes: usize) -> ItemView {
    ItemView {
        due: now + Duration::from_secs(left_s),
        output_bytes,
        is_ending: false,
    }
}

/// While demand rises, reports of other VMs arrive faster than the cut items end, and each one starts another pass. On
/// earlier code, each pass cut further items for the same online request.
#[test]
fn repeated_passes_for_one_online_request_cut_one_item() {
    // arrange
    let now = Instant::now();
    let mut items = [item(now, 60, 100), item(now, 60, 200), item(now, 60, 300)];

    // act
    for _ in 0..5 {
        for index in items_to_cut(&items, 1, now) {
            items[index].is_ending = true;
        }
    }

    // assert
    let cut = items.iter().filter(|item| item.is_ending).count();
    assert_eq!(cut, 1);
}

#[test]
fn rising_demand_cuts_only_as_many_further_items_as_it_needs() {
    // arrange: one item is ending when a second online request arrives
    let now = Instant::now();
    let ending = ItemView {
        is_ending: true,
        ..item(now, 60, 100)
    };

    // act
    let cut = items_to_cut(&[ending, item(now, 60, 300), item(now, 60, 200)], 2, now);

    // assert
    assert_eq!(cut, [2]);
}

/// On earlier code, a job due a millisecond later lost its items first, however far they were.
#[test]
fn items_near_their_end_are_kept_among_jobs_due_about_the_same_time() {
    // arrange
    let now = Instant::now();
    let items = [item(now, 45, 9000), item(now, 40, 10), item(now, 44, 5000)];

    // act
    let cut = items_to_cut(&items, 2, now);

    // assert
    assert_eq!(cut, [1, 2]);
}

#[test]
fn items_of_jobs_with_much_time_are_cut_before_those_due_soon_and_overdue_ones_last() {
    // arrange
    let now = Instant::now();
    let items = [item(now, 0, 10), item(now, 3, 10), item(now, 60, 9000)];

    // act and assert
    assert_eq!(items_to_cut(&items, 1, now), [2]);
    assert_eq!(items_to_cut(&items, 2, now), [2, 1]);
    assert_eq!(items_to_cut(&items, 9, now), [2, 1, 0]);
}

/// Returns a view of a server of 8 slots that states how long work takes.
fn claim_view(online: u32, batch: u32) -> SlotView {
    SlotView {
        used: SlotUsage { online, batch },
        slots: 8,
        outlook: Some(ServerOutlook::default()),
        ..SlotView::default()
    }
}

/// In a burst of 1.84 times the mean, online requests take the slots of items at all servers. On earlier code, they were
/// sent before the items had left, and rejected by the full servers.
#[test]
fn online_request_is_sent_once_the_item_has_left() {
    // arrange
    let view = claim_view;

    // act
    let waits = [view(3, 4), view(3, 5), view(8, 2), view(8, 0)].map(|view| needs_cut(&view));
    let claimed = has_slot(&view(4, 5));
    let item_left = has_slot(&view(4, 4));

    // assert: a server full of online requests has no slot to wait for
    assert_eq!(waits, [false, true, false, false]);
    assert!(!claimed && item_left);
}

/// With 9 servers that state three figures, near capacity, requests that waited for items made these late and gained
/// nothing.
#[test]
fn requests_are_sent_at_once_where_servers_state_no_slowdown() {
    // arrange
    let view = SlotView {
        outlook: None,
        ..claim_view(3, 5)
    };

    // act and assert
    assert!(needs_cut(&claim_view(3, 5)) && !needs_cut(&view));
}

/// On earlier code, a request whose last resort was an ejected server full of items claimed it and gave it up in a loop
/// without a pause, which kept the VM's thread busy.
#[test]
fn ejected_servers_are_not_claimed() {
    // arrange
    let ejected = SlotView {
        ejected: true,
        ..claim_view(3, 5)
    };

    // act and assert
    assert!(!needs_cut(&ejected));
}

/// On earlier code, a request waited 60 ms for an item that nothing cuts, since only the server counts the requests that
/// fill it.
#[test]
fn requests_that_only_the_server_counts_are_not_waited_for() {
    // arrange
    let unreported = |view: SlotView| SlotView {
        outlook: Some(ServerOutlook {
            unreported: 3,
            ..ServerOutlook::default()
        }),
        ..view
    };

    // act
    let waits = needs_cut(&unreported(claim_view(2, 3)));
    let claimed = has_slot(&unreported(claim_view(3, 3)));

    // assert
    assert!(!waits && claimed);
}

/// In a burst, several VMs claim the slot of the same item. On earlier code, all waited for the whole time after it had
/// left.
#[test]
fn two_claims_for_one_item_end_once_it_has_left() {
    // arrange: 7 requests run, 2 claim the slot of one item
    let before = claim_view(9, 1);
    let after = claim_view(9, 0);

    // act and assert
    assert!(!has_slot(&before) && has_slot(&after));
}

/// On earlier code, the time left when an item was started decided, so that an item that had run for most of its job's
/// time was cut before one whose job is due later.
#[test]
fn time_left_now_decides_which_item_is_cut() {
    // arrange: 50 s later, 10 s are left for the job of the first item
    let started = Instant::now();
    let now = started + Duration::from_secs(50);
    let items = [item(started, 60, 10), item(now, 40, 9000)];

    // act
    let cut = items_to_cut(&items, 1, now);

    // assert
    assert_eq!(cut, [1]);
}
