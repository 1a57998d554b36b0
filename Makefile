# Targets: all (default), deps, check, build-tests, fuzz, soak, soak-short, demo, bench, promises,
# format, format-check, lint, clean.
CC ?= gcc
CFLAGS ?= -O2 -g
PKGS = apr-1 libprotobuf-c yaml-0.1 jansson libsodium zlib
CPPFLAGS += -D_GNU_SOURCE -Isrc -Iplatform $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
WARN = -std=gnu11 -Wall -Wextra -Werror -Wno-unused-parameter -Wshadow -Wstrict-prototypes
LIBS = $(shell pkg-config --libs $(PKGS) 2>/dev/null) -llog4c -lhttp_parser -lm
# The command-line tool and tests; the daemon has an HTTP client of its own.
CURL_LIBS = $(shell pkg-config --libs libcurl 2>/dev/null)
BUILD ?= build

MAIN_SRC = src/toucanlbd.c src/tool.c
LIB_SRC = $(filter-out $(MAIN_SRC),$(wildcard src/*.c)) $(wildcard platform/*.c)
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
STANDIN_LIB_SRC = standins/control.c standins/link.c standins/serve.c
STANDIN_ENGINE_SRC = standins/held.c standins/import.c standins/prefix.c
STANDIN_SRC = $(filter-out $(STANDIN_LIB_SRC) $(STANDIN_ENGINE_SRC),$(wildcard standins/*.c))
STANDINS = $(STANDIN_SRC:standins/%.c=$(BUILD)/standin-%)
TEST_SRC = $(wildcard tests/test_*.c)
TESTS = $(TEST_SRC:tests/%.c=$(BUILD)/tests/%)
STYLED = $(filter-out %.pb-c.c %.pb-c.h,$(wildcard src/*.[ch] platform/*.[ch] standins/*.[ch] tests/*.[ch] bench/*.[ch] load/*.[ch] fuzz/*.[ch]))

LOAD_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard load/*.c))

# Libraries that tests preload into daemons.
$(BUILD)/%.so: tests/%.c
	@mkdir -p $(BUILD)
	$(CC) $(CPPFLAGS) $(CFLAGS) $(WARN) -shared -fPIC -o $@ $<

.DEFAULT_GOAL = all
all: $(BUILD)/toucanlbd $(BUILD)/toucanlb $(BUILD)/passthrough $(BUILD)/toucanlb-load $(BUILD)/clockstep.so $(BUILD)/nomemory.so $(BUILD)/tcpstate.so $(STANDINS)

deps:
	@scripts/install-deps

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) $(WARN) -MMD -MP -c -o $@ $<

# The code that protoc-c writes does not pass the project's stricter warnings.
$(BUILD)/src/wire.pb-c.o: WARN = -std=gnu11

$(BUILD)/libtoucanlb.a: $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/toucanlbd: $(BUILD)/src/toucanlbd.o $(BUILD)/libtoucanlb.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/toucanlb: $(BUILD)/src/tool.o $(BUILD)/libtoucanlb.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS) $(CURL_LIBS)

$(BUILD)/toucanlb-load: $(LOAD_OBJ)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(shell pkg-config --libs libcurl jansson) -lm

$(BUILD)/standin-engine: $(STANDIN_ENGINE_SRC:%.c=$(BUILD)/%.o)
$(BUILD)/standin-%: $(BUILD)/standins/%.o $(STANDIN_LIB_SRC:%.c=$(BUILD)/%.o)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(shell pkg-config --libs libmicrohttpd jansson libcurl) -lpthread

$(BUILD)/tests/%: $(BUILD)/tests/%.o $(BUILD)/libtoucanlb.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS) $(CURL_LIBS) $(shell pkg-config --libs check)

BENCH_OBJ = $(patsubst %,$(BUILD)/bench-%.o,bench model event view engine admit caller fault measure)

# Not $(BUILD)/bench/*.o: $(BUILD)/bench is a program, so no object file can be placed below it.
$(BUILD)/bench-%.o: bench/%.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) $(WARN) -MMD -MP -c -o $@ $<

$(BUILD)/limits: $(BUILD)/bench-limits.o $(BUILD)/libtoucanlb.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/config_load: $(BUILD)/bench-config_load.o $(BUILD)/libtoucanlb.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/bench: $(BENCH_OBJ) $(BUILD)/libtoucanlb.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/passthrough: $(BUILD)/bench-passthrough.o $(BUILD)/libtoucanlb.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS)

# A selection of the scenarios; scripts/bench runs the whole set.
bench: $(BUILD)/bench
	$< --scenario sustain
	$< --scenario peak
	$< --scenario greedy

# Fuzzes every parser of external bytes under the sanitizers, with fixed seeds; see fuzz/run.
fuzz:
	@$(MAKE) --no-print-directory BUILD=$(BUILD)/asan \
		CFLAGS="-O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all" \
		$(BUILD)/asan/fuzzer
	@fuzz/run $(BUILD)/asan/fuzzer

$(BUILD)/fuzzer: $(BUILD)/fuzz/fuzz.o $(BUILD)/libtoucanlb.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(LIBS)

check: deps
	@$(MAKE) --no-print-directory all build-tests
	@tests/run
	@$(MAKE) --no-print-directory fuzz
	@$(MAKE) --no-print-directory soak-short
	@python3 tests/promises/run.py --jobs 4

# Injects random faults into daemons that run behind a simulated users' platform; see soak/soak.py.
soak: all
	@python3 soak/soak.py --seeds 1 50

soak-short: all
	@python3 soak/soak.py --seeds 1 2

build-tests: $(TESTS)

demo: deps
	@$(MAKE) --no-print-directory all
	@scripts/demo

promises: deps
	@$(MAKE) --no-print-directory all
	@python3 tests/promises/run.py

format:
	clang-format -i $(STYLED)

format-check:
	clang-format --dry-run -Werror $(STYLED)

# uninitvar is off because APR's ring macros cause false positives; gcc and clang-tidy check for
# uninitialized variables as well.
lint:
	cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr -j 8 \
		--enable=warning,performance,portability --suppress=missingIncludeSystem \
		--suppress=normalCheckLevelMaxBranches --suppress=uninitvar -Isrc -Iplatform \
		$(filter %.c,$(STYLED))
	printf '%s\n' $(filter %.c,$(STYLED)) | xargs -P 10 -I{} clang-tidy --quiet {} -- \
		-std=gnu11 $(CPPFLAGS)
	grep -lE '^#!/bin/(ba)?sh' scripts/* tests/run tests/cases/* .ci/run | xargs shellcheck
	grep -lE '^#!/usr/bin/env python3' scripts/* | xargs pyflakes3 tests/*.py tests/promises/*.py soak/*.py

clean:
	rm -rf $(BUILD)

.PHONY: fuzz soak soak-short all deps bench check build-tests demo format format-check lint clean
.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
