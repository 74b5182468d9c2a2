#!/usr/bin/env bash
# Runs the fault matrix and makes docs/PROOFS.md from its rows and docs/proofs-head.md. A case that fails leaves no row
# and is listed as red.
set -uo pipefail
cd "$(dirname "$0")"
rows=target/tmp/proofs
rm -rf "$rows"
UPDATE_PROOFS=1 cargo test --test fault_matrix -- --nocapture 2>&1 | tee target/tmp/proofs.log | grep -E '^test |^test result'
{
    cat docs/proofs-head.md
    echo "## The fault matrix"
    echo
    echo "Made by \`bash proofs.sh\`; a case that failed in that run has no \"proven\"."
    echo
    echo "| part | fault | step | verdict | promises, or reason |"
    echo "|---|---|---|---|---|"
    cat "$rows"/*.row
    grep -oE '^case (stream|booking) [A-Za-z]+ at [A-Za-z]+' target/tmp/proofs.log | sort -u |
        while read -r _ part fault _ step; do
            [ -f "$rows/$part-$fault-$step.row" ] || echo "| $part | $fault | $step | red | see KNOWN-RED.txt |"
        done
} > docs/PROOFS.md
