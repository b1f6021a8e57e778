//! Cells of fleets of 10, 80, 300 and 1,000 VMs. The load that they answer: 300 VMs, each of which would use 3,000 servers
//! and report each request to 299 others.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    cell::{
        cell_count,
        choose_fallback,
        is_cell_full,
        server_cells,
        vm_cells,
        CellMap,
        CellServer,
        CellVm,
        FallbackPace, //
    },
    rank::hash_name,
    server_limit::SendAdmission,
    slot::SlotView, //
};

const DOMAINS: [&str; 3] = ["east", "north", "west"];
const SERVICES: [&str; 4] = ["chat", "code", "embed", "rank"];
const SIZES: [usize; 4] = [10, 80, 300, 1000];

fn vms(count: usize) -> Vec<CellVm<'static>> {
    let vms = (0..count).map(|index| CellVm {
        hash: hash_name(&format!("vm-{index}")),
        domain: DOMAINS[index % DOMAINS.len()],
    });
    vms.collect()
}

fn servers(count: usize) -> Vec<CellServer<'static>> {
    let servers = (0..count).map(|index| CellServer {
        key: (hash_name(&format!("server-{index}")) >> 32) as u32,
        service: SERVICES[index / DOMAINS.len() % SERVICES.len()],
        domain: DOMAINS[index % DOMAINS.len()],
    });
    servers.collect()
}

/// Returns the number of entries of each cell.
fn sizes(cells: &[usize], count: usize) -> Vec<usize> {
    let in_cell = |cell| cells.iter().filter(|&&other| other == cell).count();
    (0..count).map(in_cell).collect()
}

/// Returns the maps of all VMs.
fn maps(vms: &[CellVm<'_>], servers: &[CellServer<'_>]) -> Vec<CellMap> {
    let count = cell_count(vms.len(), []);
    let map = |index: usize| {
        let mut others = vms.to_vec();
        let own = others.remove(index);
        CellMap::new(own, &others, servers, count)
    };
    (0..vms.len()).map(map).collect()
}

fn view(online: u32) -> SlotView {
    let mut view = SlotView {
        key: 1,
        slots: 4,
        ..SlotView::default()
    };
    view.used.online = online;
    view
}

/// Guards against cells in fleets that work without them, and against cells that are far from 25 VMs.
#[test]
fn number_of_cells_follows_the_fleet() {
    // arrange
    let sizes = [1, 10, 79, 80, 119, 120, 300, 1000];

    // act
    let counts = sizes.map(|vms| cell_count(vms, []));

    // assert
    assert_eq!(counts, [1, 1, 1, 3, 4, 4, 12, 40]);
}

/// Guards against a fleet that is divided anew by each VM that comes or goes.
#[test]
fn vms_that_come_and_go_at_a_boundary_change_the_number_once() {
    // arrange
    let mut count = 1;
    let mut changes = 0;

    // act
    for step in 0..100 {
        let vms = 120 + step % 10;
        let next = cell_count(vms, [count]);
        changes += usize::from(next != count);
        count = next;
    }

    // assert: from one to four, and from four to five
    assert_eq!(changes, 2);
    assert_eq!(cell_count(114, [5]), 4);
}

/// Guards against VMs that started at different times and disagree for good.
#[test]
fn vms_with_different_numbers_agree() {
    // arrange: one VM still uses five cells, one that has just started computes four
    let (old, new) = (5, cell_count(120, []));

    // act
    let agreed = [cell_count(120, [old, new]), cell_count(120, [new, old])];

    // assert
    assert_eq!(new, 4);
    assert_eq!(agreed, [5, 5]);
}

