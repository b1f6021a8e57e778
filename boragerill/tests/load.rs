//! What servers state about their load, the learned speed of servers and cost of requests, and the choice by them.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    load::{
        CostEstimate,
        CostKeys,
        CostTable,
        DeclaredCost,
        EventClock,
        FirstEvent,
        LoadReading,
        LoadStatement,
        LoadTable,
        OutlookQuery,
        PaceSample,
        ServerOutlook,
        ServerSpeed,
        StatedUsage,
        SLOWDOWN_LIFETIME,
        USAGE_LIFETIME, //
    },
    rank::score,
    server_limit::ProcessKey,
    slot::{
        choose_batch_server,
        choose_online_server,
        free_slots,
        SlotQuery,
        SlotUsage,
        SlotView, //
    }, //
};
use proptest::prelude::*;

const SERVICE: u64 = 5;
const SLOTS: u32 = 8;
const EVENT: Duration = Duration::from_millis(20);

fn process(key: u32) -> ProcessKey {
    (key, 1)
}

fn read(text: &str, now: Instant) -> LoadReading {
    let figures: Vec<&str> = text.split(',').collect();
    LoadReading::check(text, &figures, now, now)
}

fn usage(running: u32, waiting: u32) -> Option<StatedUsage> {
    Some(StatedUsage {
        running,
        waiting,
        slots: SLOTS,
    })
}

fn statement(usage: Option<StatedUsage>, slowdown: Option<f64>, now: Instant) -> LoadStatement {
    LoadStatement {
        usage,
        slowdown,
        sent: now,
        received: now,
    }
}

fn query(key: u32, events: f64) -> OutlookQuery {
    OutlookQuery {
        process: process(key),
        service: SERVICE,
        reported: 0,
        own: 0,
        slots: SLOTS,
        declared: DeclaredCost::default(),
        prompt: None,
        cost: CostEstimate {
            median: events,
            high: events,
        },
    }
}

/// A table of servers that have stated usual speed, and whose events take `EVENT` divided by their speeds.
fn table(speeds: &[f64], now: Instant) -> LoadTable {
    let mut table = LoadTable::default();
    for (key, speed) in (0_u32..).zip(speeds) {
        table.record(
            process(key),
            SERVICE,
            statement(usage(0, 0), Some(1.0), now),
            0,
        );
        observe(&mut table, key, EVENT.div_f64(*speed), now);
    }
    table
}

fn observe(table: &mut LoadTable, key: u32, interval: Duration, now: Instant) {
    let sample = PaceSample {
        events: 8,
        elapsed: interval * 8,
    };
    table.record_pace(process(key), SERVICE, sample, now);
}

fn outlook(table: &LoadTable, query: OutlookQuery, now: Instant) -> ServerOutlook {
    table.outlook(&query, now).expect("the service is active")
}

fn view(key: u32, online: u32, outlook: ServerOutlook) -> SlotView {
    SlotView {
        key,
        used: SlotUsage { online, batch: 0 },
        slots: SLOTS,
        outlook: Some(outlook),
        ..SlotView::default()
    }
}

fn expected(first_ms: u64, last_ms: u64) -> ServerOutlook {
    ServerOutlook {
        unreported: 0,
        first: Duration::from_millis(first_ms),
        last: Duration::from_millis(last_ms),
    }
}

fn draw(number: u64) -> SlotQuery {
    SlotQuery {
        draw: number,
        ..SlotQuery::default()
    }
}

