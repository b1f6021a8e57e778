//! The operator removes the route of a batch job whose results are complete, and the job is read again.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    fleet::{
        batch_route, config, describe, job_call, stream_route, submission, Fleet, Record, CONFIG_APPLY, RIEGO_EBRO,
        SERVICE, ZONES,
    },
    http::{call, Response},
    json::Json,
    server::{record_runs, whole_text, Output, Server},
    store::Store,
    wire,
};

const ITEMS: usize = 10;
const EVENTS: u64 = 20;
const JOB: &str = "7c41e09b52d6a3f8";

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::create(folder);
    let store = Store::start();
    let streams = || vec![stream_route("alarm", false, 1), stream_route("state", true, 2)];
    store.write("config", "main", config(7, [streams(), vec![batch_route()]].concat()));
    let output = |_: &_| Output { events: EVENTS, pause: Duration::from_millis(5) };
    let servers: Vec<_> = (0..3)
        .map(|index| {
            let id = format!("i-{index}");
            Server::start((&id, ZONES[index], SERVICE), &store, Duration::from_secs(5), output)
        })
        .collect();
    let fleet = Fleet::start(&store, &record, RIEGO_EBRO, &ZONES);

    let accepted = call(fleet.fronts[0].callers, &submission(JOB, ITEMS), Duration::from_secs(4));
    let accepted_at = Instant::now();
    record.write(&format!("job {JOB} of {ITEMS} items at front-1: {}", describe(&accepted)));
    let read = |vm: usize| {
        let response =
            call(fleet.fronts[vm].callers, &job_call("GET", &format!("/lots/{JOB}?after=0")), Duration::from_secs(3));
        record.write(&format!("GET /lots/{JOB}?after=0 at front-{}: {}", vm + 1, describe(&response)));
        response
    };
    let until = Instant::now() + Duration::from_secs(20);
    while !is_whole(&read(1)) {
        if accepted.status != 202 || Instant::now() > until {
            crate::fleet::fail_to_run("the job wasn't completed before the disruption");
        }
        sleep(Duration::from_millis(300));
    }
    record.write("all results have been read");

    let routes = match has_trouble {
        true => streams(),
        false => [streams(), vec![batch_route()]].concat(),
    };
    store.write("config", "main", config(9, routes));
    record.write(match has_trouble {
        true => "version 9 is acknowledged: the route of batch jobs is removed",
        false => "version 9 is acknowledged: the same routes",
    });
    sleep(CONFIG_APPLY + Duration::from_secs(1));

    let mut lost = 0;
    for round in 1..=5 {
        for vm in 0..3 {
            lost += usize::from(!is_whole(&read(vm)));
        }
        record.write(&format!("round {round}: {lost} reads without the results so far"));
        sleep(Duration::from_millis(500));
    }
    // Clients may send an id with each request.
    let mut with_id = job_call("GET", &format!("/lots/{JOB}?after=0"));
    with_id.headers.push((wire::name("id").into(), "9c41d07be2a35f68".into()));
    for front in &fleet.fronts {
        let response = call(front.callers, &with_id, Duration::from_secs(3));
        record.write(&format!("the same with an id at {}: {}", front.name, describe(&response)));
        lost += usize::from(!is_whole(&response));
    }
    record_runs(&servers, &record);
    let age = accepted_at.elapsed().as_secs();
    record.write(&format!("{age} s after its 202, {lost} of 18 reads got no results of the job"));
    record.write(if lost > 0 { "LOST is broken" } else { "LOST held" });
    lost > 0
}

/// Returns whether a response holds all results.
fn is_whole(response: &Response) -> bool {
    let page = Json::parse(&response.body);
    let results = page.get("results").as_list();
    response.status == 200
        && results.len() == ITEMS
        && results.iter().all(|result| result.get("text").as_text() == whole_text(EVENTS))
}
