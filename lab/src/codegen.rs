//! Generates Rust types from the JSON Schemas in `schema/`.

use {
    schemars::schema::RootSchema,
    std::{
        fs, io,
        path::{Path, PathBuf},
    },
    typify::{TypeSpace, TypeSpaceImpl, TypeSpacePatch, TypeSpaceSettings},
};

/// Schemas and the generated modules that belong to them.
const MODULES: [&str; 2] = ["settings", "messages"];

const HEADER: &str = "// @generated from schema/ by `cargo run -p lab -- schema`; do not edit.\n";

/// A schema that could not be turned into code.
#[derive(Debug, thiserror::Error)]
pub enum CodegenError {
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// File concerned.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The schema is not valid JSON Schema.
    #[error("schema {name}: {source}")]
    Schema {
        /// Schema concerned.
        name: &'static str,
        /// Cause.
        source: serde_json::Error,
    },
    /// The generator refused the schema.
    #[error("schema {name}: {reason}")]
    Generator {
        /// Schema concerned.
        name: &'static str,
        /// Cause.
        reason: String,
    },
    /// The committed code is not what the schema gives.
    #[error("{0} is out of date, run `cargo run -p lab -- schema`")]
    OutOfDate(PathBuf),
}

/// Writes the generated modules below the workspace's root, or compares them when `check` is set.
///
/// # Errors
/// Fails when a schema is unreadable or invalid, or when `check` finds a difference.
pub fn run(root: &Path, check: bool) -> Result<(), CodegenError> {
    for name in MODULES {
        let code = generate(root, name)?;
        let path = root.join(format!("pistachiolane/src/schema/generated_{name}.rs"));
        if check {
            let current = read(&path)?;
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
    let text = read(&root.join(format!("schema/{name}.json")))?;
    let schema: RootSchema =
        serde_json::from_str(&text).map_err(|source| CodegenError::Schema { name, source })?;
    let mut cfg = TypeSpaceSettings::default();
    let impls = || [TypeSpaceImpl::Display].into_iter();
    cfg.with_derive("PartialEq".into())
        .with_map_type("::std::collections::BTreeMap")
        .with_replacement("Name", "::std::sync::Arc<str>", impls())
        .with_replacement("Address", "::std::net::SocketAddr", impls())
        .with_replacement("LoadReport", "crate::schema::LoadReport", impls());
    let mut key = TypeSpacePatch::default();
    for derive in ["Copy", "Eq", "Hash", "PartialOrd", "Ord"] {
        key.with_derive(derive);
    }
    cfg.with_patch("AttemptId", &key);
    let mut space = TypeSpace::new(&cfg);
    let refuse =
        |reason: typify::Error| CodegenError::Generator { name, reason: reason.to_string() };
    space.add_ref_types(schema.definitions).map_err(refuse)?;
    let file = syn::parse2(space.to_stream())
        .map_err(|e| CodegenError::Generator { name, reason: e.to_string() })?;
    Ok(format!("{HEADER}{}", prettyplease::unparse(&file)))
}

fn read(path: &Path) -> Result<String, CodegenError> {
    fs::read_to_string(path).map_err(|source| CodegenError::File { path: path.to_owned(), source })
}
