//! Builds the shim that a soaked program is started with.

use std::path::PathBuf;

fn main() {
    println!("cargo::rerun-if-changed=shim/faults.c");
    let shim = PathBuf::from(std::env::var_os("OUT_DIR").expect("cargo sets OUT_DIR")).join("libfaults.so");
    let mut compile = cc::Build::new().opt_level(2).get_compiler().to_command();
    compile.args(["-shared", "-fPIC", "-Wall", "-o"]).arg(&shim).args(["shim/faults.c", "-ldl"]);
    let built = compile.status().expect("a C compiler is there");
    assert!(built.success(), "the shim can't be built");
    println!("cargo::rustc-env=SOAK_SHIM={}", shim.display());
}
