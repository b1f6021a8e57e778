//! Process of the platform's stand-in.

use std::process::ExitCode;

fn main() -> ExitCode {
    standins::launch::launch("standin-platform", |server, _| {
        standins::platform::mount(server)
    })
}
