# Functions that start a small fleet on loopback. Sourced by demo/run and
# demo/latency. Requires bin/pollensail, bin/pollenctl and bin/standin. Reads the
# variable DIR (a temporary folder) and sets STORE and POLLENSAIL_STORE.

PIDS=()

# spawn NAME COMMAND...: starts a background process with output to DIR/NAME.log.
spawn() {
  local name=$1
  shift
  "$@" >"$DIR/$name.log" 2>&1 &
  PIDS+=($!)
  eval "PID_${name//-/_}=$!"
}

# pid NAME: prints the process id of a spawned process.
pid() { eval "echo \$PID_${1//-/_}"; }

# wait_for SECONDS COMMAND...: repeats a command until it succeeds, and fails
# after a timeout.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= end)); then
      echo "demo: timed out: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

# announced NAME KEY: prints an address that a process wrote to its address file
# at startup.
announced() { sed -n "s/^$2=//p" "$DIR/$1.addr"; }

has_announced() { test -s "$DIR/$1.addr"; }

start_store() {
  spawn store bin/standin store --address 127.0.0.1:0 --announce "$DIR/store.addr" --lifetime 5m
  wait_for 5 has_announced store
  STORE=$(announced store store)
  export POLLENSAIL_STORE=$STORE
}

# start_server NAME KIND SERVICE DOMAIN [FLAGS...]: starts a backend server and
# adds it to the host list of the platform.
start_server() {
  local name=$1 kind=$2 service=$3 domain=$4
  shift 4
  spawn "$name" bin/standin backend --name "$name" --kind "$kind" --announce "$DIR/$name.addr" --lifetime 5m "$@"
  wait_for 5 has_announced "$name"
  local address
  address=$(announced "$name" work)
  list_host "$address" "{\"id\":\"$address\",\"role\":\"backend\",\"domain\":\"$domain\",\"service\":\"$service\"}"
}

list_host() { bin/standin http PUT "$STORE/v1/hosts/$1" "$2" >/dev/null; }

# start_host NAME DOMAIN: starts an entry host and adds it to the host list of the
# platform. Writes its addresses to DIR/NAME.addr.
start_host() {
  local name=$1 domain=$2
  cat >"$DIR/$name.toml" <<EOF
host = "$name"
domain = "$domain"

[listen]
caller = "127.0.0.1:0"
peer = "127.0.0.1:0"
operator = "127.0.0.1:0"

[store]
address = "$STORE"

[tls]
insecure = true

[stop]
balancer_delay = "500ms"
EOF
  spawn "$name" bin/pollensail --settings "$DIR/$name.toml"
  wait_for 5 has_started "$name"
  for port in caller peer operator; do
    echo "$port=$(started_port "$name" $port)"
  done >"$DIR/$name.addr"
  list_host "$name" "{\"id\":\"$name\",\"role\":\"entry\",\"domain\":\"$domain\",\"peer\":\"$(announced "$name" peer)\",\"operator\":\"$(announced "$name" operator)\"}"
}

has_started() { grep -q '"message":"host started"' "$DIR/$1.log"; }

# started_port NAME PORT: prints an address from the log line of a started host.
started_port() { sed -n "s/.*\"$2\":\"\([0-9.:]*\)\".*\"host started\".*/\1/p" "$DIR/$1.log"; }

wait_ready() { bin/standin http GET "$(announced "$1" operator)/readyz" --within 10s >/dev/null; }

# fault NAME JSON: sets the faults of a backend server.
fault() { bin/standin http PUT "$(announced "$1" control)/faults" "$2" >/dev/null; }

# store_fault JSON: sets the faults of the store.
store_fault() { bin/standin http PUT "$STORE/standin/faults" "$1" >/dev/null; }

# callers NAME...: prints the caller addresses of hosts, separated by commas.
callers() {
  local list=() name
  for name in "$@"; do
    list+=("$(announced "$name" caller)")
  done
  (IFS=,; echo "${list[*]}")
}

# controls NAME...: prints the control addresses of servers, separated by commas.
controls() {
  local list=() name
  for name in "$@"; do
    list+=("$(announced "$name" control)")
  done
  (IFS=,; echo "${list[*]}")
}

stop_all() {
  kill "${PIDS[@]}" 2>/dev/null
  wait 2>/dev/null
}
