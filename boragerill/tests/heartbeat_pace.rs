//! Bytes and pace of heartbeats in fleets of 10 to 1,000 VMs, from encoded messages. The load that they answer: 300 VMs with
//! 3.3 requests a second each.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    cell::cell_count,
    generated::messages::{
        CrashNotice,
        DrainNotice,
        Heartbeat,
        JobStatus,
        LimitNotice,
        MemberEntry,
        ServerUsage,
        StreamNotice,
        WorkspaceUsage, //
    },
    heartbeat_pace::{
        content_bytes,
        distant_full_interval,
        distant_period,
        heartbeat_timeout,
        usage_timeout,
        DistantChanges,
        ListPace,
        NEAR_PERIOD, //
    },
    member::{
        HEARTBEAT_TIMEOUT,
        USAGE_TIMEOUT, //
    },
};
use prost::Message;

const REQUESTS_PER_S: f64 = 3.3;

fn minimal() -> Heartbeat {
    Heartbeat {
        sender: u64::MAX / 3,
        incarnation: 1_796_550_000_000,
        sequence: 20_000,
        catalog: 300,
        backends: 90_000,
        ends: 90_000,
        watches: Some(false),
        ..Heartbeat::default()
    }
}

fn usage(workspace: u64) -> WorkspaceUsage {
    WorkspaceUsage {
        workspace,
        used: 5_000,
    }
}

fn entry() -> MemberEntry {
    MemberEntry {
        vm: "vm-front-017".into(),
        address: "127.10.20.30:7360".into(),
        domain: "east-1".into(),
        incarnation: 1_796_550_000_000,
        leaving: false,
        follows: false,
        heard_age_ms: Some(150),
    }
}

fn full() -> Heartbeat {
    Heartbeat {
        member: Some(entry()),
        full: true,
        uses: (0..6).map(usage).collect(),
        cells: Some(7),
        members_digest: Some(u64::MAX / 7),
        ..minimal()
    }
}

fn change() -> Heartbeat {
    Heartbeat {
        places: vec![ServerUsage {
            server: u32::MAX / 3,
            online: 2,
            batch: 1,
        }],
        uses: vec![usage(1)],
        ..minimal()
    }
}

fn size(heartbeat: &Heartbeat) -> f64 {
    heartbeat.encoded_len() as f64
}

/// Returns the bytes that a VM sends a second in a fleet of `vms`.
fn sent_bytes(vms: usize) -> f64 {
    let cells = cell_count(vms, []);
    let near = vms.div_ceil(cells) - 1;
    let distant = (vms - 1 - near) as f64;
    let near_each = size(&minimal()) / NEAR_PERIOD.as_secs_f64()
        + size(&change()) * REQUESTS_PER_S * 2.0
        + size(&full()) / 1.05;
    let period = distant_period(vms);
    let mut distant_minimal = minimal();
    distant_minimal.distant_period_ms = Some(500);
    let interval = distant_full_interval(period) as f64;
    let distant_each = size(&distant_minimal) / period.as_secs_f64()
        + size(&full()) / (period.as_secs_f64() * interval)
        + 2.0 * 14.0 * REQUESTS_PER_S;
    let list = vms as f64 * (2 + entry().encoded_len()) as f64 / 4.0;
    near as f64 * near_each + distant * distant_each + list
}

/// Guards against traffic that grows with the square of the fleet's size, as it did before.
#[test]
fn bytes_of_a_vm_grow_slowly() {
    // arrange
    let sizes = [10, 80, 300, 1000];

    // act
    let bytes = sizes.map(sent_bytes);

    // assert
    assert!(bytes[2] < 110_000.0, "{bytes:?}");
    assert!(bytes[3] < bytes[2] * 3.0, "{bytes:?}");
}

/// Guards against periods that make small fleets slower or large ones louder.
#[test]
fn distant_period_grows_with_the_fleet() {
    // arrange
    let sizes = [10, 80, 300, 1000, 5000];

    // act
    let periods = sizes.map(|vms| distant_period(vms).as_millis());

    // assert
    assert_eq!(periods, [150, 266, 999, 2000, 2000]);
}

