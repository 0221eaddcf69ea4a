# One runner for all checks and programs. `make test` is what CI calls.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
# An environment that was made for another interpreter or architecture is made anew.
KIND := $(shell $(PYTHON) -c 'import platform, sysconfig; print(sysconfig.get_config_var("SOABI"), platform.python_version(), sep="-")')
STAMP := $(VENV)/.installed-$(KIND)
LIBS := model decisions telemetry wire store dataplane controlplane forwarding client daemon cli standins bench
DEPLOYMENT ?= kurabito

.PHONY: setup format check types contracts unit test demo bench capacity history clean

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(wildcard libs/*/pyproject.toml) platform/pyproject.toml
	test -e $(STAMP) || $(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install -q -r constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q --no-build-isolation -c constraints.txt --config-settings editable_mode=compat $(foreach lib,$(LIBS),-e libs/$(lib)) -e platform
	touch $@

format: setup
	$(BIN)/black -q libs platform tests
	$(BIN)/ruff check -q --fix libs platform tests

check: setup
	$(BIN)/black -q --check libs platform tests
	$(BIN)/ruff check -q libs platform tests
	$(BIN)/python -m berylspindle_bench.page_links

types: setup
	$(BIN)/mypy $(foreach lib,$(LIBS) adapter,-p berylspindle_$(lib))

contracts: setup
	$(BIN)/lint-imports --no-cache

unit: setup
	PYTHONHASHSEED=0 $(BIN)/pytest -n 4

test: check types contracts unit

demo: setup
	$(BIN)/berylspindle-bench demo --deployment $(DEPLOYMENT)

bench: setup
	$(BIN)/berylspindle-bench measures --deployment $(DEPLOYMENT)
	$(BIN)/berylspindle-bench control

capacity: setup
	$(BIN)/berylspindle-bench capacity

history: setup
	$(BIN)/berylspindle-bench history --seed $(or $(SEED),1) --faults "$(FAULTS)"

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
