.PHONY: build test lint run sites

build:
	cargo build --release

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	NODE_CONFIG=$${NODE_CONFIG:-examples/config.json} target/release/pebblevane

# Copies the files that the bench needs from the operators' kit to deploy/sites/, next to the deployments of this
# project. Git ignores the copies. GIVEN is the folder that contains the kit.
GIVEN ?= ../given
sites:
	install -m 644 $(GIVEN)/kit/more/mass/other/real.json $(GIVEN)/kit/more/mass/other/wire.json \
		$(GIVEN)/kit/more/mass/other/unlock.txt deploy/sites/
