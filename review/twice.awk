# TWICE, as in RULES.md: a start after a run of the task has ended `done`, if that end is taken note of then
# or later: `lastSeen` reaches it in the same life of the minion, and its lease has not lapsed between the two; or
# two runs of a task at the same time.
# Reads the lines of the minions: TIME ID BORN EVENT...
$4 == "START" { start_n++; start_time[start_n] = $1; start_task[start_n] = $5; start_text[start_n] = $0
                if ($5 in running && running[$5] > 0) overlap[++overlaps] = $0
                running[$5]++ }
$4 == "END" { running[$6]--
              if ($8 == "how=done") { life = $2 "/" $3; ends[life]++; done_no[life, ends[life]] = $5
                                      done_task[life, ends[life]] = $6; done_time[life, ends[life]] = $1
                                      done_text[life, ends[life]] = $0 } }
$4 == "SEEN" { life = $2 "/" $3; if ($5 + 0 > seen[life]) seen[life] = $5 + 0
               s = ++seens[life]; seen_no[life, s] = $5 + 0; seen_time[life, s] = $1 }
$4 == "LAPSE" { life = $2 "/" $3; l = ++lapses[life]; lapse_time[life, l] = $1 }
# Whether the lease lapsed between the end and the first `lastSeen` that reaches it.
function lapsed(life, number, from,   s, l, to) {
  for (s = 1; s <= seens[life]; s++) if (seen_no[life, s] >= number) { to = seen_time[life, s]; break }
  for (l = 1; l <= lapses[life]; l++) if (lapse_time[life, l] >= from && lapse_time[life, l] <= to) return 1
  return 0
}
END {
  for (life in ends)
    for (i = 1; i <= ends[life]; i++) {
      if (done_no[life, i] + 0 > seen[life]) continue
      if (lapsed(life, done_no[life, i] + 0, done_time[life, i])) continue
      task = done_task[life, i]
      if (!(task in first) || done_time[life, i] < first[task]) { first[task] = done_time[life, i]; text[task] = done_text[life, i] }
    }
  for (n = 1; n <= start_n; n++) {
    task = start_task[n]
    if (task in first && start_time[n] > first[task]) {
      if (again++ < 5) { print "  " text[task]; print "  " start_text[n] }
    }
  }
  for (n = 1; n <= overlaps && n <= 5; n++) print "  at the same time: " overlap[n]
  printf "starts %d, starts after an end `done` that was taken note of %d, runs at the same time %d\n", start_n, again, overlaps
  exit (again + overlaps > 0) ? 1 : 0
}
