# Sourced by the scripts of the cases: runs one case of the stand-ins in a temporary folder.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/release/rosemarygauge ] || [ ! -x target/review/standin ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
child=
cleanup() {
    if [ -n "$child" ]; then kill -KILL "$child" 2>/dev/null; fi
    # Processes of the system that the stand-in started and did not end.
    if [ -f "$folder/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
run_case() {
    # The stand-in ends by itself after 112 s at the latest.
    target/review/standin "$1" "$here/record.txt" "$folder" &
    child=$!
    wait "$child"
    code=$?
    child=
    case $code in 0 | 1 | 2) ;; *) code=2 ;; esac
    exit "$code"
}
