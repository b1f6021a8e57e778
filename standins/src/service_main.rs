//! Stand-in of a plain service.

use std::process::ExitCode;

fn main() -> ExitCode {
    standins::launch::launch("standin-service", |server, _| {
        standins::service::mount(server)
    })
}
