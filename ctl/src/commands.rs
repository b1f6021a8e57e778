//! Parses the arguments and runs the commands.

use std::{
    path::PathBuf,
    time::Duration, //
};

use boragerill::{
    error::ServeError,
    keys::{
        hash_key,
        to_hex, //
    },
    kinds::{
        self,
        DECLARED_KINDS, //
    },
    platform::{
        Expected,
        PlatformClient,
        PlatformObject, //
    },
    submit::{
        JobRequest,
        JobSubmission, //
    }, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use pico_args::Arguments;
use serde::Deserialize;
use serde_json::Value;

use crate::{
    explain::explain,
    output::{
        print,
        print_one,
        OutputFormat,
        ResourceView, //
    },
};

/// Text of `--help`.
pub(crate) const HELP: &str = "\
boragerillctl: declares resources and shows their status

Usage: boragerillctl [--platform URL] [--output table|json] COMMAND

Commands:
  validate -f FILE             check resources without writing them
  apply -f FILE [--if-version N]  write resources; N makes the write conditional (0: must not exist)
  get KIND [NAME]              show resources and their status
  watch KIND [NAME]            show resources, then every change; --until STATE exits once a resource
                               is in that state
  delete KIND NAME             delete a resource
  explain KIND                 show the fields of a kind
  hash                         read a key from standard input and print its hash
  submit NAME -f FILE --workspace W --service S --path P [--due-seconds N]
                               submit a batch job; FILE holds one item per line
  cancel NAME                  cancel a batch job

FILE holds one resource {\"kind\", \"name\", \"spec\"} or a list of them. KIND is one of batchjob, key,
service, workspace. BORAGERILL_PLATFORM holds the platform's URL when --platform is absent.

Exit codes: 0 success, 1 the platform failed or refused, 2 bad arguments or an invalid resource.";

/// Maximum wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Failure of a command.
pub(crate) struct CommandFailure {
    /// Exit code of the program.
    pub(crate) code: u8,
    /// Cause, on one line.
    pub(crate) message: String,
}

type CommandResult<T = ()> = Result<T, CommandFailure>;

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ResourceFile {
    kind: CompactString,
    name: CompactString,
    spec: Value,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum ResourceFiles {
    Many(Vec<ResourceFile>),
    One(ResourceFile),
}

/// Parses the arguments and runs the command.
pub(crate) async fn run(mut arguments: Arguments) -> CommandResult {
    let base = arguments
        .opt_value_from_str("--platform")
        .map_err(usage_error)?;
    let base: String = base
        .or_else(|| std::env::var("BORAGERILL_PLATFORM").ok())
        .unwrap_or_default();
    let format = match arguments
        .opt_value_from_str::<_, String>("--output")
        .map_err(usage_error)?
        .as_deref()
    {
        None | Some("table") => OutputFormat::Table,
        Some("json") => OutputFormat::Json,
        Some(other) => {
            return Err(usage_error(format!(
                "--output: {other:?} is neither table nor json"
            )))
        }
    };
    let command = arguments
        .subcommand()
        .map_err(usage_error)?
        .ok_or_else(|| usage_error("a command is required; see --help"))?;
    let platform = || match base.as_str() {
        "" => Err(usage_error("--platform is required")),
        base => Ok(PlatformClient::new(base)),
    };
    match command.as_str() {
        "validate" => validate(arguments),
        "apply" => apply(arguments, platform()?, format).await,
        "get" => get(arguments, platform()?, format).await,
        "watch" => watch(arguments, platform()?, format).await,
        "delete" => delete(arguments, platform()?).await,
        "explain" => explain_kind(arguments),
        "hash" => hash(arguments),
        "submit" => submit(arguments, platform()?).await,
        "cancel" => cancel(arguments, platform()?).await,
        other => Err(usage_error(format!(
            "unknown command {other:?}; see --help"
        ))),
    }
}

fn validate(mut arguments: Arguments) -> CommandResult {
    let resources = read_resources(&mut arguments)?;
    finish(arguments)?;
    println!("{} resources are valid", resources.len());
    Ok(())
}

async fn apply(
    mut arguments: Arguments,
    platform: PlatformClient,
    format: OutputFormat,
) -> CommandResult {
    let resources = read_resources(&mut arguments)?;
    let version: Option<u64> = arguments
        .opt_value_from_str("--if-version")
        .map_err(usage_error)?;
    finish(arguments)?;
    let expected = match version {
        None => Expected::Any,
        Some(0) => Expected::Absent,
        Some(version) => Expected::At(version),
    };
    for resource in resources {
        let (kind, name) = (&resource.kind, &resource.name);
        let receipt = platform
            .put_confirmed(kind, name, expected, "", &resource.spec)
            .await
            .map_err(platform_error)?;
        match format {
            OutputFormat::Table => println!("{kind}/{name} written as version {}", receipt.version),
            OutputFormat::Json => {
                println!(
                    "{}",
                    serde_json::json!({"kind": kind, "name": name, "version": receipt.version})
                );
            }
        }
    }
    Ok(())
}

async fn get(
    mut arguments: Arguments,
    platform: PlatformClient,
    format: OutputFormat,
) -> CommandResult {
    let (kind, name) = read_target(&mut arguments)?;
    finish(arguments)?;
    let views = read_views(&platform, &kind, name.as_deref()).await?;
    print(&views, format);
    Ok(())
}

/// Prints the resources of a kind, then each change, until a resource is in the state that `--until` names.
async fn watch(
    mut arguments: Arguments,
    platform: PlatformClient,
    format: OutputFormat,
) -> CommandResult {
    let until: Option<String> = arguments
        .opt_value_from_str("--until")
        .map_err(usage_error)?;
    let (kind, name) = read_target(&mut arguments)?;
    finish(arguments)?;
    let mut after = platform
        .watch(&[kind.as_str()], 0, Duration::ZERO)
        .await
        .map_or(0, |batch| batch.version);
    let mut views = read_views(&platform, &kind, name.as_deref()).await?;
    print(&views, format);
    while !has_reached_state(&views, until.as_deref()) {
        let batch = match platform
            .watch(&[kind.as_str(), "status"], after, WATCH_WAIT)
            .await
        {
            Ok(batch) => batch,
            Err(ServeError::Compacted(..)) => {
                after = platform
                    .list(&kind, |object| object)
                    .await
                    .map_err(platform_error)?
                    .1;
                continue;
            }
            Err(error) => return Err(platform_error(error)),
        };
        after = batch.version;
        let prefix = format!("{kind}.");
        let changes = batch
            .events
            .iter()
            .filter(|event| !event.deleted)
            .filter_map(|event| {
                let changed = if event.kind == "status" {
                    event.name.strip_prefix(&prefix)?
                } else {
                    &event.name
                };
                name.as_ref()
                    .is_none_or(|name| name == changed)
                    .then(|| CompactString::from(changed))
            });
        let mut names: Vec<CompactString> = changes.collect();
        names.dedup();
        for changed in names {
            views = read_views(&platform, &kind, Some(&changed)).await?;
            views.iter().for_each(|view| print_one(view, format));
        }
    }
    Ok(())
}

fn has_reached_state(views: &[ResourceView], until: Option<&str>) -> bool {
    until.is_some()
        && views
            .iter()
            .any(|view| view.status["state"].as_str() == until)
}

async fn delete(mut arguments: Arguments, platform: PlatformClient) -> CommandResult {
    let (kind, name) = read_target(&mut arguments)?;
    finish(arguments)?;
    let name = name.ok_or_else(|| usage_error("delete: NAME is required"))?;
    platform
        .delete(&kind, &name, Expected::Any)
        .await
        .map_err(platform_error)?;
    println!("{kind}/{name} deleted");
    Ok(())
}

fn explain_kind(mut arguments: Arguments) -> CommandResult {
    let (kind, _) = read_target(&mut arguments)?;
    finish(arguments)?;
    let definition = DECLARED_KINDS
        .iter()
        .find(|entry| entry.0 == kind)
        .map(|entry| entry.1);
    let text = definition
        .and_then(explain)
        .ok_or_else(|| unknown_kind(&kind))?;
    print!("{text}");
    Ok(())
}

fn hash(arguments: Arguments) -> CommandResult {
    finish(arguments)?;
    let mut key = String::new();
    std::io::stdin().read_line(&mut key).map_err(usage_error)?;
    match key.trim() {
        "" => Err(usage_error("standard input contains no key")),
        key => {
            println!("{}", to_hex(&hash_key(key)));
            Ok(())
        }
    }
}

async fn submit(mut arguments: Arguments, platform: PlatformClient) -> CommandResult {
    let path: PathBuf = arguments.value_from_str("-f").map_err(usage_error)?;
    let request = JobRequest {
        workspace: arguments
            .value_from_str("--workspace")
            .map_err(usage_error)?,
        service: arguments.value_from_str("--service").map_err(usage_error)?,
        path: arguments.value_from_str("--path").map_err(usage_error)?,
        due_seconds: arguments
            .opt_value_from_str("--due-seconds")
            .map_err(usage_error)?
            .unwrap_or(86_400),
        name: arguments.free_from_str().map_err(usage_error)?,
    };
    finish(arguments)?;
    let request = JobRequest {
        name: format_compact!("{}.{}", request.workspace, request.name),
        ..request
    };
    let name = request.name.clone();
    let mut submission =
        JobSubmission::new(platform, request, rand::random()).map_err(submission_error)?;
    let file = std::fs::File::open(&path)
        .map_err(|error| usage_error(format!("{}: {error}", path.display())))?;
    for line in std::io::BufRead::lines(std::io::BufReader::new(file)) {
        let line = line.map_err(|error| usage_error(format!("{}: {error}", path.display())))?;
        submission
            .push_line(line.as_bytes())
            .await
            .map_err(submission_error)?;
    }
    let receipt = submission.finish().await.map_err(submission_error)?;
    let verb = if receipt.found {
        "was accepted before"
    } else {
        "accepted"
    };
    println!("batchjob/{name} {verb}: {} items", receipt.items);
    Ok(())
}

/// Marks a job as cancelled, repeating the conditional write after a conflict with another change.
async fn cancel(mut arguments: Arguments, platform: PlatformClient) -> CommandResult {
    let name: CompactString = arguments.free_from_str().map_err(usage_error)?;
    finish(arguments)?;
    loop {
        let job = platform
            .get("batchjob", &name)
            .await
            .map_err(platform_error)?;
        let mut spec = job.spec;
        spec["cancelled"] = Value::Bool(true);
        match platform
            .put_confirmed("batchjob", &name, Expected::At(job.version), "", &spec)
            .await
        {
            Ok(_) => break,
            Err(ServeError::Conflict(..)) => {}
            Err(error) => return Err(platform_error(error)),
        }
    }
    println!("batchjob/{name} is being cancelled");
    Ok(())
}

/// Reads a resource, or all resources of a kind, with their statuses.
async fn read_views(
    platform: &PlatformClient,
    kind: &str,
    name: Option<&str>,
) -> CommandResult<Vec<ResourceView>> {
    let objects: Vec<PlatformObject> = match name {
        Some(name) => vec![platform.get(kind, name).await.map_err(platform_error)?],
        None => {
            platform
                .list(kind, |object| object)
                .await
                .map_err(platform_error)?
                .0
        }
    };
    let mut views = Vec::with_capacity(objects.len());
    for object in objects {
        let status = match platform
            .get("status", &format!("{kind}.{}", object.name))
            .await
        {
            Ok(status) => status.spec,
            Err(ServeError::Missing(..)) => Value::Null,
            Err(error) => return Err(platform_error(error)),
        };
        views.push(ResourceView { object, status });
    }
    Ok(views)
}

/// Reads the file that `-f` names, and checks each of its resources.
fn read_resources(arguments: &mut Arguments) -> CommandResult<Vec<ResourceFile>> {
    let path: PathBuf = arguments.value_from_str("-f").map_err(usage_error)?;
    let malformed = |cause: String| usage_error(format!("{}: {cause}", path.display()));
    let text = std::fs::read_to_string(&path).map_err(|error| malformed(error.to_string()))?;
    let value: Value = serde_json::from_str(&text).map_err(|error| malformed(error.to_string()))?;
    let files = serde_json::from_value(value).map_err(|_| {
        malformed("is neither a resource with kind, name and spec nor a list of them".to_owned())
    })?;
    let resources = match files {
        ResourceFiles::Many(resources) => resources,
        ResourceFiles::One(resource) => vec![resource],
    };
    for resource in &resources {
        if let Err(violation) = kinds::check(&resource.kind, &resource.name, &resource.spec) {
            let label = format!("{}/{}", resource.kind, resource.name);
            return Err(malformed(format!(
                "{label}: {}: {}",
                violation.field, violation.cause
            )));
        }
    }
    Ok(resources)
}

/// Reads the KIND and the optional NAME from the arguments.
fn read_target(arguments: &mut Arguments) -> CommandResult<(CompactString, Option<CompactString>)> {
    let kind: CompactString = arguments.free_from_str().map_err(usage_error)?;
    if !DECLARED_KINDS.iter().any(|entry| entry.0 == kind) {
        return Err(unknown_kind(&kind));
    }
    Ok((kind, arguments.opt_free_from_str().map_err(usage_error)?))
}

fn unknown_kind(kind: &str) -> CommandFailure {
    let names: Vec<&str> = DECLARED_KINDS.iter().map(|entry| entry.0).collect();
    usage_error(format!(
        "unknown kind {kind:?}; expected one of {}",
        names.join(", ")
    ))
}

/// Returns an error when arguments are left over.
fn finish(arguments: Arguments) -> CommandResult {
    match arguments.finish().first() {
        None => Ok(()),
        Some(unknown) => Err(usage_error(format!(
            "unknown argument {}",
            unknown.to_string_lossy()
        ))),
    }
}

/// Returns a failure by bad arguments or input.
fn usage_error(cause: impl std::fmt::Display) -> CommandFailure {
    CommandFailure {
        code: boragerill::process::EXIT_USAGE,
        message: cause.to_string(),
    }
}

/// Returns a failure of the platform.
fn platform_error(error: ServeError) -> CommandFailure {
    CommandFailure {
        code: 1,
        message: error.to_string(),
    }
}

/// Returns a failure of a submission: by bad input, or of the platform.
fn submission_error(error: ServeError) -> CommandFailure {
    match error {
        ServeError::Invalid(..) => usage_error(error),
        error => platform_error(error),
    }
}
