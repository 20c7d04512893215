#!/usr/bin/env bash
# The store is down for 4 s while minions finish more than 500 tasks each. TROUBLE=0: it is not down.
source "$(dirname "$0")/../common.sh"
start_store
put_desired_state 1
for i in 1 2 3; do
  start_worker "i-000$i" --service desk --zone "zone-$((i - 1))" --rack "r$i-1" --cpu 16000 --mem 32768
done
start_hosts 3
sleep 3
# 40 submissions of 100 tasks, each 0.05 cores for 0.8 s.
note "40 submissions of 100 tasks"
client submit --first 4096 --count 40 \
  --body '{"spec":"cpu=50 work=800","steps":[{"count":100,"cpu":50,"memMb":64,"estMs":800}]}' \
  || give_up "submissions were not accepted"
if [ "$trouble" != 0 ]; then
  note "the store is down for 4 s"
  "$standin" client call --method POST --url "http://$store/standin/down?for_ms=4000" >/dev/null
fi
client wait --first 4096 --count 40 --for-ms 45000
finished=$?
sleep 2
verdict "all submissions completed within 45 s: $([ $finished = 0 ] && echo yes || echo no)"
awk -f "$case_dir/../twice.awk" "$log" >"$run/twice"; broken=$?
verdict "$(cat "$run/twice")"
[ $broken = 0 ] || { verdict "TWICE is broken"; exit 1; }
[ $finished = 0 ] || { verdict "submissions were not finished"; exit 1; }
verdict "held"
