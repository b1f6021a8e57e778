//! Error messages and help texts for operators, and exit codes for scripts.

use std::{
    io::Write,
    net::TcpListener,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Command,
        Output,
        Stdio, //
    },
};

use insta::assert_snapshot;

/// Returns the directory of the built binaries.
fn binary_directory() -> PathBuf {
    let own = std::env::current_exe().expect("path of the test");
    own.parent()
        .and_then(|deps| deps.parent())
        .expect("build directory")
        .to_path_buf()
}

/// Writes a temporary file and returns its path.
fn write_temporary(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("boragerill-texts-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("file");
    path
}

/// Runs a program until it exits, with `input` as its standard input.
fn run(program: &str, arguments: &[&str], input: &str) -> Output {
    let mut command = Command::new(binary_directory().join(program));
    command
        .args(arguments)
        .env("RUST_LOG", "error")
        .env_remove("BORAGERILL_PLATFORM");
    let piped = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = piped.spawn().expect("the binaries are built");
    child
        .stdin
        .take()
        .expect("input")
        .write_all(input.as_bytes())
        .expect("input is read");
    child.wait_with_output().expect("output")
}

/// Returns the exit code and the error output, with `FILE` in place of the file's path.
fn failure(output: &Output, path: &Path) -> String {
    let text = String::from_utf8_lossy(&output.stderr);
    let text = text.replace(&path.to_string_lossy().into_owned(), "FILE");
    format!("{}: {}", output.status.code().unwrap_or(-1), text.trim())
}

/// Runs a program with `--check` on a settings file; returns the exit code and the error output.
fn check_settings(program: &str, text: &str) -> String {
    let path = write_temporary(&format!("{program}.json"), text);
    let output = run(
        program,
        &["--settings", &path.to_string_lossy(), "--check"],
        "",
    );
    failure(&output, &path)
}

/// Validates a resource file with boragerillctl; returns the exit code and the error output.
fn validate(name: &str, text: &str) -> String {
    let path = write_temporary(name, text);
    let output = run(
        "boragerillctl",
        &["validate", "-f", &path.to_string_lossy()],
        "",
    );
    failure(&output, &path)
}

#[test]
fn bad_settings_name_the_field_and_its_bound() {
    // Arrange.
    let valid = r#""vm": "vm-0", "domain": "a", "platform": "http://127.0.0.1:1""#;

    // Act.
    let too_large = check_settings(
        "boragerill-control",
        &format!("{{{valid}, \"port\": 70000}}"),
    );
    let unknown = check_settings("boragerill-control", &format!("{{{valid}, \"prot\": 1}}"));
    let missing = check_settings("boragerill-control", r#"{"vm": "vm-0", "domain": "a"}"#);
    let mistyped = check_settings(
        "boragerill-entry",
        r#"{"vm": 1, "domain": "a", "controls": []}"#,
    );
    let malformed = check_settings("boragerill-batch", "{");
    let fine = check_settings("boragerill-control", &format!("{{{valid}}}"));

    // Assert.
    assert_snapshot!(
        [too_large, unknown, missing, mistyped, malformed, fine].join(
            "
"
        )
    );
}

#[test]
fn bad_resources_name_the_field() {
    // Act.
    let kind = validate(
        "kind.json",
        r#"{"kind": "tenant", "name": "a", "spec": {}}"#,
    );
    let rate = validate(
        "rate.json",
        r#"{"kind": "workspace", "name": "a", "spec": {"rate": -1, "burst": 1}}"#,
    );
    let name = validate(
        "name.json",
        r#"{"kind": "workspace", "name": "a b", "spec": {"rate": 1, "burst": 1}}"#,
    );
    let hash = validate(
        "hash.json",
        r#"{"kind": "key", "name": "a", "spec": {"workspace": "w", "hash": "x"}}"#,
    );
    let route = validate(
        "route.json",
        r#"{"kind": "service", "name": "a", "spec": {"servers": [], "routes": [{"path": "/v1/batches/x"}]}}"#,
    );
    let shape = validate("shape.json", r#"{"kind": "key"}"#);

    // Assert.
    assert_snapshot!([kind, rate, name, hash, route, shape].join(
        "
"
    ));
}

#[test]
fn failures_at_run_time_are_one_clear_line() {
    // Arrange: a port in use for the control process; nothing listens at the platform's address.
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let used = listener.local_addr().expect("address").port();
    let settings = format!(
        r#"{{"vm": "vm-0", "domain": "a", "platform": "http://127.0.0.1:1", "port": {used}, "http_port": 1}}"#
    );
    let path = write_temporary("used.json", &settings);

    // Act.
    let unreachable = run(
        "boragerillctl",
        &["--platform", "http://127.0.0.1:1", "get", "workspace"],
        "",
    );
    let bound = run(
        "boragerill-control",
        &["--settings", &path.to_string_lossy()],
        "",
    );
    let bound_text = String::from_utf8_lossy(&bound.stderr).replace(&used.to_string(), "PORT");
    let unknown = run(
        "boragerillctl",
        &["--platform", "http://127.0.0.1:1", "get", "tenant"],
        "",
    );

    // Assert.
    assert_eq!(bound.status.code(), Some(1));
    assert_eq!(bound_text.lines().count(), 1);
    assert!(bound_text.contains("Listen at 127.0.0.1:PORT: unreachable: Address already in use"));
    assert_snapshot!([failure(&unreachable, &path), failure(&unknown, &path)].join("\n"));
}

#[test]
fn help_and_explanations() {
    // Act.
    let help = run("boragerill-entry", &["--help"], "");
    let explanation = run("boragerillctl", &["explain", "workspace"], "");
    let hash = run("boragerillctl", &["hash"], "a-key\n");

    // Assert.
    let text = [help.stdout, explanation.stdout].concat();
    assert_snapshot!(String::from_utf8_lossy(&text));
    assert_eq!(hash.stdout.len(), 65);
}
