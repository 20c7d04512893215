# Acks, as in RULES.md: more than a fifth of the ends that minions list aren't taken note of within `ackMs`
# (here 4,000) in one stretch in which the store was stable and no link disrupted. Ends count whose minion
# lived that long after them, and listed them before TO_MS.
$4 == "BORN" { life = $2 "/" $3; alive[life] = 1 }
{ last = $1 }
$4 == "REPORTED" && $5 == "state=draining" { leaves[$2 "/" $3] = $1 }
$4 == "END" { n++; end_time[n] = $1; end_no[n] = $5; end_life[n] = $2 "/" $3 }
$4 == "SEEN" { life = $2 "/" $3; s = ++seens[life]; seen_no[life, s] = $5; seen_time[life, s] = $1 }
END {
  for (i = 1; i <= n; i++) {
    life = end_life[i]
    if (life in leaves || end_time[i] + 4000 > last) continue
    counted++
    noted = 0
    for (s = 1; s <= seens[life]; s++)
      if (seen_no[life, s] + 0 >= end_no[i] + 0) { if (seen_time[life, s] <= end_time[i] + 4000) noted = 1; break }
    if (!noted) late++
  }
  printf "ends listed %d, not taken note of within 4 s %d\n", counted, late
  exit (late * 5 > counted) ? 1 : 0
}