/// Servers send malformed and implausible figures on some days.
#[test]
fn malformed_figures_are_told_from_valid_ones_and_cost_only_themselves() {
    // arrange
    let now = Instant::now();
    let cases = [
        ("3,1,8,250", usage(3, 1), Some(2.5), 0),
        ("3,1,8", usage(3, 1), None, 0),
        ("0,0,8,100", usage(0, 0), Some(1.0), 0),
        ("3,1,8,0", usage(3, 1), None, 1),
        ("3,1,8,-100", usage(3, 1), None, 1),
        ("3,1,8,NaN", usage(3, 1), None, 1),
        ("3,1,8,inf", usage(3, 1), None, 1),
        ("3,1,8,1000000000", usage(3, 1), None, 1),
        ("3,1,8,", usage(3, 1), None, 1),
        ("-1,1,8,200", None, Some(2.0), 1),
        ("9,0,8,200", None, Some(2.0), 1),
        ("1.5,0,8,200", None, Some(2.0), 1),
        ("1000000000,0,1000000000,200", None, Some(2.0), 1),
        ("3,1000000000,8,200", None, Some(2.0), 1),
        ("x,y,z,0", None, None, 2),
        ("3,1", None, None, 1),
        ("3,1,8,100,7", None, None, 1),
        ("", None, None, 1),
    ];

    for (text, usage, slowdown, faults) in cases {
        // act
        let reading = read(text, now);

        // assert
        let statement = reading.statement;
        assert_eq!(
            (statement.usage, statement.slowdown),
            (usage, slowdown),
            "{text:?}"
        );
        assert_eq!(reading.faults.len(), faults, "{text:?}");
    }
}

/// A long header must not be copied whole into logs.
#[test]
fn faults_keep_only_the_beginning_of_the_text() {
    // arrange
    let text = "9".repeat(5000);

    // act
    let reading = read(&text, Instant::now());

    // assert
    assert!(reading.faults[0].text().len() < 100);
}

/// A malformed statement after a valid one must not erase what is known.
#[test]
fn malformed_statement_leaves_the_earlier_one_in_force() {
    // arrange
    let now = Instant::now();
    let mut table = table(&[1.0], now);
    table.record(
        process(0),
        SERVICE,
        statement(usage(6, 0), Some(3.0), now),
        0,
    );

    // act
    let before = outlook(&table, query(0, 10.0), now);
    table.record(process(0), SERVICE, read("x,y,z,0", now).statement, 0);
    let after = outlook(&table, query(0, 10.0), now);

    // assert
    assert_eq!(before, after);
    assert_eq!(after.unreported, 6);
}

/// Deployments whose servers state three figures or none keep their choice of servers.
#[test]
fn service_is_inactive_until_a_server_states_four_figures() {
    // arrange
    let now = Instant::now();
    let mut table = LoadTable::default();
    table.record(process(0), SERVICE, read("3,0,8", now).statement, 0);
    table.record(process(1), SERVICE, read("3,0,8,0", now).statement, 0);
    observe(&mut table, 0, EVENT, now);

    // act
    let before = table.outlook(&query(0, 10.0), now);
    table.record(process(1), SERVICE, read("3,0,8,100", now).statement, 0);
    let other_service = table.is_active(SERVICE + 1);
    let after = table.outlook(&query(0, 10.0), now);

    // assert
    assert_eq!(before, None);
    assert!(after.is_some() && !other_service);
}

/// The VMs' reports and the server's statement mostly count the same requests.
#[test]
fn request_known_from_both_sources_counts_once() {
    // arrange: five requests run, two of them this VM's, and the server has stated all of them
    let now = Instant::now();
    let mut table = table(&[1.0], now);
    table.record(
        process(0),
        SERVICE,
        statement(usage(5, 0), Some(1.0), now),
        2,
    );
    let unreported = |reported, own| {
        let query = OutlookQuery {
            reported,
            own,
            ..query(0, 10.0)
        };
        outlook(&table, query, now).unreported
    };

    // act
    let all_reported = unreported(5, 2);
    let partly_reported = unreported(3, 2);
    let one_sent_since = unreported(6, 3);
    let two_ended_since = unreported(3, 0);
    let more_reported = unreported(7, 2);

    // assert
    assert_eq!((all_reported, partly_reported), (0, 2));
    assert_eq!((one_sent_since, two_ended_since, more_reported), (0, 0, 0));
}

/// On busy VMs and through cuts, statements reach the choice late.
#[test]
fn stale_statements_have_no_weight() {
    // arrange
    let now = Instant::now();
    let mut table = table(&[1.0, 1.0], now);
    table.record(
        process(0),
        SERVICE,
        statement(usage(8, 4), Some(5.0), now),
        0,
    );
    let at = |age| outlook(&table, query(0, 10.0), now + age);
    let usual = outlook(&table, query(1, 10.0), now);

    // act
    let fresh = at(Duration::ZERO);
    let fading = at(USAGE_LIFETIME * 3 / 4);
    let old = at(USAGE_LIFETIME);
    let slowed = at(SLOWDOWN_LIFETIME / 2);

    // assert
    assert_eq!(
        (fresh.unreported, fading.unreported, old.unreported),
        (12, 6, 0)
    );
    assert!(slowed.last > old.last);
    assert_eq!(old, usual);
}

