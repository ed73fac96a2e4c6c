//! Generates Rust types from the JSON Schemas in `schema/`.

use {
    schemars::schema::RootSchema,
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
    typify::{TypeSpace, TypeSpaceImpl, TypeSpacePatch, TypeSpaceSettings},
};

/// Names of the schemas for which a module is generated.
const SCHEMAS: [&str; 2] = ["settings", "messages"];

const HEADER: &str = "// @generated from schema/ by `cargo run -p lab -- schema`; do not edit.\n";

/// Error in generating the code or comparing it with the committed files.
#[derive(Debug, thiserror::Error)]
pub enum CodegenError {
    /// A file could not be read or written.
    #[error("cannot read or write {path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The schema is not valid JSON Schema.
    #[error("schema {name} is not a valid JSON Schema: {source}")]
    Schema {
        /// Name of the schema.
        name: &'static str,
        /// Cause.
        source: serde_json::Error,
    },
    /// The generator rejected the schema.
    #[error("cannot generate code from schema {name}: {reason}")]
    Generator {
        /// Name of the schema.
        name: &'static str,
        /// Cause.
        reason: String,
    },
    /// The committed code differs from the code generated from the schema.
    #[error("{0} is out of date; run `cargo run -p lab -- schema`")]
    OutOfDate(PathBuf),
}

/// Writes the generated modules under the workspace root `root`. If `check` is set, only compares
/// them with the existing files.
///
/// # Errors
/// Fails if a schema is unreadable or invalid, a file cannot be written, or `check` finds a
/// difference.
pub fn run(root: &Path, check: bool) -> Result<(), CodegenError> {
    for name in SCHEMAS {
        let code = generate(root, name)?;
        let path = root.join(format!("pistachiolane/src/schema/generated_{name}.rs"));
        if check {
            let current = read_file(&path)?;
            if current != code {
                return Err(CodegenError::OutOfDate(path));
            }
            continue;
        }
        fs::write(&path, code).map_err(|source| CodegenError::File { path, source })?;
    }
    Ok(())
}

fn generate(root: &Path, name: &'static str) -> Result<String, CodegenError> {
    let text = read_file(&root.join(format!("schema/{name}.json")))?;
    let schema: RootSchema =
        serde_json::from_str(&text).map_err(|source| CodegenError::Schema { name, source })?;
    let mut generator_settings = TypeSpaceSettings::default();
    let impls = || [TypeSpaceImpl::Display].into_iter();
    generator_settings
        .with_derive("PartialEq".into())
        .with_map_type("::std::collections::BTreeMap")
        .with_replacement("Name", "::std::sync::Arc<str>", impls())
        .with_replacement("Address", "::std::net::SocketAddr", impls())
        .with_replacement("LoadReport", "crate::schema::LoadReport", impls());
    let mut key_derives = TypeSpacePatch::default();
    for derive in ["Copy", "Eq", "Hash", "PartialOrd", "Ord"] {
        key_derives.with_derive(derive);
    }
    generator_settings.with_patch("AttemptId", &key_derives);
    let mut space = TypeSpace::new(&generator_settings);
    let generator_error =
        |reason: typify::Error| CodegenError::Generator { name, reason: reason.to_string() };
    space.add_ref_types(schema.definitions).map_err(generator_error)?;
    let file = syn::parse2(space.to_stream())
        .map_err(|e| CodegenError::Generator { name, reason: e.to_string() })?;
    Ok(format!("{HEADER}{}", prettyplease::unparse(&file)))
}

fn read_file(path: &Path) -> Result<String, CodegenError> {
    fs::read_to_string(path).map_err(|source| CodegenError::File { path: path.to_owned(), source })
}
