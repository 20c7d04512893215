#!/usr/bin/env bash
# Soak by hand: the incident of tasks that run again (docs/incidents/run-again-second-record.md) with real processes,
# by seed. The dispatching host is lost, 0.1 to 0.8 s later all connections to the store are reset and its history is
# dropped, and minions start again under their ids meanwhile. Judged by review/twice.awk.
#
# Usage: tests/soak/record.sh SEED, after the build line of deploy/system.toml and review/build.sh. About 30 s a run.
# SHAPE, MINIONS, AROUND, SILENT and TASKS take the place of what the seed draws; CHIVEWING names another binary.
# Exit status: 0 held, 1 broken, 2 could not run. A broken run leaves its logs in build/soak/SEED.
seed=${1:?usage: record.sh SEED}
source "$(dirname "${BASH_SOURCE[0]}")/../../review/common.sh"
case_dir=$root/build/soak/$seed # where common.sh leaves the record
KEEP_LOGS=$case_dir
chivewing=${CHIVEWING:-$chivewing}
mkdir -p "$case_dir"
if [ ! -x "$root/build/soak/bin/store-faults" ]; then
  cmake -S "$root/tests/soak" -B "$root/build/soak/bin" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null \
    && cmake --build "$root/build/soak/bin" --target store-faults -j4 >/dev/null || give_up "the stand-in was not built"
fi

RANDOM=$seed
draw() { drawn=$(($1 + RANDOM % ($2 - $1 + 1))); } # FROM TO, both included
shapes=(pause kill kill-often kill-later term gateway none)
shape=${SHAPE:-${shapes[$((seed % ${#shapes[@]}))]}}
draw 5 9; host_count=$drawn
draw 12 24; minion_count=$drawn
draw 0 14; again=${MINIONS:-$drawn} # minions that start again in a round
arounds=(loss reset back)
draw 0 2; around=${AROUND:-${arounds[$drawn]}}
draw 0 1; silent=${SILENT:-$drawn} # whether followers are told nothing for a second before the reset
draw 14 26; tasks=${TASKS:-$drawn}
rounds=3

start_store
direct_store=$store
mapfile -t faults_port < <("$standin" ports --count 1)
faults=127.0.0.1:${faults_port[0]}
"$root/build/soak/bin/store-faults" "$faults" "$direct_store" & pid_of[faults]=$!
disown
put_desired_state 1
minion() { # NUMBER
  store=$direct_store start_worker "i-$((1000 + $1))" --service desk --zone "zone-$(($1 % 3))" --rack "r$1" \
    --cpu 16000 --mem 32768
}
for ((m = 0; m < minion_count; m++)); do minion "$m"; done
store=$faults
start_hosts "$host_count"

wait_ms() { read -rt "$(printf '%d.%03d' $(($1 / 1000)) $(($1 % 1000)))" <> <(:) || true; }
now_ms() { now=$((${EPOCHREALTIME/./} / 1000)); }
is_up() { [ -d "/proc/$1" ] && ! grep -q '^State:.Z' "/proc/$1/status" 2>/dev/null; } # PID
await_end() { while is_up "$1"; do wait_ms 2; done; }                                  # PID
find_dispatching() {
  leader=$(awk '/started dispatching/ && $0 > best { best = $0; file = FILENAME }
                END { sub(/.*host-/, "", file); sub(/\.log/, "", file); print file + 0 }' "$run"/host-*.log)
}
add_fault() { "$standin" client call --method POST --url "http://$faults/faults/$1" >/dev/null; }
start_minions_again() { # HOW MANY: consecutive ones, from a random one on, each once
  local first=$((RANDOM % minion_count)) m n=$(($1 < minion_count ? $1 : minion_count))
  for ((m = first; m < first + n; m++)); do kill -KILL "${pid_of[i-$((1000 + m % minion_count))]}"; done
  for ((m = first; m < first + n; m++)); do
    await_end "${pid_of[i-$((1000 + m % minion_count))]}"
    note "- KILLED i-$((1000 + m % minion_count))"
    minion $((m % minion_count))
  done
}
act() { # WHAT ARGUMENTS...
  note "$*"
  case $1 in
    STOP | CONT | KILL | TERM) kill "-$1" "${pid_of[front-$2]}" ;;
    restart) await_end "${pid_of[front-$2]}"; start_host "$2" ;;
    minions) start_minions_again "$2" ;;
    *) add_fault "$1" ;;
  esac
}

sleep 3
note "shape=$shape minions_again=$again around=$around silent=$silent hosts=$host_count minions=$minion_count"
client submit-in-turn --first $((seed * 65536 + 4096)) --count $((rounds * 75 + 30)) --gap-ms 90 \
  --body '{"spec":"cpu=500 work=300","steps":[{"count":'"$tasks"',"cpu":500,"memMb":64,"estMs":300}]}' &
pid_of[client]=$!
disown
sleep 1
for ((round = 0; round < rounds; round++)); do
  find_dispatching
  draw 0 $((host_count - 2)); other=$(((leader + 1 + drawn) % host_count))
  draw 100 800; reset_at=$((1000 + drawn))
  draw 500 5000; back_at=$((1000 + drawn))
  draw 200 700; interval=$drawn
  draw -300 300; shift_by=$drawn
  plan=""
  at() { plan+="$*"$'\n'; } # MILLISECONDS WHAT...
  case $shape in
    pause) at 1000 STOP "$leader"; at "$back_at" CONT "$leader" ;;
    gateway) at 1000 STOP "$other"; at "$back_at" CONT "$other" ;;
    kill-later) at 1000 KILL "$leader"; at "$back_at" restart "$leader" ;;
    kill | term) at 1000 "${shape^^}" "$leader"; at 1001 restart "$leader"; back_at=1150 ;;
    # Before the process has sent more calls than are open at the gateways.
    kill-often) for n in 0 1 2 3 4; do
                  at $((1000 + n * interval)) KILL "$leader"; at $((1001 + n * interval)) restart "$leader"
                done; back_at=$((1000 + 5 * interval)) ;;
    none) back_at=$reset_at ;;
  esac
  [ "$silent" = 0 ] || at $((reset_at - 1000)) "silent?for_ms=1000"
  at "$reset_at" drop; at "$reset_at" reset
  declare -A moments=([loss]=1000 [reset]=$reset_at [back]=$back_at)
  [ "$again" = 0 ] || at $((moments[$around] + shift_by)) minions "$again"
  now_ms; from=$now
  while read -r when what; do
    now_ms; left=$((from + when - now))
    [ $left -le 0 ] || wait_ms $left
    # shellcheck disable=SC2086
    act $what </dev/null
  done < <(printf '%s' "$plan" | sort -s -n)
  now_ms; left=$((from + (back_at > reset_at ? back_at : reset_at) + 2000 - now))
  [ $left -le 0 ] || wait_ms $left
done
sleep 3
sort -s -n -k1,1 "$log" | awk -f "$root/tests/soak/minions_down.awk" >"$run/sorted"
awk -f "$root/review/twice.awk" "$run/sorted" >"$run/twice"; broken=$?
verdict "seed=$seed shape=$shape minions_again=$again around=$around silent=$silent hosts=$host_count"
verdict "$(cat "$run/twice")"
[ $broken = 0 ] || { verdict "TWICE is broken"; exit 1; }
KEEP_LOGS=""
verdict "held"
