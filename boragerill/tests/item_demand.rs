//! Which VM's items take slots, when jobs with time left yield to the online demand of recent seconds and others don't.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    item_demand::{
        ItemClass,
        ItemDemands, //
    },
    slot::{
        DemandTable,
        SlotDemand,
        DUE_OVERDUE, //
    },
};

const SERVICE: u64 = 5;
const MINUTE: Duration = Duration::from_secs(60);

/// Returns the demands of a VM with numbers of relaxed and overdue items, of which `startable` relaxed ones may be started.
fn demands(relaxed: u32, overdue: u32, startable: u32) -> ItemDemands {
    let mut demands = ItemDemands::default();
    for _ in 0..relaxed {
        demands.add(SERVICE, ItemClass::Relaxed, Some(MINUTE));
    }
    for _ in 0..overdue {
        demands.add(SERVICE, ItemClass::Overdue, None);
    }
    demands.limit(SERVICE, ItemClass::Relaxed, startable);
    demands
}

fn starts(demands: &ItemDemands, class: ItemClass, others: &DemandTable, now: Instant) -> u32 {
    demands.allowed_starts((SERVICE, class), 20, (others, 9), now)
}

/// After a burst that needed every slot, 20 slots are free. On earlier code, one relaxed job applied its limit to all
/// overdue jobs of the service.
#[test]
fn overdue_items_take_free_slots_beside_relaxed_ones_that_yield() {
    // arrange
    let own = demands(50, 30, 0);
    let others = DemandTable::default();
    let now = Instant::now();

    // act
    let relaxed = starts(&own, ItemClass::Relaxed, &others, now);
    let overdue = starts(&own, ItemClass::Overdue, &others, now);

    // assert
    assert_eq!((relaxed, overdue), (0, 20));
}

/// On earlier code, a VM reported its relaxed items while it started none, and VMs with overdue items alone left all slots
/// to them.
#[test]
fn overdue_items_take_slots_that_relaxed_items_of_other_vms_leave() {
    // arrange
    let own = demands(0, 30, 0);
    let now = Instant::now();
    let allowed = |startable| {
        let mut others = DemandTable::default();
        others.record(1, demands(50, 0, startable).reported(), now);
        starts(&own, ItemClass::Overdue, &others, now)
    };

    // act and assert
    assert_eq!([0, 8, 50].map(allowed), [20, 12, 0]);
}

/// A VM with one item due soon doesn't take slots for its overdue ones before other VMs' items that are in time.
#[test]
fn classes_of_one_vm_take_slots_in_the_order_of_their_due_times() {
    // arrange
    let mut own = demands(6, 30, 6);
    own.add(SERVICE, ItemClass::DueSoon, Some(Duration::from_secs(3)));
    let now = Instant::now();
    let mut others = DemandTable::default();
    let other = SlotDemand {
        service: SERVICE,
        waiting: 10,
        due_ms: 5000,
    };
    others.record(1, vec![other], now);

    // act
    let classes = [ItemClass::DueSoon, ItemClass::Relaxed, ItemClass::Overdue];
    let allowed = classes.map(|class| starts(&own, class, &others, now));
    let reported = own.reported();

    // assert: of 20 slots, 1, 6 and 3 are left beside the 10 of the other VM
    assert_eq!(allowed, [1, 6, 3]);
    let due: Vec<u32> = reported.iter().map(|demand| demand.due_ms).collect();
    assert_eq!(due, [3000, 60_000, DUE_OVERDUE]);
}
