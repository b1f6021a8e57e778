//! A machine is cut off while another one goes on with its batch jobs, whose client then ends them.

use std::{
    collections::HashMap,
    path::Path,
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    fleet::{
        batch_route, config, describe, job_call, stream_route, submission, Fleet, Record, RIEGO_EBRO, SERVICE, ZONES,
    },
    http::{call, header},
    json::Json,
    links::Links,
    server::{record_runs, Output, Server},
    store::Store,
    wire,
};

/// Front machines; the first one is cut off.
const FRONTS: [&str; 5] = [ZONES[0], ZONES[1], ZONES[2], ZONES[0], ZONES[1]];

/// Length of the cut, as the site has it for single machines.
const CUT: Duration = Duration::from_millis(5500);

/// Time after a disruption from which a machine is in touch again, and one second.
const CONTACT: Duration = Duration::from_secs(4);

const JOBS: usize = 4;
const ITEMS: usize = 2;

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::create(folder);
    let store = Store::start();
    store.write("config", "main", config(7, vec![stream_route("alarm", false, 1), batch_route()]));
    let runs: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let servers: Vec<_> = (0..3)
        .map(|index| {
            let (id, runs) = (format!("i-{index}"), runs.clone());
            Server::start((&id, ZONES[index], SERVICE), &store, Duration::from_secs(5), move |request| {
                let item = header(&request.headers, wire::name("id")).unwrap_or_default().to_owned();
                let mut runs = runs.lock().unwrap();
                let run = runs.entry(item.clone()).or_default();
                *run += 1;
                // The second item of each job runs slowly at first: 15 s at the first server, 0.1 s at the next one.
                match item.ends_with("02") {
                    true if *run == 1 => Output { events: 15, pause: Duration::from_secs(1) },
                    true => Output { events: 15, pause: Duration::from_millis(8) },
                    false => Output { events: 5, pause: Duration::from_millis(8) },
                }
            })
        })
        .collect();
    let links = Arc::new(Links::default());
    let address = store.address;
    let fleet =
        Fleet::launch_behind(address, RIEGO_EBRO, &FRONTS, true, |hosts, port| Some(links.start(hosts, port, address)));
    fleet.wait_ready(&record);
    sleep(Duration::from_secs(1));

    let jobs: Vec<String> = (1..=JOBS).map(|number| format!("7c41e09b52d6{number:04x}")).collect();
    for job in &jobs {
        let accepted = call(fleet.fronts[0].callers, &submission(job, ITEMS), Duration::from_secs(4));
        record.write(&format!("job {job} of {ITEMS} items at front-1: {}", describe(&accepted)));
    }
    let read = |vm: usize, job: &str, after: usize| {
        let target = format!("/lots/{job}?after={after}");
        let mut request = job_call("GET", &target);
        request.headers.retain(|header| header.0 != wire::name("wait"));
        let response = call(fleet.fronts[vm].callers, &request, Duration::from_secs(3));
        record.write(&format!("GET {target} at front-{}: {}", vm + 1, describe(&response)));
        let page = Json::parse(&response.body);
        (response.status, page.get("results").as_list().len())
    };
    sleep(Duration::from_secs(3));
    let cut = Instant::now();
    if has_trouble {
        links.set_cut(true);
        record.write("front-1 is cut off from the other machines and the store");
    }
    let until = cut + Duration::from_secs(if has_trouble { 4 } else { 20 });
    let mut whole: Vec<&String> = Vec::new();
    while whole.len() < JOBS && Instant::now() < until {
        sleep(Duration::from_millis(300));
        whole = jobs.iter().filter(|job| read(1, job, 0).1 == ITEMS).collect();
    }
    for job in &whole {
        let ended = call(fleet.fronts[2].callers, &job_call("DELETE", &format!("/lots/{job}")), Duration::from_secs(3));
        record.write(&format!("DELETE /lots/{job} at front-3: {}", describe(&ended)));
    }
    if whole.is_empty() {
        crate::fleet::fail_to_run("no job was listed whole in time");
    }
    sleep(CUT.saturating_sub(cut.elapsed()));
    if has_trouble {
        links.set_cut(false);
        record.write("the cut has ended");
    }
    sleep(CONTACT);
    let mut lost = 0;
    for _ in 0..3 {
        for job in &whole {
            let (status, results) = read(0, job, 1);
            lost += usize::from(status == 404 || status == 200 && results == 0);
        }
        sleep(Duration::from_secs(1));
    }
    record_runs(&servers, &record);
    let reads = 3 * whole.len();
    record.write(&format!("{lost} of {reads} reads at front-1 had nothing at a position that had been read before"));
    record.write(if lost > 0 { "LOST is broken" } else { "LOST held" });
    lost > 0
}
