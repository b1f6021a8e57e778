//! Tests of which connections to other VMs are reused: random requests against a simple record of all connections.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::link_reuse::{
    LinkChoice,
    RecentLinks,
    MAX_EVIDENCE_AGE, //
};
use proptest::{
    collection::vec,
    prelude::*, //
};

/// Number of addresses.
const ADDRESSES: usize = 3;

/// Number of connections that operations refer to, in the order in which they were opened.
const LINKS: usize = 8;

/// Operation on the connections to the address of an index.
#[derive(Clone, Copy, Debug)]
enum LinkOperation {
    Open(usize),
    /// A response arrives on the connection of an index, which may have been replaced.
    Confirm(usize),
    /// A request fails on the connection of an index, which may have been replaced.
    Fail(usize),
    Find(usize, LinkChoice),
    Wait(u64),
}

/// A connection as the oracle knows it.
#[derive(Clone, Copy, Debug)]
struct KnownLink {
    address: usize,
    confirmed: Instant,
    is_dropped: bool,
}

fn operations() -> impl Strategy<Value = Vec<LinkOperation>> {
    let choice = prop_oneof![Just(LinkChoice::Recent), Just(LinkChoice::New)];
    let operation = prop_oneof![
        (0..ADDRESSES).prop_map(LinkOperation::Open),
        (0..LINKS).prop_map(LinkOperation::Confirm),
        (0..LINKS).prop_map(LinkOperation::Fail),
        (0..ADDRESSES, choice).prop_map(|(address, choice)| LinkOperation::Find(address, choice)),
        (0..700_u64).prop_map(LinkOperation::Wait),
    ];
    vec(operation, 1..60)
}

fn address(index: usize) -> String {
    format!("10.0.0.{index}:7360")
}

/// Drops what has no recent evidence, and returns the connection that is reused: the one that was opened last, unless it
/// is dropped.
fn find_expected(known: &mut [KnownLink], address: usize, now: Instant) -> Option<usize> {
    for link in known.iter_mut() {
        link.is_dropped |= now >= link.confirmed + MAX_EVIDENCE_AGE;
    }
    let last = known.iter().rposition(|link| link.address == address)?;
    (!known[last].is_dropped).then_some(last)
}

proptest! {
    // Guards against CONFIG: requests for newer state waited on connections that had fallen silent, since an open one was
    // reused however long ago its last response was.
    #[test]
    fn connections_are_reused_with_recent_evidence_only(operations in operations()) {
        // arrange
        let mut now = Instant::now();
        let mut links = RecentLinks::default();
        let mut known: Vec<KnownLink> = Vec::new();

        for operation in operations {
            // act
            match operation {
                LinkOperation::Open(index) => {
                    links.insert(&address(index), known.len(), now);
                    known.push(KnownLink { address: index, confirmed: now, is_dropped: false });
                }
                LinkOperation::Confirm(link) if link < known.len() => {
                    links.confirm(&address(known[link].address), &link, now);
                    known[link].confirmed = now;
                }
                LinkOperation::Fail(link) if link < known.len() => {
                    links.remove(&address(known[link].address), &link);
                    known[link].is_dropped = true;
                }
                LinkOperation::Confirm(_) | LinkOperation::Fail(_) => {}
                LinkOperation::Find(index, choice) => {
                    let found = links.find(&address(index), choice, now);
                    let recent = find_expected(&mut known, index, now);

                    // assert
                    prop_assert_eq!(found, recent.filter(|_| choice == LinkChoice::Recent));
                }
                LinkOperation::Wait(millis) => now += Duration::from_millis(millis),
            }
        }
    }
}

#[test]
fn failed_request_drops_only_its_own_connection() {
    // arrange
    let now = Instant::now();
    let mut links = RecentLinks::default();
    links.insert("a", 1, now);
    links.insert("a", 2, now);

    // act
    links.remove("a", &1);
    let kept = links.find("a", LinkChoice::Recent, now);
    links.remove("a", &2);
    let dropped = links.find("a", LinkChoice::Recent, now);

    // assert
    assert_eq!(kept, Some(2));
    assert_eq!(dropped, None);
}
