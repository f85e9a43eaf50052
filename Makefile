# Front door of the workspace; the packages are built by CMake.
BUILD ?= build
CMAKE_FLAGS ?=
JOBS ?= $(shell nproc)

.PHONY: all deps build test sanitize demo bench format check-format tidy \
	install proto model clean

all: build

deps:
	@sh .ci/install-deps

build:
	@cmake -S . -B $(BUILD) $(CMAKE_FLAGS) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory

test: deps build
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)

sanitize: deps
	$(MAKE) build BUILD=build-asan CMAKE_FLAGS=-DCT_SANITIZE=ON
	ctest --test-dir build-asan --output-on-failure -j $(JOBS)

C_FILES = $$(git ls-files '*.c' '*.h' | grep -v '\.pb-c\.')

format:
	@clang-format -i $(C_FILES)

check-format:
	@clang-format --dry-run --Werror $(C_FILES)

tidy: build
	@git ls-files '*.c' | grep -v '\.pb-c\.' \
		| xargs -P $(JOBS) -n 2 clang-tidy --quiet -p $(BUILD) 2>/dev/null

# The generated code is committed; this needs protobuf-c-compiler.
proto:
	@cd wire && protoc-c --c_out=. coriandertrack.proto

# Decisions on a virtual clock; takes about a minute.
bench:
	@$(MAKE) build >/dev/null
	@$(BUILD)/bench/policy-bench examples

model:
	@sh model/run.sh $(BUILD)

install: build
	cmake --install $(BUILD)

clean:
	rm -rf build build-asan
