//! A configuration adds a batch route that is public. A job is accepted on it; its results have to be readable.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Deployment, Process, ServerPlan},
    jobs,
    json::{number, text, Json},
    Outcome,
};

const JOB: &str = "7c41e09b52d6a3f8";

/// Items of the job.
const ITEMS: usize = 5;

/// Time after the acceptance from which a job has to be known everywhere.
const SETTLED: Duration = Duration::from_millis(1000);

/// Time after the acceptance within which all items have to be listed.
const FINISHED: Duration = Duration::from_secs(12);

pub fn run(folder: &Path, has_trouble: bool) -> Outcome {
    let machines = [
        ("front-a-1", "a", true),
        ("front-b-1", "b", true),
        ("front-c-1", "c", true),
        ("storage-a-1", "a", false),
    ];
    let deployment = Deployment::new(folder, &machines);
    deployment.write_config(|_| {});
    let zones = ["a", "b", "c"];
    let servers: Vec<ServerPlan> = (0..4)
        .map(|number| ServerPlan::new(number, zones[number % 3], Duration::from_millis(20), 60))
        .collect();
    let _servers: Vec<Process> = servers
        .iter()
        .map(|server| deployment.start_server(server, "v1", Duration::ZERO))
        .collect();
    if !deployment.wait_registered(&servers) {
        return Outcome::NotRun;
    }
    let _processes: Vec<Process> = (0..machines.len())
        .map(|index| deployment.start(index, true))
        .collect();
    if !deployment.wait_ready() {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(2));
    deployment.record.add(format!(
        "the operator adds the batch route /open/, public: {has_trouble}"
    ));
    deployment.write_config(|config| add_route(config, has_trouble));
    // Twice the time within which a configuration has to be in force.
    thread::sleep(Duration::from_secs(4));
    if jobs::submit(&deployment, 0, ("/open/", JOB), ITEMS) != Some(202) {
        return Outcome::NotRun;
    }
    judge(&deployment, Instant::now())
}

fn add_route(config: &mut Json, is_public: bool) {
    *config.field("version") = number(5);
    let Json::List(routes) = config.field("routes") else {
        return;
    };
    let mut added = routes[2].clone();
    *added.field("name") = text("r-open");
    *added.field("path_prefix") = text("/open/");
    *added.field("public") = Json::Bool(is_public);
    routes.push(added);
}

/// Reads the results at all fronts until all are listed.
fn judge(deployment: &Deployment, accepted: Instant) -> Outcome {
    thread::sleep(SETTLED + Duration::from_millis(200));
    let (mut unknown, mut listed) = (0, 0);
    while listed < ITEMS && accepted.elapsed() < FINISHED {
        for machine in 0..3 {
            let Some((status, results)) = jobs::read(deployment, machine, JOB, 0) else {
                continue;
            };
            unknown += usize::from(status == 404);
            listed = listed.max(results.len());
        }
        thread::sleep(Duration::from_millis(500));
    }
    deployment.record.add(format!(
        "{listed} of {ITEMS} results were read, {unknown} reads were answered with 404"
    ));
    match unknown > 0 || listed < ITEMS {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