/// A server whose requests come from VMs that can't be reached looks idle in the reports.
#[test]
fn servers_whose_stated_load_leaves_no_slot_come_last() {
    // arrange
    let full = ServerOutlook {
        unreported: SLOTS,
        ..expected(10, 100)
    };
    let views = [view(0, 0, full), view(1, 7, expected(900, 9000))];

    // act
    let online = choose_online_server(&views, &[], draw(1));
    let last_resort = choose_online_server(&views, &[1], draw(1));
    let batch = choose_batch_server(&views, &[], 0);

    // assert
    assert_eq!((online, last_resort, batch), (Some(1), Some(0), Some(1)));
    assert_eq!(free_slots(&views, 0), 1);
}

/// Servers slow down for some tenths of a second, one in six at any moment.
#[test]
fn server_that_slows_down_is_avoided_within_a_second() {
    // arrange: both servers have the same usual speed
    let now = Instant::now();
    let mut table = table(&[1.0, 1.0], now);
    for round in 0..20 {
        for key in 0..2 {
            observe(&mut table, key, EVENT, now + EVENT * round);
        }
    }
    let usual = outlook(&table, query(0, 30.0), now + Duration::from_secs(1));

    // act: one observed sample of a server that has stopped stating anything, and one statement
    let slow_at = now + Duration::from_secs(2);
    observe(&mut table, 0, EVENT.mul_f64(2.5), slow_at);
    table.record(process(1), SERVICE, statement(None, Some(2.5), slow_at), 0);
    let observed = outlook(&table, query(0, 30.0), slow_at);
    let stated = outlook(&table, query(1, 30.0), slow_at);
    let again = outlook(&table, query(0, 30.0), slow_at + Duration::from_millis(600));

    // assert: a slowdown of some tenths of a second isn't taken for the server's usual speed
    assert!(observed.last > usual.last + Duration::from_millis(150));
    assert!(stated.last > usual.last + Duration::from_millis(150));
    assert!(again.last < usual.last.mul_f64(1.25));
}

/// Speeds of 0.7, 0.7 and 1.7 differ by 2.4 times.
#[test]
fn long_requests_go_to_the_fast_server_and_short_ones_are_spread() {
    // arrange
    let now = Instant::now();
    let table = table(&[0.7, 0.7, 1.7], now);
    let choose = |events: f64, number: u64| {
        let views: Vec<SlotView> = (0..3)
            .map(|key| view(key, 0, outlook(&table, query(key, events), now)))
            .collect();
        choose_online_server(&views, &[], draw(number))
    };

    // act
    let long: Vec<_> = (0..30).map(|number| choose(400.0, number)).collect();
    let short: Vec<_> = (0..30).map(|number| choose(1.0, number)).collect();

    // assert
    assert!(long.iter().all(|chosen| *chosen == Some(2)));
    assert!((0..3).all(|server| short.contains(&Some(server))));
}

/// Simulates requests with costs of 1 to 40 that arrive at servers of three speeds, and returns the mean of their
/// completion times.
fn mean_completion(with_outlook: bool) -> Duration {
    let now = Instant::now();
    let speeds = [0.7, 0.7, 1.7];
    let table = table(&speeds, now);
    let mut ends: [Vec<Duration>; 3] = Default::default();
    let mut total = Duration::ZERO;
    let requests = 600_u32;
    for number in 0..requests {
        let at = Duration::from_millis(200) * number;
        let events = 8.0 * (1.0 + (score(1, number.into()) % 40) as f64);
        let views: Vec<SlotView> = (0..3)
            .map(|key| {
                let running = &mut ends[key as usize];
                running.retain(|end| *end > at);
                let used = u32::try_from(running.len()).expect("few");
                let outlook = outlook(&table, query(key, events), now);
                SlotView {
                    outlook: with_outlook.then_some(outlook),
                    ..view(key, used, outlook)
                }
            })
            .collect();
        let index = choose_online_server(&views, &[], draw(number.into()));
        let Some(index) = index else {
            total += Duration::from_secs(10);
            continue;
        };
        let run = EVENT.mul_f64(events / speeds[index]);
        ends[index].push(at + run);
        total += run;
    }
    total / requests
}

