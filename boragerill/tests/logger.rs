//! Logs are JSON lines, bounded, and never hold anything up.

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
fn ten_times_the_usual_load_stays_bounded_and_drops_are_counted() {
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

    // assert: warnings have room of their own and tell how many lines are missing
    let text = String::from_utf8(output).expect("text");
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    assert_eq!(dropped, 450);
    assert_eq!(lines.len(), 51);
    assert_eq!(lines[50]["lines_dropped"], 450);
}

/// Output that nobody reads; says when a line has come to stand still.
struct StalledOutput {
    stalled: Sender<()>,
}

impl Write for StalledOutput {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        self.stalled.send(()).expect("test runs");
        loop {
            std::thread::sleep(Duration::from_secs(3600));
        }
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn stalled_reader_blocks_nobody() {
    // arrange
    let limits = LogLimits {
        queue: 16,
        per_second: 1_000_000,
    };
    let (logger, queue) = LineLogger::new(limits, LevelFilter::Info);
    let (stalled, is_stalled) = channel();
    std::thread::spawn(move || write_lines(&queue, &mut StalledOutput { stalled }));
    log_line(&logger, Level::Info, "first");
    is_stalled.recv().expect("writer runs");

    // act: this would never end if a line waited for the reader
    for _ in 0..1000 {
        log_line(&logger, Level::Info, "busy");
    }

    // assert
    assert!(logger.dropped() > 900, "{}", logger.dropped());
}

#[test]
fn lines_below_the_level_are_left_out() {
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
