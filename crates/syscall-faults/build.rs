//! Builds the library that is preloaded into a program under test.

use std::path::PathBuf;

fn main() {
    println!("cargo::rerun-if-changed=shim/faults.c");
    let library =
        PathBuf::from(std::env::var_os("OUT_DIR").expect("cargo sets OUT_DIR")).join("libfaults.so");
    let mut compile = cc::Build::new().opt_level(2).get_compiler().to_command();
    compile
        .args(["-shared", "-fPIC", "-Wall", "-Werror", "-o"])
        .arg(&library)
        .args(["shim/faults.c", "-ldl"]);
    let built = compile.status().expect("a C compiler is installed");
    assert!(built.success(), "the compiler failed to build the library from shim/faults.c");
    println!("cargo::rustc-env=FAULTS_LIBRARY={}", library.display());
}
