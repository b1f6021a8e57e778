//! Process of the plain service's stand-in.

use std::process::ExitCode;

fn main() -> ExitCode {
    standins::launch::launch("standin-service", |server, _| {
        standins::service::mount(server)
    })
}
