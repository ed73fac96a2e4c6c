//! Guards against schemas that changed without their generated types.

use std::path::Path;

#[test]
fn generated_types_are_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let result = lab::codegen::run(&root, true);
    assert!(result.is_ok(), "{result:?}");
}