/// Guards against cells with much more load or fewer servers than others.
#[test]
fn vms_and_servers_are_divided_evenly() {
    for size in SIZES {
        // arrange
        let (vms, servers) = (vms(size), servers(size * 3));
        let count = cell_count(size, []);

        // act
        let vm_sizes = sizes(&vm_cells(&vms, count), count);
        let server_sizes = sizes(&server_cells(&servers, count), count);

        // assert: each group of a domain, or of a domain and service, contributes at most one more to some cells
        let spread = |sizes: &[usize]| sizes.iter().max().unwrap() - sizes.iter().min().unwrap();
        assert!(spread(&vm_sizes) <= DOMAINS.len(), "{vm_sizes:?}");
        let groups = DOMAINS.len() * SERVICES.len();
        assert!(spread(&server_sizes) <= groups, "{server_sizes:?}");
        for domain in DOMAINS {
            let local: Vec<CellServer<'_>> = servers
                .iter()
                .filter(|server| server.domain == domain)
                .copied()
                .collect();
            let sizes = sizes(&server_cells(&local, count), count);
            assert!(sizes.iter().all(|&size| size > 0), "{sizes:?}");
        }
    }
}

/// Guards against servers that no VM uses, or that VMs use which don't report to each other.
#[test]
fn vms_of_a_cell_use_the_same_servers_and_know_each_other() {
    for size in SIZES {
        // arrange
        let (vms, servers) = (vms(size), servers(size * 3));

        // act
        let maps = maps(&vms, &servers);

        // assert
        for server in &servers {
            let users = (0..size).filter(|&index| maps[index].has_server(server.key));
            let users: Vec<usize> = users.collect();
            assert!(!users.is_empty());
            let mut expected: Vec<u64> = users.iter().map(|&index| vms[index].hash).collect();
            expected.sort_unstable();
            for &user in &users {
                let mut known = maps[user].near.clone();
                known.push(vms[user].hash);
                known.sort_unstable();
                assert_eq!(known, expected);
            }
        }
    }
}

/// Guards against a VM that comes and has many servers change their users.
#[test]
fn one_more_vm_moves_few_others() {
    // arrange
    let before = vms(300);
    let after = vms(301);

    // act
    let (before, after) = (vm_cells(&before, 7), vm_cells(&after, 7));

    // assert: one at each boundary of its domain
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(moved <= 7, "{moved}");
}

/// Guards against requests that are refused while servers of other cells are free, and against use of other cells' servers
/// while own ones are free.
#[test]
fn other_cells_are_used_when_the_own_one_is_full() {
    // arrange
    let draining = SlotView {
        leaving: true,
        ..view(0)
    };
    let ejected = SlotView {
        ejected: true,
        ..view(0)
    };
    let limited = SlotView {
        admission: SendAdmission::Nothing,
        ..view(0)
    };

    // act
    let full = [
        is_cell_full(&[draining, ejected, limited, view(4)], &[]),
        is_cell_full(&[view(0)], &[1]),
        is_cell_full(&[], &[]),
    ];
    let free = is_cell_full(&[draining, view(3)], &[]);

    // assert
    assert_eq!(full, [true; 3]);
    assert!(!free);
}

/// Guards against VMs that all fall back on the same server.
#[test]
fn fallback_begins_at_a_random_server() {
    // arrange
    let is_usable = |index: usize| index % 3 == 1;

    // act
    let chosen: Vec<Option<usize>> = (0..6)
        .map(|draw| choose_fallback(6, draw, is_usable))
        .collect();
    let none = [
        choose_fallback(6, 2, |_| false),
        choose_fallback(0, 2, |_| true),
    ];

    // assert
    let expected = [1, 1, 4, 4, 4, 1].map(Some);
    assert_eq!(chosen, expected);
    assert_eq!(none, [None, None]);
}

/// Guards against rejections at servers of other cells while all cells are full: 300 VMs with 3.3 requests a second each.
#[test]
fn requests_to_other_cells_become_rare_while_these_reject_them() {
    // arrange
    let start = Instant::now();
    let mut pace = FallbackPace::default();

    // act
    let mut sent = 0;
    for step in 0..100 {
        let now = start + Duration::from_millis(300) * step;
        if pace.admits(now) {
            sent += 1;
            pace.record(false, now);
        }
    }
    pace.record(true, start);

    // assert: one in 2 s after the first ones
    assert!(sent <= 22, "{sent}");
    assert!(pace.admits(start));
}
