//! Regenerates the committed Cap'n Proto code; run it with `scripts/regenerate`.

use std::path::Path;

fn main() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut command = capnpc::CompilerCommand::new();
    command.src_prefix(root.join("schema")).output_path(root.join("src/generated"));
    command.default_parent_module(vec!["generated".to_string()]);
    for name in ["peer", "replica", "control", "target"] {
        command.file(root.join(format!("schema/{name}.capnp")));
    }
    command.run().expect("the Cap'n Proto compiler failed to compile the schema");
}
