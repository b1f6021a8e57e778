//! Generates `boragerill/src/generated` and `docs/SETTINGS.md` from the schemas; `--check` only compares
//! them.

use std::{
    error::Error,
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use schemars::schema::RootSchema;
use serde_json::Value;
use typify::{
    TypeSpace,
    TypeSpaceSettings, //
};

/// Validation keywords, removed before types are generated; values are validated at run time against the
/// schema.
const BOUND_KEYWORDS: [&str; 9] = [
    "minLength",
    "maxLength",
    "pattern",
    "minimum",
    "maximum",
    "minItems",
    "format",
    "x-required",
    "$schema",
];

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = pico_args::Arguments::from_env();
    let check_only = arguments.contains("--check");
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../boragerill");
    let schema = root.join("schema");
    let outputs = [
        ("messages.rs", generate_messages(&schema)?),
        (
            "settings.rs",
            generate_types(&schema.join("settings.schema.json"))?,
        ),
        (
            "kinds.rs",
            generate_types(&schema.join("kinds.schema.json"))?,
        ),
    ];
    for (name, text) in outputs {
        emit(&root.join("src/generated").join(name), &text, check_only)?;
    }
    let page = describe_settings(&schema.join("settings.schema.json"))?;
    emit(&root.join("../docs/SETTINGS.md"), &page, check_only)
}

/// Generates the page that lists all settings with their bounds and defaults.
fn describe_settings(path: &Path) -> Result<String, Box<dyn Error>> {
    let root: Value = serde_json::from_str(&fs::read_to_string(path)?)?;
    let mut page = String::from(
        "# Settings\n\nWritten by `cargo run -p codegen` from `boragerill/schema/settings.schema.json`.\n\
         Each daemon reads one JSON file: `--settings FILE`; `--check` validates it and exits.\n",
    );
    let definitions = root["definitions"].as_object().ok_or("no definitions")?;
    for definition in definitions.values() {
        page.push_str(&format!(
            "\n## {}\n\n",
            definition["description"].as_str().unwrap_or_default()
        ));
        page.push_str("| field | default | bounds | meaning |\n|---|---|---|---|\n");
        let properties = definition["properties"]
            .as_object()
            .ok_or("no properties")?;
        for (name, field) in properties {
            page.push_str(&setting_row(name, field, &definition["x-required"]));
        }
    }
    Ok(page)
}

/// Formats the table row of one setting.
fn setting_row(name: &str, field: &Value, required: &Value) -> String {
    let is_required = required
        .as_array()
        .is_some_and(|names| names.iter().any(|entry| entry == name));
    let default = if is_required {
        "required".to_owned()
    } else {
        format!("`{}`", field["default"])
    };
    let bounds = match (&field["minimum"], &field["maximum"], &field["enum"]) {
        (Value::Null, Value::Null, Value::Null) => String::new(),
        (Value::Null, Value::Null, names) => format!("one of {names}"),
        (low, high, _) => format!("{low} to {high}"),
    };
    format!(
        "| {name} | {default} | {bounds} | {} |\n",
        field["description"].as_str().unwrap_or_default()
    )
}

/// Writes `text` to `path`; with `check_only`, fails if the file differs instead.
fn emit(path: &Path, text: &str, check_only: bool) -> Result<(), Box<dyn Error>> {
    if !check_only {
        return Ok(fs::write(path, text)?);
    }
    let current = fs::read_to_string(path)?;
    if current != text {
        return Err(format!(
            "{}: out of date with its schema; run codegen",
            path.display()
        )
        .into());
    }
    println!(
        "{}: up to date",
        path.file_name().unwrap_or_default().to_string_lossy()
    );
    Ok(())
}

/// Generates the types of the messages between processes.
fn generate_messages(schema: &Path) -> Result<String, Box<dyn Error>> {
    let descriptors = protox::compile([schema.join("messages.proto")], [schema])?;
    let directory = std::env::temp_dir().join(format!("boragerill-codegen-{}", std::process::id()));
    fs::create_dir_all(&directory)?;
    prost_build::Config::new()
        .out_dir(&directory)
        .compile_fds(descriptors)?;
    let text = fs::read_to_string(directory.join("boragerill.rs"))?;
    fs::remove_dir_all(&directory)?;
    Ok(text)
}

/// Generates a type for each definition of a JSON schema.
fn generate_types(path: &Path) -> Result<String, Box<dyn Error>> {
    let mut value: Value = serde_json::from_str(&fs::read_to_string(path)?)?;
    strip_bounds(&mut value, false);
    if let Some(root) = value.as_object_mut() {
        root.remove("title");
    }
    let schema: RootSchema = serde_json::from_value(value)?;
    let mut space = TypeSpace::new(&TypeSpaceSettings::default());
    space.add_ref_types(schema.definitions)?;
    let file = syn::parse2(space.to_stream())?;
    Ok(prettyplease::unparse(&file))
}

/// Removes validation keywords, for which typify would generate separate types; integer formats stay.
fn strip_bounds(value: &mut Value, is_property_map: bool) {
    match value {
        Value::Object(map) => {
            if !is_property_map {
                let is_integer = map.get("type").is_some_and(|kind| kind == "integer");
                map.retain(|key, _| {
                    !BOUND_KEYWORDS.contains(&key.as_str()) || (is_integer && key == "format")
                });
            }
            for (key, child) in map.iter_mut() {
                strip_bounds(child, !is_property_map && key == "properties");
            }
        }
        Value::Array(items) => items.iter_mut().for_each(|item| strip_bounds(item, false)),
        _ => {}
    }
}
