# Sourced by the scripts of the cases: a small deployment on loopback. Starts the stand-ins and the entry
# hosts as processes, and ends all of them. Exit status of a case: 0 held, 1 broken, 2 could not run.
set -uo pipefail
case_dir=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$case_dir/../.." && pwd)
standin=$root/build/review/review-standin
chivewing=$root/target/chivewing
trouble=${TROUBLE:-1}
run=$(mktemp -d)
log=$run/events
declare -A pid_of

cleanup() {
  local status=$?
  trap - EXIT
  for name in "${!pid_of[@]}"; do kill -KILL "${pid_of[$name]}" 2>/dev/null; done
  sleep 0.2
  {
    echo "# $(basename "$case_dir"): TROUBLE=$trouble, exit status $status"
    echo "# milliseconds on the steady clock, who (a minion with the start of its life), what"
    cat "$log" 2>/dev/null
    cat "$run/verdict" 2>/dev/null
  } >"$case_dir/record.txt"
  [ -z "${KEEP_LOGS:-}" ] || cp "$run"/host-*.log "$KEEP_LOGS"/
  rm -rf "$run"
  exit $status
}
trap cleanup EXIT
give_up() { echo "could not run: $*" | tee -a "$run/verdict"; exit 2; }
note() { echo "$("$standin" now) script $*" >>"$log"; }
verdict() { echo "$*" | tee -a "$run/verdict"; }

[ -x "$standin" ] || give_up "run review/build.sh first"
[ -x "$chivewing" ] || give_up "run the build line of deploy/system.toml first"

start_store() { # FURTHER OPTIONS...
  mapfile -t store_port < <("$standin" ports --count 1)
  store=127.0.0.1:${store_port[0]}
  "$standin" store --listen "$store" --log "$log" "$@" & pid_of[store]=$!
  disown
  local n
  for n in $(seq 50); do
    "$standin" client call --url "http://$store/rows-parts?table=x" >/dev/null 2>&1 && return
    sleep 0.1
  done
  give_up "the store does not answer"
}

# Writes the desired state: one queue, served by one service, as an operator does.
put_desired_state() { # VERSION [FURTHER FIELDS OF THE ROUTE]
  "$standin" client call --method POST --url "http://$store/standin/put?table=op&key=config" --body \
    "{\"version\":$1,\"routes\":[{\"name\":\"r-1\",\"host\":\"desk.example\",\"pathPrefix\":\"/jobs/\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"sloMs\":250,\"priority\":0,\"service\":\"desk\",\"maxAttempts\":4,\"stretch\":1.5${2:-}}],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"admissionCheck\":false,\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}" \
    >/dev/null || give_up "the desired state was not written"
}

declare -A worker_port
start_worker() { # ID FURTHER OPTIONS...
  local id=$1; shift
  [ -n "${worker_port[$id]:-}" ] || worker_port[$id]=$("$standin" ports --count 1)
  "$standin" worker --id "$id" --listen "127.0.0.1:${worker_port[$id]}" --store "$store" --log "$log" "$@" &
  pid_of[$id]=$!
  disown
}

# The fields of platform/settings.template for a machine of a small deployment.
hosts=()
declare -a ready
start_host() { # INDEX
  (cd "$root" && exec "$chivewing" serve-cluster --settings "$run/host-$1.json") >>"$run/host-$1.log" 2>&1 &
  pid_of[front-$1]=$!
  disown
}
start_hosts() { # NUMBER
  local i n ports
  mapfile -t ports < <("$standin" ports --count $((4 * $1)))
  for ((i = 0; i < $1; i++)); do
    cat >"$run/host-$i.json" <<S
{
  "host": "front-$i",
  "zone": "zone-$((i % 3))",
  "caller_address": "127.0.0.1:${ports[$((4 * i))]}",
  "ready_address": "127.0.0.1:${ports[$((4 * i + 1))]}",
  "peer_address": "127.0.0.1:${ports[$((4 * i + 2))]}",
  "metrics_address": "127.0.0.1:${ports[$((4 * i + 3))]}",
  "store_address": "$store",
  "processor_share": 0.25,
  "processor_cores": 1,
  "longest_lease_ms": 10000
}
S
    hosts+=("127.0.0.1:${ports[$((4 * i))]}")
    ready[$i]=127.0.0.1:${ports[$((4 * i + 1))]}
    start_host "$i"
  done
  for ((i = 0; i < $1; i++)); do
    for n in $(seq 100); do
      "$standin" client call --url "http://${ready[$i]}/ready" >/dev/null 2>&1 && continue 2
      sleep 0.1
    done
    give_up "front-$i does not become ready"
  done
}
all_hosts() { local IFS=,; echo "${hosts[*]}"; }
client() { # WHAT OPTIONS...
  local what=$1; shift
  "$standin" client "$what" --hosts "$(all_hosts)" --log "$log" "$@"
}