#[test]
fn requests_of_cost_1_to_40_end_sooner_with_estimates() {
    // arrange: three servers of 8 slots, three quarters of which are in use

    // act
    let (with, without) = (mean_completion(true), mean_completion(false));

    // assert
    assert!(with < without.mul_f64(0.85), "{with:?} {without:?}");
}

/// Streams that run in the VM's own failure domain survive a partition of the domain.
#[test]
fn local_server_is_kept_unless_it_is_much_later() {
    // arrange
    let choose = |local_ms: u64, remote_ms: u64| {
        let local = SlotView {
            local: true,
            ..view(0, 4, expected(50, local_ms))
        };
        let views = [local, view(1, 0, expected(50, remote_ms))];
        choose_online_server(&views, &[], draw(3))
    };

    // act
    let somewhat_later = choose(1400, 1000);
    let much_later = choose(2600, 1000);
    let short = choose(240, 100);

    // assert
    assert_eq!(
        (somewhat_later, much_later, short),
        (Some(0), Some(1), Some(0))
    );
}

#[test]
fn ejected_servers_and_those_without_a_free_slot_come_after_slow_ones() {
    // arrange
    let ejected = SlotView {
        ejected: true,
        ..view(0, 0, expected(1, 1))
    };
    let views = [
        ejected,
        view(1, SLOTS, expected(1, 1)),
        view(2, 3, expected(900, 9000)),
    ];

    // act
    let chosen = choose_online_server(&views, &[], draw(1));

    // assert
    assert_eq!(chosen, Some(2));
}

/// Prompts of 10,000 tokens take seconds to read; one that the server has read lately doesn't.
#[test]
fn time_to_read_a_prompt_is_learned_and_shared_parts_are_read_once() {
    // arrange: reading takes 1 ms for 10 tokens
    let now = Instant::now();
    let mut table = table(&[1.0, 1.0], now);
    for number in 0..40_u32 {
        let tokens = 500 * (1 + number % 20);
        let first = FirstEvent {
            declared: DeclaredCost {
                prompt: tokens,
                own_part: tokens,
                output: 0,
            },
            prompt: None,
            delay: Duration::from_millis(u64::from(50 + tokens / 10)),
        };
        table.record_first_event(process(0), SERVICE, first, now);
    }
    let declared = DeclaredCost {
        prompt: 8000,
        own_part: 200,
        output: 0,
    };
    let read = FirstEvent {
        declared,
        prompt: Some(77),
        delay: Duration::from_millis(850),
    };
    table.record_first_event(process(0), SERVICE, read, now);
    let first = |key| {
        let query = OutlookQuery {
            declared,
            prompt: Some(77),
            ..query(key, 10.0)
        };
        outlook(&table, query, now).first
    };

    // act
    let (cached, unread) = (first(0), first(1));

    // assert
    assert!(cached > Duration::from_millis(50) && cached < Duration::from_millis(110));
    assert!(unread > Duration::from_millis(780) && unread < Duration::from_millis(920));
}

/// A restarted server may run on another machine.
#[test]
fn speeds_are_forgotten_with_the_process_and_reported_ones_are_used_until_observed() {
    // arrange
    let now = Instant::now();
    let mut table = table(&[1.0, 1.0, 0.25], now);
    let last = |table: &LoadTable, process| {
        outlook(
            table,
            OutlookQuery {
                process,
                ..query(2, 100.0)
            },
            now,
        )
        .last
    };
    let old = last(&table, (2, 1));

    // act
    let median = last(&table, (2, 2));
    let reported = ServerSpeed {
        process: (2, 2),
        interval: EVENT * 2,
    };
    table.record_reported(SERVICE, reported);
    let by_report = last(&table, (2, 2));
    let sample = PaceSample {
        events: 8,
        elapsed: EVENT * 8,
    };
    table.record_pace((2, 2), SERVICE, sample, now);
    let own = last(&table, (2, 2));
    table.retain(|process| process.0 != 2);

    // assert
    assert!(old > median * 3 && by_report > median && own == median);
    assert_eq!(table.len(), 2);
}

