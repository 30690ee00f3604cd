# Entry points for developers and CI; CMake does the build.
BUILD ?= build
SANITIZED ?= build-sanitized
JOBS ?= $(shell nproc)

all: build

packages:
	@tools/install-packages

build: packages
	@cmake -S . -B $(BUILD) >/dev/null
	@$(MAKE) --no-print-directory -s -C $(BUILD) -j$(JOBS)

check: packages
	@tools/check

format: packages
	@tools/check-format -i

bench: build
	@BUILD=$(BUILD) tools/bench

# make soak SEEDS=1000: runs the randomised tests with many seeds.
soak: build
	@BUILD=$(BUILD) tools/soak $(or $(SEEDS),1000)

demo: build
	@BUILD=$(BUILD) tools/demo

.PHONY: demo bench soak all packages build check format
