# To begin with, run `make demo` and `make test`.
PYTHON ?= python3
DEPLOYMENT ?= ezo-lumen
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/ready

.PHONY: demo soak fleet-soak core-soak measure test lint types format clean slopes overhead capacity-page

$(READY): requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
	  -e packages/bergamotferry -e packages/bergamotferry_host \
	  -e packages/bergamotferry_ctl -e packages/bergamotferry_testkit -e platform
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m bergamotferry_testkit.demo --deployment $(DEPLOYMENT)

test: $(READY)
	$(BIN)/python -m pytest -q

lint: $(READY)
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform

types: $(READY)
	$(BIN)/mypy

format: $(READY)
	$(BIN)/ruff format packages platform
	$(BIN)/ruff check --fix packages platform

slopes: $(READY)
	$(BIN)/python -m bergamotferry_testkit.slopes

overhead: $(READY)
	$(BIN)/python -m bergamotferry_testkit.overhead --keep

capacity-page: $(READY)
	$(BIN)/python -m bergamotferry_testkit.capacity_page

clean:
	rm -rf build .mypy_cache .ruff_cache

MINUTES ?= 1
SEED ?= $(shell date +%s)

soak: $(READY)
	$(BIN)/python -m bergamotferry_testkit.soak --seed $(SEED) --minutes $(MINUTES) \
	  --deployment $(DEPLOYMENT)

fleet-soak: $(READY)
	$(BIN)/python packages/bergamotferry_testkit/tests/platform_soak.py \
	  --seed $(SEED) --seconds $$(( $(MINUTES) * 60 ))

core-soak: $(READY)
	$(BIN)/python packages/bergamotferry_testkit/tests/platform_core_soak.py --seed $(SEED)

measure: $(READY)
	$(BIN)/python -m bergamotferry_testkit.measure $(MEASURE_FLAGS)
