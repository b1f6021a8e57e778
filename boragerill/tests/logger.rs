//! Format of the log lines, limits on their volume, and logging that never blocks.

use std::{
    io::Write,
    sync::mpsc::{
        channel,
        Sender, //
    },
    time::Duration, //
};

use boragerill::logger::{
    write_lines,
    LineLogger,
    LogLimits, //
};
use log::{
    Level,
    LevelFilter,
    Log,
    Record, //
};
use serde_json::Value;

fn log_line(logger: &LineLogger, level: Level, text: &str) {
    let fields = [("request", "r-1"), ("cause", "said \"no\"")];
    logger.log(
        &Record::builder()
            .level(level)
            .target("boragerill_fleet::relay")
            .key_values(&fields)
            .args(format_args!("{text}"))
            .build(),
    );
}

#[test]
fn line_is_one_json_object_with_all_fields() {
    // arrange
    let (logger, queue) = LineLogger::new(LogLimits::default(), LevelFilter::Info);

    // act
    log_line(&logger, Level::Info, "request refused");
    drop(logger);
    let mut output = Vec::new();
    write_lines(&queue, &mut output);

    // assert
    let line: Value = serde_json::from_slice(&output).expect("one JSON line");
    assert_eq!(line["event"], "request refused");
    assert_eq!(line["module"], "relay");
    assert_eq!(line["request"], "r-1");
    assert_eq!(line["cause"], "said \"no\"");
}

#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    // arrange
    let limits = LogLimits {
        per_second: 50,
        ..Default::default()
    };
    let (logger, queue) = LineLogger::new(limits, LevelFilter::Info);

    // act
    for _ in 0..500 {
        log_line(&logger, Level::Info, "busy");
    }
    let dropped = logger.dropped();
    log_line(&logger, Level::Warn, "trouble");
    drop(logger);
    let mut output = Vec::new();
    write_lines(&queue, &mut output);

    // assert: warnings have a limit of their own, and the warning reports the number of dropped lines
    let text = String::from_utf8(output).expect("text");
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    assert_eq!(dropped, 450);
    assert_eq!(lines.len(), 51);
    assert_eq!(lines[50]["lines_dropped"], 450);
}

/// Output that blocks forever on the first write, and signals that write.
struct StalledOutput {
    started: Sender<()>,
}

impl Write for StalledOutput {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        self.started.send(()).expect("test waits for the write");
        loop {
            std::thread::sleep(Duration::from_secs(3600));
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn stalled_output_does_not_block_callers() {
    // arrange
    let limits = LogLimits {
        queue: 16,
        per_second: 1_000_000,
    };
    let (logger, queue) = LineLogger::new(limits, LevelFilter::Info);
    let (started, write_started) = channel();
    std::thread::spawn(move || write_lines(&queue, &mut StalledOutput { started }));
    log_line(&logger, Level::Info, "first");
    write_started.recv().expect("writer thread runs");

    // act: would not return if logging waited for the output
    for _ in 0..1000 {
        log_line(&logger, Level::Info, "busy");
    }

    // assert
    assert!(logger.dropped() > 900, "{}", logger.dropped());
}

#[test]
fn lines_below_the_level_are_omitted() {
    // arrange
    let (logger, queue) = LineLogger::new(LogLimits::default(), LevelFilter::Warn);

    // act
    log_line(&logger, Level::Info, "calm");
    drop(logger);
    let mut output = Vec::new();
    write_lines(&queue, &mut output);

    // assert
    assert!(output.is_empty());
}
