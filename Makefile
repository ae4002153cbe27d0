# `make demo` runs both deployments with stand-ins; `make test` runs all tests.

.PHONY: demo test unit faults build

build:
	cargo build --release --locked --workspace

demo: build
	scripts/demo.sh lagyviz
	scripts/demo.sh senderos

test: unit faults

unit:
	scripts/unit.sh

faults: build
	scripts/faults.sh
