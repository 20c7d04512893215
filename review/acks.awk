# Acks, as in RULES.md: more than a fifth of the ends that minions list aren't taken note of after `ackMs` (here
# 4,000) in one stretch in which the core was stable and no link disrupted. The store is never down here and no link
# cut. An end counts from the first list that holds it; one that a minion lists less than `ackMs` before it leaves, or
# before the record ends, counts only if it was taken note of.
# -v drain=MILLISECONDS FROM A MINION'S REPORT THAT IT DRAINS UNTIL IT LEAVES
{ last = $1; life = $2 "/" $3 }
$4 == "REPORTED" && $5 == "state=draining" { leaves[life] = $1 + drain }
$4 == "END" { n++; no[n] = $5 + 0; of[n] = life }
$4 == "LISTED" { l = ++lists[life]; list_no[life, l] = $5 + 0; list_time[life, l] = $1 }
$4 == "SEEN" { s = ++seens[life]; seen_no[life, s] = $5 + 0; seen_time[life, s] = $1 }
END {
  for (i = 1; i <= n; i++) {
    life = of[i]; listed = 0; seen = 0
    for (l = 1; l <= lists[life]; l++) if (list_no[life, l] >= no[i]) { listed = list_time[life, l]; break }
    if (!listed) continue
    for (s = 1; s <= seens[life]; s++) if (seen_no[life, s] >= no[i]) { seen = seen_time[life, s]; break }
    in_time = seen && seen <= listed + 4000
    until = (life in leaves) ? leaves[life] : last
    if (!in_time && listed + 4000 > until) continue
    counted++
    if (!in_time) late++
  }
  printf "ends listed %d, not taken note of within 4 s %d (%.1f in 100)\n", counted, late, late * 100 / counted
  exit (late * 5 > counted) ? 1 : 0
}