/// Guards against distant VMs that count as unreachable between their heartbeats, and against VMs that count as reachable for
/// as long as they state.
#[test]
fn timeouts_follow_the_stated_period() {
    // arrange
    let periods = [None, Some(100), Some(150), Some(500), Some(u64::MAX)];
    let periods = periods.map(|period| period.map(Duration::from_millis));

    // act
    let reachable = periods.map(heartbeat_timeout);
    let reporting = periods.map(usage_timeout);

    // assert
    assert_eq!(reachable[..3], [HEARTBEAT_TIMEOUT; 3]);
    assert_eq!(reporting[..3], [USAGE_TIMEOUT; 3]);
    assert_eq!(reachable[3], Duration::from_secs(2));
    assert_eq!(reachable[4], Duration::from_secs(8));
    assert!(reporting[3] > Duration::from_secs(1));
}

/// Guards against draining servers and quarantined prompts that are used by other cells for a period longer.
#[test]
fn urgent_changes_are_sent_at_once() {
    // arrange
    let changes = [
        change(),
        Heartbeat {
            limits: vec![LimitNotice::default()],
            ..minimal()
        },
        Heartbeat {
            jobs: vec![JobStatus::default()],
            ..minimal()
        },
        Heartbeat {
            leaving: vec![DrainNotice::default()],
            ..minimal()
        },
        Heartbeat {
            crashes: vec![CrashNotice::default()],
            ..minimal()
        },
        Heartbeat {
            streams: vec![StreamNotice::default()],
            ..minimal()
        },
    ];

    // act
    let urgent = changes.map(|change| {
        let mut distant = DistantChanges::default();
        distant.add(&change);
        distant.is_urgent()
    });

    // assert
    assert_eq!(urgent, [false, false, true, true, true, true]);
}

/// Guards against drains and jobs that other cells never learn of since one datagram was lost.
#[test]
fn changes_are_repeated_until_a_full_heartbeat() {
    // arrange
    let mut distant = DistantChanges::default();
    distant.add(&Heartbeat {
        leaving: vec![DrainNotice::default()],
        ..change()
    });

    // act
    let (mut first, mut second, mut last, mut next) = (minimal(), minimal(), full(), minimal());
    distant.add_to(&mut first);
    distant.add_to(&mut second);
    distant.add_to(&mut last);
    distant.add_to(&mut next);

    // assert
    let notices = [&first, &second, &next].map(|heartbeat| heartbeat.leaving.len());
    assert_eq!(notices, [1, 1, 0]);
    assert_eq!((first.uses.len(), second.uses.len()), (1, 0));
    assert!(first.places.is_empty());
    assert!(!distant.is_urgent());
}

/// Guards against the usage of an earlier moment that replaces a later one.
#[test]
fn later_usage_replaces_earlier_usage() {
    // arrange
    let mut distant = DistantChanges::default();

    // act
    for used in [5, 6, 9] {
        let workspace = 1;
        distant.add(&Heartbeat {
            uses: vec![WorkspaceUsage { workspace, used }],
            ..minimal()
        });
    }
    let mut report = minimal();
    distant.add_to(&mut report);

    // assert
    let used: Vec<u64> = report.uses.iter().map(|usage| usage.used).collect();
    assert_eq!(used, [9]);
}

/// Guards against 300 VMs that answer each other with lists of 300 VMs.
#[test]
fn lists_are_sent_seldom() {
    // arrange
    let now = Instant::now();
    let (mut calm, mut changing) = (ListPace::default(), ListPace::default());
    changing.record_change(now);

    // act
    let times = (0..300).map(|step| now + Duration::from_millis(10) * step);
    let sent = times.fold((0, 0), |sent, time| {
        let calm = usize::from(calm.admit(time));
        (sent.0 + calm, sent.1 + usize::from(changing.admit(time)))
    });

    // assert
    assert_eq!(sent, (1, 15));
}

/// Guards against a seed that sends 300 lists at once after a restart of all VMs.
#[test]
fn few_lists_are_sent_to_vms_that_join_at_once() {
    // arrange
    let now = Instant::now();
    let mut pace = ListPace::default();

    // act
    let at_once = (0..300).filter(|_| pace.admit_join(now)).count();
    let later = pace.admit_join(now + Duration::from_millis(200));

    // assert
    assert_eq!(at_once, 30);
    assert!(later);
}

/// Guards against counters that don't add up to the bytes that were sent.
#[test]
fn bytes_by_content_add_up() {
    // arrange
    let heartbeat = Heartbeat {
        members: vec![entry(); 3],
        ..change()
    };

    // act
    let total = heartbeat.encoded_len();
    let kinds = content_bytes(&heartbeat, total);

    // assert
    assert_eq!(kinds.iter().map(|kind| kind.1).sum::<usize>(), total);
    assert_eq!(kinds[5].1, minimal().encoded_len());
}
