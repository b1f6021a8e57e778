//! Which items are cut when online demand alternates each 3 to 4 s between 0.38 and 1.84 of its mean.

use std::time::Duration;

use boragerill::preemption::{
    items_to_cut,
    ItemView, //
};

fn item(left_s: u64, output_bytes: usize) -> ItemView {
    ItemView {
        time_left: Duration::from_secs(left_s),
        output_bytes,
        is_ending: false,
    }
}

/// While demand rises, reports of other VMs arrive faster than the cut items end, and each one starts another pass. On
/// earlier code, each pass cut further items for the same online request.
#[test]
fn repeated_passes_for_one_online_request_cut_one_item() {
    // arrange
    let mut items = [item(60, 100), item(60, 200), item(60, 300)];

    // act
    for _ in 0..5 {
        for index in items_to_cut(&items, 1) {
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
    let ending = ItemView {
        is_ending: true,
        ..item(60, 100)
    };

    // act
    let cut = items_to_cut(&[ending, item(60, 300), item(60, 200)], 2);

    // assert
    assert_eq!(cut, [2]);
}

/// On earlier code, a job due a millisecond later lost its items first, however far they were.
#[test]
fn items_near_their_end_are_kept_among_jobs_due_about_the_same_time() {
    // arrange
    let items = [item(45, 9000), item(40, 10), item(44, 5000)];

    // act
    let cut = items_to_cut(&items, 2);

    // assert
    assert_eq!(cut, [1, 2]);
}

#[test]
fn items_of_jobs_with_much_time_are_cut_before_those_due_soon_and_overdue_ones_last() {
    // arrange
    let items = [item(0, 10), item(3, 10), item(60, 9000)];

    // act and assert
    assert_eq!(items_to_cut(&items, 1), [2]);
    assert_eq!(items_to_cut(&items, 2), [2, 1]);
    assert_eq!(items_to_cut(&items, 9), [2, 1, 0]);
}
