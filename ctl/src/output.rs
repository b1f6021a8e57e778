//! Prints resources as a table or as JSON.

use boragerill::platform::PlatformObject;
use serde_json::{
    json,
    Value, //
};

/// Format in which results are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OutputFormat {
    /// Columns, for people.
    Table,
    /// One JSON value per line, for programs.
    Json,
}

/// A resource and its status.
#[derive(Clone, Debug)]
pub(crate) struct ResourceView {
    /// The resource.
    pub(crate) object: PlatformObject,
    /// Status of the resource; null when no status has been written yet.
    pub(crate) status: Value,
}

/// Prints resources, as a table with a heading.
pub(crate) fn print(views: &[ResourceView], format: OutputFormat) {
    if format == OutputFormat::Table {
        println!("{:<10} {:<32} {:>8} STATUS", "KIND", "NAME", "VERSION");
    }
    for view in views {
        print_one(view, format);
    }
}

/// Prints one resource, without a heading.
pub(crate) fn print_one(view: &ResourceView, format: OutputFormat) {
    let object = &view.object;
    match format {
        OutputFormat::Json => println!("{}", to_json(view)),
        OutputFormat::Table => {
            println!(
                "{:<10} {:<32} {:>8} {}",
                object.kind,
                object.name,
                object.version,
                summary(view)
            );
        }
    }
}

fn to_json(view: &ResourceView) -> Value {
    let object = &view.object;
    json!({
        "kind": object.kind,
        "name": object.name,
        "version": object.version,
        "spec": object.spec,
        "status": view.status,
    })
}

/// Returns the status of a resource as one phrase; `pending` when the status doesn't cover its version yet.
fn summary(view: &ResourceView) -> String {
    let status = &view.status;
    let Some(state) = status["state"].as_str() else {
        return "pending".to_owned();
    };
    if let (Some(done), Some(items)) = (status["done"].as_u64(), status["items"].as_u64()) {
        let counts = ["failed", "cancelled", "unknown"];
        let nonzero = counts
            .iter()
            .filter_map(|&name| Some((name, status[name].as_u64().filter(|&count| count > 0)?)));
        let suffix: String = nonzero
            .map(|(name, count)| format!(", {count} {name}"))
            .collect();
        return format!("{state}: {done} of {items}{suffix}");
    }
    if status["observed"].as_u64() != Some(view.object.version) {
        return "pending".to_owned();
    }
    match (status["field"].as_str(), status["cause"].as_str()) {
        (Some(field), Some(cause)) => format!("{state}: {field}: {cause}"),
        _ => state.to_owned(),
    }
}