/// Thousands of servers come and go over a day.
#[test]
fn tables_are_bounded() {
    // arrange
    let now = Instant::now();
    let (mut table, mut costs) = (LoadTable::default(), CostTable::default());

    // act
    for key in 0..4000 {
        observe(&mut table, key, EVENT, now);
        table.record_pace(
            (7, u64::from(key)),
            SERVICE,
            PaceSample {
                events: 1,
                elapsed: EVENT,
            },
            now,
        );
        let keys = CostKeys::new(u64::from(key), u64::from(key), Some(u64::from(key)));
        costs.record(keys, DeclaredCost::default(), 10);
    }

    // assert
    assert!(table.len() <= 2048 && costs.len() <= 512);
}

/// Each full heartbeat has room for two speeds only.
#[test]
fn successive_reports_go_through_all_speeds() {
    // arrange
    let mut table = table(&[1.0; 5], Instant::now());

    // act
    let mut reported: Vec<u32> = (0..3)
        .flat_map(|_| table.next_speeds(2))
        .map(|speed| speed.process.0)
        .collect();

    // assert
    reported.sort_unstable();
    reported.dedup();
    assert_eq!(reported, [0, 1, 2, 3, 4]);
    assert_eq!(LoadTable::default().next_speeds(2), []);
}

#[test]
fn event_clock_gives_a_sample_after_enough_events_or_time() {
    // arrange
    let now = Instant::now();
    let mut clock = EventClock::start(now, 1);

    // act
    let early = clock.sample(now + EVENT, 2);
    let by_count = clock.sample(now + EVENT * 8, 9);
    let by_time = clock.sample(now + EVENT * 8 + Duration::from_millis(200), 10);
    let without_events = clock.sample(now + Duration::from_secs(9), 10);

    // assert
    let sample = |events, elapsed| Some(PaceSample { events, elapsed });
    assert_eq!((early, by_count), (None, sample(8, EVENT * 8)));
    assert_eq!(by_time, sample(1, Duration::from_millis(200)));
    assert_eq!(without_events, None);
}

fn declared(output: u32) -> DeclaredCost {
    DeclaredCost {
        output,
        ..DeclaredCost::default()
    }
}

fn is_near(estimate: f64, expected: f64) -> bool {
    (expected * 0.8..=expected * 1.25).contains(&estimate)
}

/// Alike requests of one route cost between 1 and 40.
#[test]
fn distribution_of_costs_is_learned_and_the_long_ones_weigh_more_than_the_mean() {
    // arrange: one response in five is long
    let mut costs = CostTable::default();
    let keys = CostKeys::new(1, 2, None);
    for number in 0..100_u64 {
        let events = if number % 5 == 0 { 400 } else { 10 };
        costs.record(keys, declared(0), events);
    }

    // act
    let estimate = costs.estimate(keys, declared(0));

    // assert
    assert!(
        is_near(estimate.median, 10.0) && is_near(estimate.high, 400.0),
        "{estimate:?}"
    );
    let mean = 0.2 * 400.0 + 0.8 * 10.0;
    assert!(estimate.planned() > mean);
}

/// The length of responses to a prompt part changes by 40 times when its text is changed.
#[test]
fn cost_of_a_prompt_part_follows_a_change() {
    // arrange
    let mut costs = CostTable::default();
    let part = CostKeys::new(1, 2, Some(3));
    let other = CostKeys::new(1, 2, Some(4));
    let record = |costs: &mut CostTable, keys, events, count| {
        for _ in 0..count {
            costs.record(keys, declared(0), events);
        }
    };
    record(&mut costs, part, 10, 200);
    record(&mut costs, other, 10, 200);

    // act
    record(&mut costs, part, 400, 18);
    let changed = costs.estimate(part, declared(0));
    let unchanged = costs.estimate(other, declared(0));

    // assert
    assert!(is_near(changed.median, 400.0), "{changed:?}");
    assert!(is_near(unchanged.median, 10.0), "{unchanged:?}");
}

