//! All processes are killed at once and started again after a day of ordinary batch jobs. The machines' stand-in ends a process that uses more
//! than its memory and starts it again.

use std::{
    path::Path,
    sync::{atomic::AtomicBool, atomic::Ordering, Arc},
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet::{
        batch_route, config, describe, job_call, stream_request, stream_route, submission, Fleet, Record, DCSC_SERVING,
        SERVICE, ZONES,
    },
    http::call,
    json::Json,
    machine::{broken_machines, Machine},
    server::{record_runs, Output, Server},
    store::Store,
};

/// Batch jobs a second on the sheet.
const JOBS_PER_S: f64 = 1.03;

/// Time for which the fleet has served before it is started again, and that without the disruption.
const SERVED: Duration = Duration::from_secs(24 * 3600);
const SERVED_SHORTLY: Duration = Duration::from_secs(600);

/// Items of a job, as on the sheet.
const ITEMS: usize = 10;
const JOB: &str = "7c41e09b52d6a3f8";

/// Kind of the objects that the program creates for jobs that it accepts.
const JOB_KIND: &str = "batch-jobs";

/// Time for which the restarted fleet is watched.
const WATCHED: Duration = Duration::from_secs(40);

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::create(folder);
    let store = Store::start();
    store.write("config", "main", config(7, vec![stream_route("alarm", false, 1), batch_route()]));
    let output = |_: &_| Output { events: 10, pause: Duration::from_millis(5) };
    let servers: Vec<_> = (0..6)
        .map(|index| {
            let id = format!("i-{index}");
            Server::start((&id, ZONES[index % 3], SERVICE), &store, Duration::from_secs(5), output)
        })
        .collect();

    let fleet = Fleet::start(&store, &record, DCSC_SERVING, &ZONES);
    let accepted = call(fleet.fronts[0].callers, &submission(JOB, ITEMS), Duration::from_secs(4));
    record.write(&format!("job {JOB} of {ITEMS} items: {}", describe(&accepted)));
    sleep(Duration::from_secs(2));
    drop(fleet);
    record.write("all processes are killed");
    let Some(manifest) = store.read(JOB_KIND, JOB) else {
        crate::fleet::fail_to_run("the program has not stored the job as expected");
    };
    let served = if has_trouble { SERVED } else { SERVED_SHORTLY };
    let jobs = old_jobs(&manifest, served);
    record.write(&format!(
        "the store holds {} such jobs of the last {served:?}, each as the program stored it",
        jobs.len()
    ));
    store.add_old(JOB_KIND, jobs);

    let fleet = Fleet::launch(&store, DCSC_SERVING, &ZONES, false);
    record.write("all machines are started again");
    let stop = Arc::new(AtomicBool::new(false));
    let machines = Machine::watch_all(&fleet, DCSC_SERVING, &stop, &record);
    let begin = Instant::now();
    let (mut sent, mut cut) = (0, 0);
    sleep(Duration::from_secs(3));
    while begin.elapsed() < WATCHED {
        for vm in &fleet.fronts {
            let id = format!("9c41d07be2a3{sent:04x}");
            sent += 1;
            cut += usize::from(!call(vm.callers, &stream_request("alarm", &id), Duration::from_secs(5)).is_complete);
        }
        sleep(Duration::from_millis(200));
    }
    record.write(&format!("{cut} of {sent} ordinary streams got no complete answer from 3 s after the start on"));
    let read = job_call("GET", &format!("/lots/{JOB}?after=0"));
    record
        .write(&format!("the first job: {}", describe(&call(fleet.fronts[0].callers, &read, Duration::from_secs(3)))));
    stop.store(true, Ordering::SeqCst);
    let ends: Vec<u64> = machines.iter().map(Machine::ends).collect();
    machines.into_iter().for_each(|machine| machine.finish(&record));
    let is_broken = broken_machines(&ends);
    record_runs(&servers, &record);
    record.write(if is_broken { "Fault is broken" } else { "Fault held" });
    is_broken
}

/// Returns the manifests of the jobs that were accepted in a time until now: copies of one, with ids and times of their own.
fn old_jobs(manifest: &Json, served: Duration) -> Vec<(String, Json)> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let count = (served.as_secs_f64() * JOBS_PER_S) as u64;
    let jobs = (0..count).map(|number| {
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let age = served.mul_f64((count - number) as f64 / count as f64);
        let submitted = now.saturating_sub(age).as_millis() as u64;
        let Json::Object(fields) = manifest else {
            crate::fleet::fail_to_run("the program has not stored the job as expected");
        };
        let fields = fields.iter().map(|(name, value)| match value.as_u64() {
            // The time of the submission is the only number of this size.
            Some(number) if (1_600_000_000_000..2_600_000_000_000).contains(&number) => {
                (name.clone(), Json::number(submitted))
            }
            _ => (name.clone(), value.clone()),
        });
        (id, Json::Object(fields.collect()))
    });
    jobs.collect()
}
