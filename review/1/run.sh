#!/usr/bin/env bash
# The store is down for 4 s while each of three minions finishes about 600 tasks. TROUBLE=0: it is not down.
source "$(dirname "$0")/../common.sh"
start_store
put_desired_state 1
for i in 1 2 3; do
  start_worker "i-000$i" --service desk --zone "zone-$((i - 1))" --rack "r$i-1" --cpu 16000 --mem 32768
done
start_hosts 3
sleep 3
note "32 submissions of 60 tasks, each 0.025 cores for 3 to 5 s, ten a second"
for i in $(seq 32); do
  client submit --first $((4095 + i)) --count 1 \
    --body '{"spec":"cpu=25 work=4000","steps":[{"count":60,"cpu":25,"memMb":40,"estMs":4000}]}' \
    || give_up "a submission was not accepted"
  sleep 0.08
done
if [ "$trouble" != 0 ]; then
  note "the store is down for 4 s"
  "$standin" client call --method POST --url "http://$store/standin/down?for_ms=4000" >/dev/null
fi
client wait --first 4096 --count 32 --for-ms 45000
finished=$?
sleep 2
verdict "all submissions completed within 45 s: $([ $finished = 0 ] && echo yes || echo no)"
awk -f "$case_dir/../twice.awk" "$log" >"$run/twice"; broken=$?
verdict "$(cat "$run/twice")"
verdict "runs that lapsed: $(grep -c 'how=lapsed' "$log")"
[ $broken = 0 ] || { verdict "TWICE is broken"; exit 1; }
verdict "held"