/// Estimates are right at the median but often far off.
#[test]
fn good_declarations_are_used_and_bad_ones_are_ignored() {
    // arrange: responses of 10 to 400 events
    let mut costs = CostTable::default();
    let (good, bad) = (CostKeys::new(1, 2, None), CostKeys::new(1, 3, None));
    for number in 0..100_u64 {
        let events = 10 * (1 + number * 7 % 40);
        let output = u32::try_from(events).expect("small");
        costs.record(good, declared(output), events);
        let unrelated = 1 + u32::try_from(number * 13 % 40).expect("small") * 10;
        costs.record(bad, declared(unrelated), events);
    }

    // act
    let short = costs.estimate(good, declared(20));
    let long = costs.estimate(good, declared(400));
    let by_length = [
        costs.estimate(bad, declared(1)),
        costs.estimate(bad, declared(400)),
    ];

    // assert
    assert!(is_near(short.median, 20.0) && is_near(long.median, 400.0));
    assert_eq!(by_length[0], by_length[1]);
}

/// A workspace that declares a tenth of what it needs would get fast servers before others.
#[test]
fn workspace_that_declares_too_little_gains_nothing() {
    // arrange
    let mut costs = CostTable::default();
    let (honest, liar, new) = (
        CostKeys::new(1, 2, None),
        CostKeys::new(1, 3, None),
        CostKeys::new(1, 4, None),
    );
    for _ in 0..40 {
        costs.record(honest, declared(200), 200);
        costs.record(liar, declared(20), 200);
    }

    // act
    let honest = costs.estimate(honest, declared(200));
    let liar = costs.estimate(liar, declared(20));
    let before_its_first_responses = costs.estimate(new, declared(1));

    // assert
    assert!(
        liar.planned() >= honest.planned() * 0.99,
        "{liar:?} {honest:?}"
    );
    assert!(before_its_first_responses.planned() >= honest.planned() * 0.8);
}

/// Headers of callers may hold anything.
#[test]
fn malformed_declarations_count_as_absent() {
    // arrange
    let parse = DeclaredCost::parse;
    let cost = |prompt, own_part, output| DeclaredCost {
        prompt,
        own_part,
        output,
    };

    // act and assert
    assert_eq!(parse(Some("540,400"), None, ""), cost(540, 540, 400));
    assert_eq!(
        parse(Some("540,400"), Some("90"), "a:500,b:40"),
        cost(540, 40, 90)
    );
    assert_eq!(parse(None, None, "a:500,b:40"), cost(540, 40, 0));
    assert_eq!(
        parse(Some("-1,99999999999999999999"), Some("x"), "a:,:,b"),
        cost(0, 0, 0)
    );
    let many = vec!["a:9000000"; 900].join(",");
    assert_eq!(parse(None, None, &many).prompt, 10_000_000);
}

/// One thing that a VM learns, at a time in milliseconds.
#[derive(Clone, Debug)]
enum LoadEvent {
    Statement(u32, String, u32),
    Pace(u32, u64, u64),
    Report(u32, u64),
    Forget(u32),
}

fn load_event() -> impl Strategy<Value = LoadEvent> {
    let figure = prop_oneof![
        (0..12_u32).prop_map(|figure| figure.to_string()),
        (0..4000_u32).prop_map(|figure| figure.to_string()),
        Just("-3".to_owned()),
        Just("NaN".to_owned()),
        Just("1e308".to_owned()),
        Just(String::new()),
    ];
    let text = prop::collection::vec(figure, 0..6).prop_map(|figures| figures.join(","));
    prop_oneof![
        (0..4_u32, text, 0..20_u32)
            .prop_map(|(key, text, own)| LoadEvent::Statement(key, text, own)),
        (0..4_u32, any::<u64>(), any::<u64>())
            .prop_map(|(key, events, micros)| LoadEvent::Pace(key, events, micros)),
        (0..4_u32, any::<u64>()).prop_map(|(key, micros)| LoadEvent::Report(key, micros)),
        (0..4_u32).prop_map(LoadEvent::Forget),
    ]
}

