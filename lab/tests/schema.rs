//! The committed types are those that the schemas give.

use std::path::Path;

#[test]
fn generated_types_are_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let compared = lab::codegen::run(&root, true);
    assert!(compared.is_ok(), "{compared:?}");
}
