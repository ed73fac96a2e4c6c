//! x
mod codegen;
fn main() {
    codegen::run(std::path::Path::new("."), false).unwrap()
}