proptest! {
    /// Guards against estimates that overflow or aren't finite, and against requests that count twice, whatever servers
    /// state and other VMs report, in any order.
    #[test]
    fn any_statements_and_reports_leave_plausible_estimates(
        events in prop::collection::vec((load_event(), 0..400_u64), 1..60),
        reported in 0..20_u32,
        own in 0..20_u32,
    ) {
        // arrange
        let mut now = Instant::now();
        let mut table = table(&[1.0, 1.0], now);
        for (event, pause) in events {
            now += Duration::from_millis(pause);

            // act
            match event {
                LoadEvent::Statement(key, text, own) => {
                    table.record(process(key), SERVICE, read(&text, now).statement, own);
                }
                LoadEvent::Pace(key, events, micros) => {
                    let elapsed = Duration::from_micros(micros);
                    table.record_pace(process(key), SERVICE, PaceSample { events, elapsed }, now);
                }
                LoadEvent::Report(key, micros) => {
                    let interval = Duration::from_micros(micros);
                    let speed = ServerSpeed { process: process(key), interval };
                    table.record_reported(SERVICE, speed);
                }
                LoadEvent::Forget(key) => table.retain(|process| process.0 != key || key == 0),
            }

            // assert
            for key in 0..4 {
                let query = OutlookQuery { reported, own, ..query(key, 100.0) };
                let outlook = outlook(&table, query, now);
                prop_assert!(outlook.first <= outlook.last);
                prop_assert!(outlook.last <= Duration::from_secs(3600));
                prop_assert!(outlook.unreported <= 20_000 + own);
            }
            prop_assert!(table.len() <= 4);
        }
    }
}

/// Returns the median speed that a service's estimates are based on, seen through a process that isn't known.
fn unknown_server(table: &LoadTable, now: Instant) -> Option<ServerOutlook> {
    table.outlook(&query(99, 100.0), now)
}

proptest! {
    /// The active flag and the median of a service are kept rather than derived for each request. Guards against ones
    /// that differ from what the known processes give, after any observations, restarts and removals.
    #[test]
    fn kept_median_and_flag_follow_the_known_processes(
        changes in prop::collection::vec((0..4_u32, 1..4_u64, 0..4_u8, 1..100_u64), 1..60),
    ) {
        // arrange
        let now = Instant::now();
        let mut table = LoadTable::default();
        let mut stating: Vec<ProcessKey> = Vec::new();
        for (key, start, change, interval_ms) in changes {
            let process = (key, start);
            let is_new = table.service_of(process).is_none();

            // act
            match change {
                0 => {
                    table.record(process, SERVICE, statement(None, Some(1.0), now), 0);
                }
                1 | 2 => {
                    let elapsed = Duration::from_millis(interval_ms);
                    table.record_pace(process, SERVICE, PaceSample { events: 1, elapsed }, now);
                }
                _ => table.retain(|known| known.0 != key),
            }

            // assert
            match change {
                3 => stating.retain(|known| known.0 != key),
                // A new process replaces the earlier ones of its server.
                _ if is_new => stating.retain(|known| known.0 != key || known.1 > start),
                _ => {}
            }
            if change == 0 {
                stating.push(process);
            }
            prop_assert_eq!(table.is_active(SERVICE), !stating.is_empty());
            prop_assert_eq!(table.is_any_active(), !stating.is_empty());
            let speeds = table.clone().next_speeds(usize::MAX);
            let mut intervals: Vec<Duration> = speeds.iter().map(|speed| speed.interval).collect();
            intervals.sort_unstable();
            let mut expected = LoadTable::default();
            expected.record((0, 1), SERVICE, statement(None, Some(1.0), now), 0);
            if let Some(&median) = intervals.get(intervals.len() / 2) {
                let reported = ServerSpeed { process: (0, 1), interval: median };
                expected.record_reported(SERVICE, reported);
            }
            if table.is_active(SERVICE) {
                prop_assert_eq!(unknown_server(&table, now), unknown_server(&expected, now));
            }
        }
    }
}

