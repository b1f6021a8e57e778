//! Rendering of metrics in Prometheus' text format.

use boragerill::meter::MeterRecorder;
use metrics::{
    counter,
    gauge,
    histogram,
    with_local_recorder, //
};

#[test]
fn metrics_are_rendered_in_prometheus_format() {
    // arrange
    let recorder = MeterRecorder::default();

    // act
    with_local_recorder(&recorder, || {
        counter!("requests_total", "status" => "200").increment(2);
        counter!("requests_total", "status" => "a \"b\"").increment(1);
        gauge!("servers").set(9.0);
        gauge!("servers").decrement(1.5);
        histogram!("answer_head_seconds").record(0.004);
        histogram!("answer_head_seconds").record(60.0);
    });

    // assert
    let text = recorder.render();
    let expected = [
        "# TYPE requests_total counter",
        "requests_total{status=\"200\"} 2",
        "requests_total{status=\"a \\\"b\\\"\"} 1",
        "# TYPE servers gauge",
        "servers 7.5",
        "# TYPE answer_head_seconds histogram",
        "answer_head_seconds_bucket{le=\"0.002\"} 0",
        "answer_head_seconds_bucket{le=\"0.005\"} 1",
        "answer_head_seconds_bucket{le=\"20\"} 1",
        "answer_head_seconds_bucket{le=\"+Inf\"} 2",
        "answer_head_seconds_sum 60.004",
        "answer_head_seconds_count 2",
    ];
    let lines: Vec<&str> = text.lines().collect();
    for line in expected {
        assert!(lines.contains(&line), "{line} in\n{text}");
    }
    assert_eq!(
        lines
            .iter()
            .filter(|line| line.starts_with("# TYPE"))
            .count(),
        3
    );
}
