# Modules of the workspace that hold code of the project.
MODULES := decision host standin
PACKAGES := $(foreach m,$(MODULES),./$(m)/...)
# Packages whose tests run under the race detector in CI: the control loop and the adapters.
RACE_PACKAGES := ./host/...

.PHONY: all build build-standin test race lint fmt demo measure

all: build

build:
	go build -o bin/ ./host/cmd/...
	go build $(PACKAGES)

test: build
	go test $(PACKAGES)

race:
	go test -race $(RACE_PACKAGES)

fmt:
	gofmt -w $(MODULES)

lint:
	@unformatted=$$(gofmt -l $(MODULES)); if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

build-standin:
	go build -o bin/ ./standin/cmd/...

demo: build build-standin
	demo/run

measure:
	go run ./standin/cmd/measure --out out
