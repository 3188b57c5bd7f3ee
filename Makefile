PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
PACKAGES := core replicas fleet upstreams operators callers daemon tools

.PHONY: install demo test check format reference lock bench bench-jobs bench-state capacity regression

install: $(VENV)/.installed

$(VENV)/.installed: requirements.lock $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps $(PACKAGES:%=-e packages/%)
	touch $@

demo: install
	$(RUN) -m hornbeamstair_tools.demo

test: install
	$(RUN) -m compileall -q packages platform
	PYTHONPATH=platform $(RUN) -m hornbeamstair_tools.run_tests

check: install
	$(VENV)/bin/ruff format --check packages platform tests
	$(VENV)/bin/ruff check --quiet packages platform tests
	$(VENV)/bin/flake8 packages platform tests
	MYPYPATH=platform $(VENV)/bin/mypy $(PACKAGES:%=-p hornbeamstair_%) -p hornbeamstair_platform
	$(RUN) -m hornbeamstair_tools.check_imports
	$(RUN) -m hornbeamstair_tools.reference --check

format: install
	$(VENV)/bin/ruff check --quiet --fix packages platform tests
	$(VENV)/bin/ruff format packages platform tests

reference: install
	$(RUN) -m hornbeamstair_tools.reference

bench: install
	$(RUN) -m hornbeamstair_tools.bench_path

bench-jobs: install
	$(RUN) -m hornbeamstair_tools.bench_scheduler
	$(RUN) -m hornbeamstair_tools.bench_jobs

bench-state: install
	$(RUN) -m hornbeamstair_tools.bench_state

capacity: install
	$(RUN) -m hornbeamstair_tools.bench_capacity

lock:
	uv pip compile --quiet --generate-hashes --no-emit-index-url requirements.in -o requirements.lock

# BENCH: program of the bench; SITES: site files, by default all of the
# regression under KIT.
SITES ?= $(addprefix $(KIT)/,further/brandvold-ice.toml further-grown/brandvold-ice-grown.toml large/sanad-grind-large.toml grown/sanad-grind-grown.toml grown/aedln-cluster-grown.toml)

regression: install
	$(RUN) -m hornbeamstair_tools.regression $(BENCH) $(SITES)