/// Reads prompts at 10 tokens in a millisecond, after 50 ms.
fn record_prompts(table: &mut LoadTable, tokens: impl Iterator<Item = u32>, now: Instant) {
    for tokens in tokens {
        let delay = Duration::from_millis(u64::from(50 + tokens / 10));
        record_declared(table, tokens, delay, now);
    }
}

fn record_declared(table: &mut LoadTable, tokens: u32, delay: Duration, now: Instant) {
    let first = FirstEvent {
        declared: declared_prompt(tokens),
        prompt: None,
        delay,
    };
    table.record_first_event(process(0), SERVICE, first, now);
}

fn declared_prompt(tokens: u32) -> DeclaredCost {
    DeclaredCost {
        prompt: tokens,
        own_part: tokens,
        output: 0,
    }
}

fn first_ms(table: &LoadTable, tokens: u32, now: Instant) -> u128 {
    let query = OutlookQuery {
        declared: declared_prompt(tokens),
        ..query(0, 10.0)
    };
    outlook(table, query, now).first.as_millis()
}

/// On earlier code, one request that declared 10,000,000 tokens hid from all requests of the service that long prompts
/// take long to read.
#[test]
fn wrong_declarations_do_not_change_the_time_to_read_a_prompt() {
    // arrange
    let now = Instant::now();
    let mut table = table(&[1.0], now);
    record_prompts(
        &mut table,
        (0..40).map(|number| 200 * (1 + number % 10)),
        now,
    );
    let before = first_ms(&table, 2000, now);

    // act
    for tokens in [10_000_000, 200_001, 150_000] {
        record_declared(&mut table, tokens, Duration::from_millis(50), now);
    }
    let after = first_ms(&table, 2000, now);

    // assert
    assert!((245..=255).contains(&before), "{before} ms");
    assert_eq!(after, before);
}

/// A service may get prompts that are fifty times as long for good.
#[test]
fn longer_prompts_are_learned_once_they_are_usual() {
    // arrange
    let now = Instant::now();
    let mut table = table(&[1.0], now);
    record_prompts(
        &mut table,
        (0..40).map(|number| 200 * (1 + number % 10)),
        now,
    );

    // act
    record_prompts(
        &mut table,
        (0..200).map(|number| 10_000 * (1 + number % 10)),
        now,
    );
    let learned = first_ms(&table, 80_000, now);

    // assert
    assert!((7900..=8200).contains(&learned), "{learned} ms");
}

/// On earlier code, a caller that takes 20 ms for each event had its server recorded as four times as slow, unless it
/// paused for more than 100 ms.
#[test]
fn reads_of_slow_callers_do_not_show_the_speed_of_a_server() {
    // arrange
    let now = Instant::now();
    let samples = |pause: Duration| {
        let mut clock = None;
        let events = (0_u32..40).filter_map(|event| {
            let at = now + (EVENT + pause) * event;
            let kept = clock.and_then(|clock: EventClock| clock.after_pause(pause));
            let mut current = kept.unwrap_or_else(|| EventClock::start(at, u64::from(event)));
            let sample = current.sample(at, u64::from(event));
            clock = Some(current);
            sample
        });
        events.count()
    };

    // act
    let (fast, slow) = (
        samples(Duration::from_millis(1)),
        samples(Duration::from_millis(20)),
    );

    // assert
    assert!(fast >= 4 && slow == 0, "{fast} and {slow} samples");
}

/// On earlier code, one caller that sent many different prompts replaced what was learned of all other workspaces.
#[test]
fn many_prompts_of_one_caller_leave_the_costs_of_other_workspaces() {
    // arrange
    let mut costs = CostTable::default();
    let known = CostKeys::new(1, 2, None);
    for _ in 0..20 {
        costs.record(known, DeclaredCost::default(), 400);
    }

    // act
    for part in 0..2000 {
        let keys = CostKeys::new(3, 4, Some(part));
        costs.record(keys, DeclaredCost::default(), 10);
    }

    // assert
    let estimate = costs.estimate(known, DeclaredCost::default());
    assert!(is_near(estimate.median, 400.0), "{estimate:?}");
    assert!(costs.len() <= 512);
}
