# Adds an end for each run of a minion that is killed, so that review/twice.awk does not count it as running on.
# Reads the lines of a run sorted by time; the script writes `TIME script - KILLED ID` after it has killed one.
{ print }
$4 == "START" { split($6, r, "="); run_on[$2, $5] = r[2]; born[$2] = $3 }
$4 == "END" { delete run_on[$2, $6] }
$4 == "KILLED" { for (key in run_on) {
                   split(key, part, SUBSEP)
                   if (part[1] != $5) continue
                   print $1, $5, born[$5], "END 0", part[2], "run=" run_on[key], "how=killed"
                   delete run_on[key] } }
