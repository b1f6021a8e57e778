//! Shows resources as a table or as JSON.

use boragerill::platform::PlatformObject;
use serde_json::{
    json,
    Value, //
};

/// How results are shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OutputForm {
    /// Columns for people.
    Table,
    /// One JSON value a line for programs.
    Json,
}

/// A resource and its status.
#[derive(Clone, Debug)]
pub(crate) struct ResourceView {
    /// The resource.
    pub(crate) object: PlatformObject,
    /// Its status; null when none was written yet.
    pub(crate) status: Value,
}

/// Prints resources.
pub(crate) fn print(views: &[ResourceView], form: OutputForm) {
    if form == OutputForm::Table {
        println!("{:<10} {:<32} {:>8} STATUS", "KIND", "NAME", "VERSION");
    }
    for view in views {
        print_one(view, form);
    }
}

/// Prints one resource without a heading.
pub(crate) fn print_one(view: &ResourceView, form: OutputForm) {
    let object = &view.object;
    match form {
        OutputForm::Json => println!("{}", to_json(view)),
        OutputForm::Table => {
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

/// Returns a status in one phrase.
fn summary(view: &ResourceView) -> String {
    let status = &view.status;
    let Some(state) = status["state"].as_str() else {
        return "pending".to_owned();
    };
    if let (Some(done), Some(items)) = (status["done"].as_u64(), status["items"].as_u64()) {
        let counts = ["failed", "cancelled", "unknown"];
        let others = counts
            .iter()
            .filter_map(|&name| Some((name, status[name].as_u64().filter(|&count| count > 0)?)));
        let others: String = others
            .map(|(name, count)| format!(", {count} {name}"))
            .collect();
        return format!("{state}: {done} of {items}{others}");
    }
    if status["observed"].as_u64() != Some(view.object.version) {
        return "pending".to_owned();
    }
    match (status["field"].as_str(), status["cause"].as_str()) {
        (Some(field), Some(cause)) => format!("{state}: {field}: {cause}"),
        _ => state.to_owned(),
    }
}
